"""Workspaces that share the cell, as the newest configuration describes them."""

import msgspec

from marigoldlift.ids import WorkspaceId

__all__ = ('NO_CAP', 'NO_WORKSPACE', 'ResourceCap', 'ShareLimits', 'Workspace')

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


class ShareLimits(msgspec.Struct, frozen=True):
    """How far a workspace may exceed its weight before its submissions may be refused.

    In any span of `window_s`, it may send `window_s` times its weight, `excess` of that more, and `slack` submissions.

    Attributes:
        window_s: length of the span, in s.
        excess: part of the weight by which it may be exceeded.
        slack: number of submissions by which it may be exceeded.
    """

    window_s: float = 5
    excess: float = 0.1
    slack: float = 20

    def burst(self, weight: float) -> float:
        """Return how many submissions a workspace may be ahead of its weight."""
        return self.excess * weight * self.window_s + self.slack


class Workspace(msgspec.Struct, frozen=True):
    """One workspace.

    Attributes:
        weight: its share when all is full: submissions in a second, 0 if it has none.
        cap: what it may have running over all workers.
    """

    name: WorkspaceId
    weight: float = 0
    cap: ResourceCap = NO_CAP
