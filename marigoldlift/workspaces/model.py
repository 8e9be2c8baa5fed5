"""Workspaces that share the cell, as the newest configuration describes them."""

import msgspec

from marigoldlift.ids import WorkspaceId

__all__ = ('NO_CAP', 'NO_WORKSPACE', 'ResourceCap', 'Workspace')

#: Workspace of submissions whose queue or configuration names none; it has neither weight nor cap.
NO_WORKSPACE = WorkspaceId('')


class ResourceCap(msgspec.Struct, frozen=True):
    """What a workspace may have running over all workers; 0 stands for no limit.

    Attributes:
        cpu_m: processor time, in thousandths of a core.
        mem_mb: memory, in MB.
        gpus: accelerators.
    """

    cpu_m: int = 0
    mem_mb: int = 0
    gpus: int = 0


#: Cap that limits nothing.
NO_CAP = ResourceCap()


class Workspace(msgspec.Struct, frozen=True):
    """One workspace.

    Attributes:
        weight: its share when all is full: submissions in a second, 0 if it has none.
        cap: what it may have running over all workers.
    """

    name: WorkspaceId
    weight: float = 0
    cap: ResourceCap = NO_CAP
