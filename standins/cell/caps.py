"""Caps of workspaces, with the times at which they were replaced."""

import math
from collections.abc import Iterable

from marigoldlift.ids import WorkspaceId
from marigoldlift.submissions.model import Step
from marigoldlift.workspaces.model import ResourceCap

__all__ = ('CAP_APPLY_S', 'CapHistory')

#: How long a replaced cap may still be used, in s.
CAP_APPLY_S = 3.0


class CapHistory:
    """All caps that a workspace has had.

    Attributes:
        caps: caps by workspace, each with the loop time at which it was replaced, in s; infinite for the newest.
    """

    def __init__(self) -> None:
        """Start without caps."""
        self.caps: dict[WorkspaceId, list[tuple[float, ResourceCap]]] = {}

    def replace(self, workspace: WorkspaceId, cap: ResourceCap, now: float) -> None:
        """Replace the cap of a workspace."""
        earlier = self.caps.get(workspace, [])
        replaced = [(min(until, now), old) for until, old in earlier]
        self.caps[workspace] = [*replaced, (math.inf, cap)]

    def exceeds(self, workspace: WorkspaceId, running: Iterable[Step], sent_at: float) -> bool:
        """Return whether runs exceed each cap that was in force when the newest of them was ordered.

        A single run may exceed the cap.

        Args:
            workspace: the workspace.
            running: steps of its runs.
            sent_at: loop time at which the newest of them was ordered, in s.
        """
        steps = list(running)
        in_force = [
            cap for until, cap in self.caps.get(workspace, ()) if until + CAP_APPLY_S >= sent_at
        ]
        if len(steps) < 2 or not in_force:
            return False
        return all(exceeds(cap, steps) for cap in in_force)


def exceeds(cap: ResourceCap, steps: Iterable[Step]) -> bool:
    """Return whether runs exceed a cap."""
    demands = [(step.cpu_m, step.mem_mb, step.gpus) for step in steps]
    limits = (cap.cpu_m, cap.mem_mb, cap.gpus)
    totals = map(sum, zip(*demands, strict=True))
    return any(limit and used > limit for limit, used in zip(limits, totals, strict=True))
