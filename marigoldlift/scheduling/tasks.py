"""State of the steps of open submissions on the leader: which tasks wait, run or have ended."""

import math
from collections.abc import Container
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.placements import Placement, Placements
from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.submissions.records import StepProgress, UnansweredStart

if TYPE_CHECKING:
    from marigoldlift.scheduling.job_run import JobRun

__all__ = ('EarlierPlace', 'PendingReason', 'StepRun', 'Ticket')


class PendingReason(Enum):
    """Why a step was not placed in the last scheduling pass.

    Attributes:
        not_planned: the pass did not reach the step.
        no_worker: the listed workers could not hold it, however free they were.
        unreachable: its tasks may run, or have ended, on a worker that has not listed all its ends since the takeover.
        cap: its workspace has no room left in its cap for another of its tasks, or for the whole gang.
        cap_unknown: the cap of its workspace is not known, or may have changed since it was last read.
        headroom: the free CPU is reserved for urgent submissions.
        reserved: the workers that it may use are reserved for a gang.
        room: the workers that it may use lack free capacity.
        advice_queue: too many advice calls are pending.
        advice_call: it waits for the answer to its advice request.
        advice_retry: its last advice request has failed.
        advice_denied: it has no valid ticket, and none of the above applies.
    """

    not_planned = 'not_planned'
    no_worker = 'no_worker'
    unreachable = 'unreachable'
    cap = 'cap'
    cap_unknown = 'cap_unknown'
    headroom = 'headroom'
    reserved = 'reserved'
    room = 'room'
    advice_queue = 'advice_queue'
    advice_call = 'advice_call'
    advice_retry = 'advice_retry'
    advice_denied = 'advice_denied'


class Ticket(msgspec.Struct, frozen=True):
    """Permission of the placement advice to start tasks of a step on one incarnation of a worker.

    Attributes:
        ticket: text that is sent with the start.
        until: end of its validity, in seconds of the monotonic clock.
    """

    ticket: str
    until: float


class EarlierPlace(msgspec.Struct, frozen=True):
    """Placement of a task by an earlier leader.

    Attributes:
        worker: id of the worker.
        start: its start order if that had no answer and may still be executed, else None.
    """

    worker: str
    start: UnansweredStart | None


class StepRun:
    """Tasks of one step in one occurrence of a submission.

    Attributes:
        done: indices of the tasks that are done.
        failures: run numbers that have failed, by index.
        todo: indices of the tasks that wait to be started.
        active: present placements of the tasks that occupy capacity, by index.
        runs: run number of the newest start, by index.
        checkpoints: newest saved state, by index.
        last_run: highest run number of any task.
        first_run: highest run number that was stored when this tenure began.
        avoid: for each index, the times of its failures by worker, in seconds of the monotonic clock.
        tickets: tickets by worker; None for a worker that the advice has denied.
        ask_after: time from which the advice may be asked again, in seconds of the monotonic clock; infinite while a
            request is in flight.
        gang_started_at: when the first members of the gang's current run were started, in seconds of the monotonic
            clock; None while none runs.
        gang_broken: whether a member of the current run has ended, so that all must end before the next run.
        old_places: where earlier leaders have placed the tasks that have not been found yet, by index.
    """

    def __init__(
        self, job: 'JobRun', number: int, occurrence: int, progress: StepProgress | None
    ) -> None:
        """Initialize the step from its stored progress."""
        self.job = job
        self.step: Step = job.submission.steps[number]
        self.number = number
        self.occurrence = occurrence
        stored = progress or StepProgress(occurrence, number)
        self.done: set[int] = set(stored.done)
        self.failures = {index: set(runs) for index, runs in stored.failures.items()}
        self.last_run = stored.last_run
        self.first_run = stored.last_run
        self.todo: set[int] = set(range(self.step.count)) - self.done
        self.active = Placements()
        self.runs: dict[int, int] = {}
        self.checkpoints: dict[int, str] = dict(stored.saved)
        self.avoid: dict[int, dict[str, float]] = {}
        self.tickets: dict[str, Ticket | None] = {}
        self.ask_after: float = 0
        self.gang_started_at: float | None = None
        self.gang_broken = False
        self.old_places = {
            index: EarlierPlace(worker, stored.unanswered.get(index))
            for index, worker in stored.placed.items()
        }

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) >= self.step.count

    @property
    def key(self) -> tuple[int, int]:
        """Return the occurrence and the number of the step."""
        return self.occurrence, self.number

    @property
    def name(self) -> str:
        """Return the name of the step in calls to the placement advice."""
        return f'{self.job.submission.id}.{self.occurrence}.{self.number}'

    def holds_ticket(self, worker: str, now: float) -> bool:
        """Return whether the step has a valid ticket for a worker."""
        ticket = self.tickets.get(worker)
        return ticket is not None and ticket.until > now

    @property
    def is_asking(self) -> bool:
        """Return whether a question to the placement advice is under way."""
        return math.isinf(self.ask_after)

    def may_use(self, worker: Worker) -> bool:
        """Return whether a worker has the label that the step requires, and the advice has not denied it."""
        required = self.step.requires
        if required and required not in worker.labels:
            return False
        return worker.id not in self.tickets or self.tickets[worker.id] is not None

    def task(self, index: int) -> TaskRef:
        """Return the reference to the task with an index."""
        return TaskRef(self.job.submission.id, self.occurrence, self.number, index)

    def next_run(self, index: int) -> int:
        """Return the run number for the next start of a task; all members of a gang share one number."""
        if self.step.gang:
            is_new_run = self.gang_started_at is None
            return self.last_run + int(is_new_run)
        return max(self.runs.get(index, 0), self.first_run) + 1

    @property
    def uses_tickets(self) -> bool:
        """Return whether starts carry a ticket, which holds for one incarnation of a worker only."""
        return self.job.submission.policy.advice is not None

    def startable(self, unreachable: Container[str]) -> list[int]:
        """Return the waiting tasks that can neither be running already nor have ended.

        A gang has none while any of its tasks may still run, or have ended, on an unreachable worker.

        Args:
            unreachable: ids of the workers that have not listed all their runs and ends since the takeover.
        """
        blocked = {
            index for index, place in self.old_places.items() if place.worker in unreachable
        }
        if self.step.gang and blocked:
            return []
        return sorted(self.todo - blocked)

    def checkpoint(self, index: int) -> str:
        """Return the saved state to send with a start of the task, empty if there is none."""
        return self.checkpoints.get(self.step.shared_index(index), '')

    def save(self, index: int, checkpoint: str) -> None:
        """Keep the saved state of a task; the state of any member is valid for the whole gang."""
        if checkpoint:
            self.checkpoints[self.step.shared_index(index)] = checkpoint

    def begin(self, index: int, session: WorkerSession, run: int) -> Placement:
        """Mark a task as placed on a worker, and return the placement."""
        self.todo.discard(index)
        self.old_places.pop(index, None)
        self.job.running[self] = None
        self.runs[index] = run
        self.last_run = max(self.last_run, run)
        return self.active.put(index, session, run)

    def requeue(self, index: int) -> None:
        """Mark a task as waiting again, unless it is done."""
        self.release(index)
        if index not in self.done:
            self.todo.add(index)
        if not self.active:
            self.gang_started_at = None
            self.gang_broken = False
        self.job.forget_complete(self)

    def finish(self, index: int) -> None:
        """Mark a task as done; a gang is done as soon as one member is."""
        indices = range(self.step.count) if self.step.gang else (index,)
        self.done.update(indices)
        self.todo.difference_update(indices)
        self.release(index)

    def release(self, index: int) -> None:
        """Mark the capacity of a task as free."""
        self.active.pop(index, None)
        if not self.active:
            self.job.running.pop(self, None)

    def settle_place(self, index: int, worker: str) -> None:
        """Forget that an earlier leader has placed a task on a worker, which has listed its end.

        A start without an answer is kept, since a copy of it may be executed later.
        """
        place = self.old_places.get(index)
        if place is not None and place.worker == worker and place.start is None:
            self.old_places.pop(index)

    def avoid_worker(self, index: int, worker: str, now: float) -> None:
        """Record that a task has failed on a worker.

        The task waits for another worker for a while, and prefers other workers after that.
        """
        self.avoid.setdefault(index, {})[worker] = now

    def fail(self, index: int, run: int) -> int:
        """Count a failed run and return the number of failures so far; a gang fails at most once per run.

        Failures are counted by run number because a worker may list an end again that an earlier leader has stored.
        """
        failed = self.failures.setdefault(self.step.shared_index(index), set())
        failed.add(run)
        return len(failed)
