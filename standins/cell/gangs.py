"""Gangs: tasks of a step that work only together and end together."""

import math

from marigoldlift.orders.api import EndKind
from marigoldlift.submissions.model import Step, TaskRef

__all__ = ('Gang', 'GangTable', 'HeldTask')

#: Time for which a member waits for the others, in s.
GANG_WAIT_S = 3.0


class HeldTask:
    """Run that a worker holds.

    Attributes:
        gang: gang that it belongs to, None if its step is none.
        for_earlier_kind: whether its start was sent for another kind of worker, before the change could be noticed.
    """

    def __init__(self, run: int, step: Step, ends_at: float, now: float) -> None:
        """Start the run; it ends by itself at `ends_at`."""
        self.run = run
        self.step = step
        self.started_at = now
        self.ends_at = ends_at
        self.stop_at: float | None = None
        self.gang: Gang | None = None
        self.for_earlier_kind = False


class Gang:
    """One run of a gang.

    Attributes:
        size: number of members.
        members: members that have started and not ended alone, by index.
        is_working: whether all members have been present.
        end_kind: how the members that remain end, None while none has ended otherwise than `alone`.
    """

    def __init__(self, size: int) -> None:
        """Start without members."""
        self.size = size
        self.members: dict[int, HeldTask] = {}
        self.is_working = False
        self.end_kind: EndKind | None = None

    def join(self, index: int, member: HeldTask, duration_s: float) -> None:
        """Add a member; the last one starts the work of all."""
        self.members[index] = member
        member.gang = self
        member.ends_at = math.inf
        if len(self.members) == self.size:
            self.is_working = True
            for working in self.members.values():
                working.ends_at = member.started_at + duration_s

    def leave(self, index: int, kind: EndKind | None) -> None:
        """Record the end of a member, None for one that was lost with its worker.

        A member that ends alone leaves the others waiting; any other end is that of the gang.
        """
        if kind is EndKind.alone:
            self.members.pop(index)
        elif self.end_kind is None:
            self.end_kind = EndKind.done if kind is EndKind.done else EndKind.broken

    def forced_end(self, member: HeldTask, now: float) -> EndKind | None:
        """Return how a member ends now because of the others, None if it continues."""
        if self.end_kind is not None or self.is_working:
            return self.end_kind
        return EndKind.alone if now - member.started_at > GANG_WAIT_S else None


class GangTable:
    """The gangs on all workers, by submission, occurrence, step and run number."""

    def __init__(self) -> None:
        """Start without gangs."""
        self.gangs: dict[tuple[str, int, int, int], Gang] = {}

    def join(self, task: TaskRef, held: HeldTask, duration_s: float) -> None:
        """Add a run to its gang; one that starts after the gang has ended waits in a new one."""
        key = (task.submission, task.occurrence, task.step, held.run)
        gang = self.gangs.get(key)
        if gang is None or gang.end_kind is not None:
            gang = Gang(held.step.count)
            self.gangs[key] = gang
        gang.join(task.index, held, duration_s)
