"""Runs on one worker and the resources that they occupy."""

import sys
from enum import Enum

import msgspec

from marigoldlift.orders.api import HeldRun, Worker
from marigoldlift.submissions.model import Step, TaskRef

__all__ = (
    'LATE_ORDER_S',
    'UNKNOWN_DEMAND',
    'UNLEASED_EXPIRY_S',
    'HeldTasks',
    'MeasuredSpan',
    'Order',
    'Phase',
    'Run',
    'RunTable',
)

#: Ended runs remembered for each worker; a worker lists 500 at a time.
ENDED_KEPT = 2000

#: Longest time after which a worker may still execute an order that was not answered, in s.
LATE_ORDER_S = 12

#: Time after which no run of an order that was not answered can be active, in s: an order may be executed 12 s late and
#: grant a lease of 6 s, and answers and timers take up to 2 s.
UNLEASED_EXPIRY_S = 20

#: Demand of a run whose step is unknown: more than any worker has, so that nothing else is placed beside it.
UNKNOWN_DEMAND = Step(count=1, cpu_m=sys.maxsize, mem_mb=sys.maxsize, gpus=sys.maxsize)


class Phase(Enum):
    """State of a run on its worker."""

    sent = 'sent'
    held = 'held'
    stopping = 'stopping'


class Order(Enum):
    """Whether the start of a run was sent, and whether with a ticket."""

    unsent = 'unsent'
    plain = 'plain'
    ticketed = 'ticketed'


class MeasuredSpan(msgspec.Struct, frozen=True):
    """Part of a run whose time is measured, from which the time of the whole run is derived.

    Attributes:
        since: its beginning, in seconds of the monotonic clock.
        share_before: share of the work that was done before.
    """

    since: float
    share_before: float = 0


class Run:
    """A run that occupies resources of a worker.

    Attributes:
        since: when its start was last sent or its presence confirmed, in seconds of the monotonic clock.
        moved_ms: when the worker first listed the present percentage, on its own clock, in ms; None if it has not told yet.
        seen_ms: when the worker last listed the run, on its own clock, in ms.
        unanswered: its start has not been answered yet, and no status poll has listed it.
        listed: a status poll of the session's own incarnation of the worker has listed it.
        fence: lowest fencing token that, once the worker has seen it, makes it reject the unanswered start; None if
            none was raised after the start.
        ordered: whether its start was sent, and with a ticket, which no later incarnation of the worker accepts.
        is_repeated: whether the start may have been sent more than once, so that a copy of it may be left although one was
            executed.
        tenure: tenure of the earlier leader that has ordered its start, None for this one.
        doubted_at: when the start became one that a later incarnation of the worker, which has not seen the fence, may
            execute; in seconds of the monotonic clock, None if there is no such start.
        measured: part of the run whose time is measured; None if its beginning is unknown, or it was resumed from a saved
            state.
    """

    __slots__ = (
        'checkpoint',
        'doubted_at',
        'fence',
        'is_repeated',
        'listed',
        'measured',
        'moved_ms',
        'ordered',
        'percent',
        'phase',
        'run',
        'seen_ms',
        'since',
        'step',
        'stop_sent_at',
        'task',
        'tenure',
        'unanswered',
    )

    def __init__(self, task: TaskRef, run: int, step: Step, phase: Phase, now: float) -> None:
        """Create a run that occupies the resources requested by its step."""
        self.task = task
        self.run = run
        self.step = step
        self.phase = phase
        self.since = now
        self.moved_ms: float | None = None
        self.seen_ms: float = 0
        self.stop_sent_at: float | None = None
        self.unanswered = phase is Phase.sent
        self.fence: int | None = None
        self.ordered = Order.unsent
        self.is_repeated = False
        self.tenure: int | None = None
        self.doubted_at: float | None = None
        self.listed = False
        self.percent: float = 0
        self.checkpoint = ''
        self.measured: MeasuredSpan | None = None

    def order(self, ticket: str) -> None:
        """Record that the start is sent with a ticket, which is empty if the queue uses none."""
        self.ordered = Order.ticketed if ticket else Order.plain
        self.tenure = None

    def adopt(self, tenure: int, token: int, ordered_at: float) -> None:
        """Record that an earlier leader has ordered the start, and that its outcome is unknown.

        Args:
            tenure: tenure of that leader.
            token: token that, once the worker has seen it, makes it reject the order.
            ordered_at: latest time of the order, in seconds of the monotonic clock.
        """
        self.ordered = Order.plain
        self.tenure = tenure
        self.fence = token
        self.doubted_at = ordered_at
        self.is_repeated = self.step.long_running

    def confirm(self, held: HeldRun, now: float, clock_ms: float) -> None:
        """Record that the worker lists the run as present.

        Args:
            held: what the worker lists.
            now: time of the monotonic clock in seconds.
            clock_ms: reading of the worker's clock in the same status.
        """
        if held.percent > self.percent or self.moved_ms is None:
            self.percent = held.percent
            self.moved_ms = clock_ms
        self.seen_ms = max(self.seen_ms, clock_ms)
        self.checkpoint = held.checkpoint or self.checkpoint
        self.listed = True
        self.note_executed(now)

    def note_executed(self, now: float) -> None:
        """Record that the worker has executed the start; no copy of it is left unless it was sent more than once."""
        self.since = now
        self.unanswered = False
        if not self.is_repeated:
            self.doubted_at = None
        if self.phase is Phase.sent:
            self.phase = Phase.held

    def stood_still_ms(self) -> float:
        """Return for how long the worker has listed the run without progress, by its own clock, in ms.

        The time at which a status is read tells nothing, since this process may read it late.
        """
        return 0 if self.moved_ms is None else self.seen_ms - self.moved_ms

    def note_begun(self, now: float, clock_ms: float) -> None:
        """Record that the worker has answered the start, with which the work begins.

        Args:
            now: time of the monotonic clock in seconds.
            clock_ms: reading of the worker's clock in its answer.
        """
        if self.moved_ms is None:
            self.moved_ms = clock_ms
        if not self.checkpoint:
            self.measured = MeasuredSpan(now)

    def stop(self, now: float) -> None:
        """Record that a stop was sent."""
        self.phase = Phase.stopping
        self.stop_sent_at = now

    def mark_uncertain(self, token: int, now: float) -> None:
        """Mark the start as unanswered until a status poll under at least this token shows its outcome."""
        if self.ordered is Order.plain and self.unanswered and self.fence is None:
            self.doubted_at = now
        self.unanswered = True
        self.fence = token
        self.since = now
        self.moved_ms = None
        self.seen_ms = 0

    def is_surely_absent(self, sent_at: float, token: int) -> bool:
        """Return whether a status poll that omits the run proves that it neither runs nor will start.

        While a later incarnation of the worker may execute the start, no poll proves it.

        Args:
            sent_at: when the poll was sent, in seconds of the monotonic clock.
            token: fencing token of the poll.
        """
        if self.since >= sent_at:
            return False
        if self.may_start_later(sent_at):
            return False
        return not self.unanswered or (self.fence is not None and token >= self.fence)

    def may_repeat(self, sent_at: float, token: int) -> bool:
        """Return whether a status poll that omits the run proves that its start can be sent to the same worker again.

        That is so for a task that lasts: it never ends as done, and a copy of the first start can be executed only by a
        later incarnation, when the repeated run has ended with this one. The arguments are those of `is_surely_absent`.
        """
        if not self.step.long_running or self.step.gang or self.phase is not Phase.sent:
            return False
        return self.since < sent_at and self.fence is not None and token >= self.fence

    def repeat(self) -> None:
        """Record that the start is to be sent again, now by this leader: its copies may be executed from then on."""
        self.is_repeated = True
        self.tenure = None
        self.fence = None

    def keep(self) -> None:
        """Keep a run that has ended while a copy of its start is left, until a status poll proves that there is none."""
        self.phase = Phase.stopping
        self.unanswered = True
        self.listed = False
        self.fence = 0

    def may_start_later(self, now: float) -> bool:
        """Return whether a later incarnation of the worker may still execute the start."""
        return self.doubted_at is not None and now < self.doubted_at + LATE_ORDER_S

    def awaits_answer(self) -> bool:
        """Return whether the start is still to be sent, or is under way; its answer will tell whether the run exists."""
        return self.unanswered and self.fence is None

    def has_ended_with_lease(self, now: float) -> bool:
        """Return whether the run has certainly ended because the lease of its worker has expired.

        A start that is still to be sent carries a lease of its own, and one that is under way is settled by its answer.
        """
        return not self.awaits_answer() and not self.may_outlive_lease(now)

    def may_outlive_lease(self, now: float) -> bool:
        """Return whether the run may be active, or may start, although the lease of its worker has expired.

        A worker that restarts may execute the start late and grant a lease that counts from then.
        """
        return self.doubted_at is not None and not self.has_expired(now)

    def has_expired(self, now: float) -> bool:
        """Return whether no late copy of the start can be active any more on a worker that has had no lease since."""
        return self.doubted_at is not None and now > self.doubted_at + UNLEASED_EXPIRY_S


class HeldTasks:
    """Number of workers that hold a run of each task, kept for all run tables of one tenure.

    Attributes:
        holders: number of run tables with a run, by task; tasks without a run are left out.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.holders: dict[TaskRef, int] = {}

    def add(self, task: TaskRef) -> None:
        """Count a run of a task."""
        self.holders[task] = self.holders.get(task, 0) + 1

    def remove(self, task: TaskRef) -> None:
        """Subtract a run of a task."""
        left = self.holders.pop(task) - 1
        if left:
            self.holders[task] = left

    def is_held(self, task: TaskRef) -> bool:
        """Return whether any worker holds a run of a task."""
        return task in self.holders


class RunTable:
    """Runs on one worker and its free resources.

    Attributes:
        runs: the runs by task.
        ended: tasks and numbers of recently ended runs; answers that arrive out of order may still list them.
        used_cpu_m: processor time that the runs occupy, in thousandths of a core.
        used_mem_mb: memory that the runs occupy, in MB.
        used_gpus: accelerators that the runs occupy.
        cpu_m: free processor time, in thousandths of a core; like all free amounts negative if the runs occupy more than
            the worker has.
        mem_mb: free memory, in MB.
        gpus: free accelerators.
        changes: number of runs that were taken or removed so far; what is derived from the runs is valid until the next.
    """

    def __init__(self, worker: Worker, held_tasks: HeldTasks) -> None:
        """Create an empty table with all resources of the worker free.

        Args:
            worker: newest entry of the worker.
            held_tasks: counts the runs in the tables of all workers.
        """
        self.held_tasks = held_tasks
        self.runs: dict[TaskRef, Run] = {}
        self.ended: dict[tuple[TaskRef, int], None] = {}
        self.used_cpu_m = 0
        self.used_mem_mb = 0
        self.used_gpus = 0
        self.changes = 0
        self.resize(worker)

    def detach(self) -> None:
        """Count further runs in no other table; a late answer may still be processed after the session was replaced."""
        for task in self.runs:
            self.held_tasks.remove(task)
        self.held_tasks = HeldTasks()
        for left in self.runs:
            self.held_tasks.add(left)

    def resize(self, worker: Worker) -> None:
        """Use the capacity that the worker's newest entry states."""
        self.worker = worker
        self.update_free()

    def update_free(self) -> None:
        """Derive the free resources from the worker's capacity and the runs."""
        self.cpu_m = self.worker.cpu_m - self.used_cpu_m
        self.mem_mb = self.worker.mem_mb - self.used_mem_mb
        self.gpus = self.worker.gpus - self.used_gpus

    def is_overfull(self) -> bool:
        """Return whether the runs occupy more than the worker has."""
        return min(self.cpu_m, self.mem_mb, self.gpus) < 0

    def take(self, run: Run) -> None:
        """Reserve the resources of a run, replacing any other run of the same task."""
        self.pop(run.task)
        self.runs[run.task] = run
        self.held_tasks.add(run.task)
        self.count(run.step, 1)

    def pop(self, task: TaskRef) -> Run | None:
        """Remove the run of a task and free its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.held_tasks.remove(task)
            self.count(run.step, -1)
        return run

    def count(self, step: Step, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the demand of one task."""
        self.used_cpu_m += 0 if step.fills else sign * step.cpu_m
        self.used_mem_mb += sign * step.mem_mb
        self.used_gpus += sign * step.gpus
        self.changes += 1
        self.update_free()

    def note_end(self, task: TaskRef, run: int) -> None:
        """Remember an ended run; the oldest is forgotten beyond `ENDED_KEPT`."""
        self.ended[task, run] = None
        if len(self.ended) > ENDED_KEPT:
            self.ended.pop(next(iter(self.ended)))

    def has_late_start(self, sent_at: float) -> bool:
        """Return whether an incarnation other than that which has answered a poll may have executed a start, or may yet.

        Args:
            sent_at: when the poll was sent, in seconds of the monotonic clock.
        """
        return any(run.may_start_later(sent_at) for run in self.runs.values())

    def tasks_of(self, task: TaskRef) -> int:
        """Return how many tasks of the same step occurrence as `task` the worker holds."""
        step = (task.submission, task.occurrence, task.step)
        return sum(
            1 for other in self.runs if (other.submission, other.occurrence, other.step) == step
        )
