"""Observer of a worker: journal of what happened, violations, and lagging usage."""

from collections import deque
from typing import Any

import msgspec

from marigoldlift.ids import VmId
from marigoldlift.resources import ZERO_RESOURCES, Resources

from standins.messages import JournalEntry, JournalKind, Violations
from standins.work import Work
from standins.incarnation_state import IncarnationState

__all__ = ('Observer', 'UsageReport', 'exceeded_dimensions')


class Observer:
    """Records what a worker really did, whatever its owner believes.

    Attributes:
        journal: all observations in order.
        violations: counts by dimension.
        in_use: sum of everything that runs.
    """

    def __init__(self, worker_id: VmId, capacity: Resources) -> None:
        """Start with nothing observed."""
        self.worker_id = worker_id
        self.capacity = capacity
        self.journal: list[JournalEntry] = []
        self.violations = Violations()
        self.in_use = ZERO_RESOURCES

    def allocate(self, resources: Resources) -> list[str]:
        """Add to what is in use; returns the dimensions in which that is too much."""
        self.in_use += resources
        exceeded = exceeded_dimensions(self.in_use, self.capacity)
        for dimension in exceeded:
            self.count_violation(dimension)
        return exceeded

    def free(self, resources: Resources) -> None:
        """Take from what is in use."""
        self.in_use -= resources

    def note(
        self,
        current: IncarnationState,
        now_s: float,
        kind: JournalKind,
        work: Work | None = None,
        **details: Any,
    ) -> None:
        """Add an observation to the journal; `details` are fields of `JournalEntry`."""
        known = {'incarnation': current.incarnation, 'epoch': current.control.epoch}
        if work is not None:
            known |= {
                'task_id': work.task_id,
                'workspace': work.workspace,
                'resources': work.resources,
            }
        known |= details
        self.journal.append(JournalEntry(now_s, kind, self.worker_id, **known))

    def count_violation(self, dimension: str) -> None:
        """Count one violation in a dimension."""
        count = getattr(self.violations, dimension)
        setattr(self.violations, dimension, count + 1)


class UsageReport:
    """Usage as it was a lag ago."""

    def __init__(self, lag_s: float) -> None:
        """Report what was in use `lag_s` seconds ago."""
        self.lag_s = lag_s
        self.reported = ZERO_RESOURCES
        self.changes: deque[tuple[float, Resources]] = deque()

    def note(self, now_s: float, in_use: Resources) -> None:
        """Note a change of what is in use."""
        self.read(now_s)
        self.changes.append((now_s, in_use))

    def read(self, now_s: float) -> Resources:
        """Return what was in use a lag ago."""
        while self.changes and self.changes[0][0] <= now_s - self.lag_s:
            self.reported = self.changes.popleft()[1]
        return self.reported


def exceeded_dimensions(in_use: Resources, capacity: Resources) -> list[str]:
    """Return the dimensions in which more is in use than there is."""
    free = msgspec.structs.asdict(capacity - in_use)
    return [dimension for dimension, amount in free.items() if amount < 0]
