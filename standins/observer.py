"""Journal of the events on a worker, counts of capacity violations, and delayed usage reports."""

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
    """Records what a worker actually did, independently of the state its owner assumes.

    Attributes:
        journal: all events in order.
        violations: counts of exceeded limits by dimension.
        in_use: total resources of all running work.
    """

    def __init__(self, worker_id: VmId, capacity: Resources) -> None:
        """Initialize with an empty journal and nothing in use."""
        self.worker_id = worker_id
        self.capacity = capacity
        self.journal: list[JournalEntry] = []
        self.violations = Violations()
        self.in_use = ZERO_RESOURCES

    def allocate(self, resources: Resources) -> list[str]:
        """Add to the resources in use; return the dimensions in which they now exceed the capacity."""
        self.in_use += resources
        exceeded = exceeded_dimensions(self.in_use, self.capacity)
        for dimension in exceeded:
            self.count_violation(dimension)
        return exceeded

    def free(self, resources: Resources) -> None:
        """Subtract from the resources in use."""
        self.in_use -= resources

    def note(
        self,
        current: IncarnationState,
        now_s: float,
        kind: JournalKind,
        work: Work | None = None,
        **details: Any,
    ) -> None:
        """Add an entry to the journal; `details` override fields of `JournalEntry`."""
        fields = {'incarnation': current.incarnation, 'epoch': current.control.epoch}
        if work is not None:
            fields |= {
                'task_id': work.task_id,
                'workspace': work.workspace,
                'resources': work.resources,
            }
        fields |= details
        self.journal.append(JournalEntry(now_s, kind, self.worker_id, **fields))

    def count_violation(self, dimension: str) -> None:
        """Increment the number of violations in a dimension."""
        count = getattr(self.violations, dimension)
        setattr(self.violations, dimension, count + 1)


class UsageReport:
    """Resource usage that is reported with a lag."""

    def __init__(self, lag_s: float) -> None:
        """Initialize with no usage; changes are reported `lag_s` seconds after they happen."""
        self.lag_s = lag_s
        self.reported = ZERO_RESOURCES
        self.changes: deque[tuple[float, Resources]] = deque()

    def note(self, now_s: float, in_use: Resources) -> None:
        """Record a change of the resources in use."""
        self.read(now_s)
        self.changes.append((now_s, in_use))

    def read(self, now_s: float) -> Resources:
        """Return the resources that were in use `lag_s` seconds ago."""
        while self.changes and self.changes[0][0] <= now_s - self.lag_s:
            self.reported = self.changes.popleft()[1]
        return self.reported


def exceeded_dimensions(in_use: Resources, capacity: Resources) -> list[str]:
    """Return the dimensions in which the resources in use exceed the capacity."""
    free = msgspec.structs.asdict(capacity - in_use)
    return [dimension for dimension, amount in free.items() if amount < 0]
