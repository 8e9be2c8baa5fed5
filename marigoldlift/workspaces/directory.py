"""Workspaces of the newest configuration that an entry has read."""

import math
from collections.abc import Callable, Iterable

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.model import ShareLimits, Workspace

__all__ = ('WorkspaceDirectory',)

#: Number of withdrawn workspaces that are remembered.
MAX_WITHDRAWN = 1000


class WorkspaceDirectory:
    """Holds the workspaces that are in force; shared by the parts of an entry that ask for weights and caps.

    Attributes:
        version: version of the configuration, -1 before the first one.
        share_limits: how far a workspace may exceed its weight.
        workspaces: workspaces by name; empty where the configuration names none.
        withdrawn: workspaces that an earlier version named and the newest does not, as they were last; the oldest are
            forgotten beyond `MAX_WITHDRAWN`.
        read_at: returns when the configuration was last read to its end, in seconds of the monotonic clock; the default
            stands for a configuration that is always up to date.
    """

    def __init__(self) -> None:
        """Start before the first configuration."""
        self.version = -1
        self.share_limits = ShareLimits()
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self.withdrawn: dict[WorkspaceId, Workspace] = {}
        self.read_at: Callable[[], float] = always_up_to_date

    def replace(self, version: int, workspaces: Iterable[Workspace]) -> None:
        """Put the workspaces of a newer configuration in force; an older one has no effect."""
        if version <= self.version:
            return
        self.version = version
        earlier = self.withdrawn | self.workspaces
        self.workspaces = {workspace.name: workspace for workspace in workspaces}
        withdrawn = [name for name in earlier if name not in self.workspaces]
        self.withdrawn = {name: earlier[name] for name in withdrawn[-MAX_WITHDRAWN:]}

    def find(self, name: WorkspaceId) -> Workspace | None:
        """Return a workspace, None if the configuration does not name it (any more)."""
        return self.workspaces.get(name)

    def find_last(self, name: WorkspaceId) -> Workspace | None:
        """Return a workspace as the newest configuration that names it describes it, None if none did."""
        return self.workspaces.get(name) or self.withdrawn.get(name)


def always_up_to_date() -> float:
    """Return a time of the last read after any other time."""
    return math.inf
