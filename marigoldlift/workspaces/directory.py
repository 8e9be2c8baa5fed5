"""Workspaces of the newest configuration that an entry has read."""

from collections.abc import Iterable

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.model import ShareLimits, Workspace

__all__ = ('WorkspaceDirectory',)


class WorkspaceDirectory:
    """Holds the workspaces that are in force; shared by the parts of an entry that ask for weights and caps.

    Attributes:
        version: version of the configuration, -1 before the first one.
        share_limits: how far a workspace may exceed its weight.
        workspaces: workspaces by name; empty where the configuration names none.
    """

    def __init__(self) -> None:
        """Start before the first configuration."""
        self.version = -1
        self.share_limits = ShareLimits()
        self.workspaces: dict[WorkspaceId, Workspace] = {}

    def replace(self, version: int, workspaces: Iterable[Workspace]) -> None:
        """Put the workspaces of a newer configuration in force; an older one has no effect."""
        if version <= self.version:
            return
        self.version = version
        self.workspaces = {workspace.name: workspace for workspace in workspaces}

    def find(self, name: WorkspaceId) -> Workspace | None:
        """Return a workspace, None if the configuration does not name it (any more)."""
        return self.workspaces.get(name)
