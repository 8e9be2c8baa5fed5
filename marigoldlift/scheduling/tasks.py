"""Open submissions in the hands of the leader: what waits, what runs, what has ended."""

from collections.abc import Container
from enum import Enum

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.orders.session import WorkerSession
from marigoldlift.submissions.model import Step, Submission, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome, StepProgress
from marigoldlift.submissions.state import Job

__all__ = ('JobRun', 'PendingReason', 'StepRun', 'Ticket')

MS_PER_S = 1000

#: Multiples of a submission's objective after which it earns nothing any more; the rules of the platform give three.
WORTHLESS_AFTER = 3

#: Key of a gang's failures in its progress.
GANG_INDEX = 0


class PendingReason(Enum):
    """What held a step back in the last scheduling pass."""

    not_planned = 'not_planned'
    unreachable = 'unreachable'
    headroom = 'headroom'
    reserved = 'reserved'
    room = 'room'
    advice_queue = 'advice_queue'
    advice_call = 'advice_call'
    advice_retry = 'advice_retry'
    advice_denied = 'advice_denied'


class Ticket(msgspec.Struct, frozen=True):
    """Leave to start tasks of a step on one life of a worker until a time of the steady clock, in s."""

    ticket: str
    until: float


class StepRun:
    """Tasks of one step of one occurrence.

    Attributes:
        todo: indices that wait to be started.
        active: sessions of the tasks that take room somewhere, by index.
        last_run: highest run that any task was started with.
        first_run: highest run that was stored when this tenure began.
        avoid: workers on which a task has failed, by index, with the time of that.
        tickets: leave by worker; None for a worker that may not run the step.
        ask_after: when the advice may be asked again; infinite while a call is under way.
        gang_started_at: when the members of the gang's current run began to start, None while none runs.
        gang_broken: a member of the current run has ended, so that all must end before the next run.
        old_places: workers on which an earlier leader has placed tasks that were not found yet, by index.
    """

    def __init__(
        self, job: 'JobRun', number: int, occurrence: int, progress: StepProgress | None
    ) -> None:
        """Start from what is stored of the step."""
        self.job = job
        self.step: Step = job.submission.steps[number]
        self.number = number
        self.occurrence = occurrence
        known = progress or StepProgress(occurrence, number)
        self.done: set[int] = set(known.done)
        self.failures = {index: set(runs) for index, runs in known.failures.items()}
        self.last_run = known.last_run
        self.first_run = known.last_run
        self.todo: set[int] = set(range(self.step.count)) - self.done
        self.active: dict[int, WorkerSession] = {}
        self.runs: dict[int, int] = {}
        self.checkpoints: dict[int, str] = {}
        self.avoid: dict[int, dict[str, float]] = {}
        self.tickets: dict[str, Ticket | None] = {}
        self.ask_after: float = 0
        self.gang_started_at: float | None = None
        self.gang_broken = False
        self.old_places = dict(known.placed)

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return len(self.done) >= self.step.count

    @property
    def name(self) -> str:
        """Return the name that the placement advice knows the step by."""
        return f'{self.job.submission.id}.{self.occurrence}.{self.number}'

    def holds_ticket(self, worker: str, now: float) -> bool:
        """Tell whether the step may be started on a worker now."""
        ticket = self.tickets.get(worker)
        return ticket is not None and ticket.until > now

    def may_use(self, worker: Worker) -> bool:
        """Tell whether a worker has the label that the step requires, and the advice has not denied it."""
        required = self.step.requires
        if required and required not in worker.labels:
            return False
        return worker.id not in self.tickets or self.tickets[worker.id] is not None

    def task(self, index: int) -> TaskRef:
        """Return a task of the step."""
        return TaskRef(self.job.submission.id, self.occurrence, self.number, index)

    def next_run(self, index: int) -> int:
        """Return the run that a task's next start has; the members of a gang share it."""
        if self.step.gang:
            starts_anew = self.gang_started_at is None
            return self.last_run + int(starts_anew)
        return max(self.runs.get(index, 0), self.first_run) + 1

    def startable(self, unreachable: Container[str]) -> list[int]:
        """Return the waiting tasks that surely run nowhere.

        Args:
            unreachable: workers that have not answered since the takeover.
        """
        blocked = {index for index, worker in self.old_places.items() if worker in unreachable}
        if self.step.gang and blocked:
            return []
        return sorted(self.todo - blocked)

    def checkpoint(self, index: int) -> str:
        """Return the saved state that a start of the task carries."""
        return self.checkpoints.get(GANG_INDEX if self.step.gang else index, '')

    def save(self, index: int, checkpoint: str) -> None:
        """Keep the saved state of a task; that of any member is valid for a gang."""
        if checkpoint:
            self.checkpoints[GANG_INDEX if self.step.gang else index] = checkpoint

    def begin(self, index: int, session: WorkerSession, run: int) -> None:
        """Note that a task takes room on a worker."""
        self.todo.discard(index)
        self.old_places.pop(index, None)
        self.active[index] = session
        self.runs[index] = run
        self.last_run = max(self.last_run, run)

    def requeue(self, index: int) -> None:
        """Let a task wait again, unless it is done."""
        self.active.pop(index, None)
        if index not in self.done:
            self.todo.add(index)
        if not self.active:
            self.gang_started_at = None
            self.gang_broken = False

    def finish(self, index: int) -> None:
        """Note that a task is done; one member's end stands for the whole gang."""
        indices = range(self.step.count) if self.step.gang else (index,)
        self.done.update(indices)
        self.todo.difference_update(indices)
        self.active.pop(index, None)

    def avoid_worker(self, index: int, worker: str, now: float) -> None:
        """Prefer other workers for a task, for a while even to waiting."""
        self.avoid.setdefault(index, {})[worker] = now

    def fail(self, index: int, run: int) -> int:
        """Count a failed run and return the failures so far; a gang fails once for each of its runs.

        An end that an earlier leader has stored may be listed again, so runs are counted by their numbers.
        """
        failed = self.failures.setdefault(GANG_INDEX if self.step.gang else index, set())
        failed.add(run)
        return len(failed)

    def progress(self) -> StepProgress:
        """Return what is to be stored of the step."""
        failures = {index: sorted(runs) for index, runs in self.failures.items()}
        placed = self.old_places | {
            index: session.worker.id for index, session in self.active.items()
        }
        return StepProgress(
            self.occurrence, self.number, self.last_run, sorted(self.done), failures, placed
        )


class JobRun:
    """One open submission.

    Attributes:
        since: when it was accepted, in seconds of the steady clock.
        begun: whether any task was started.
        outcome: final outcome once there is one.
    """

    def __init__(self, job: Job) -> None:
        """Start from what the log says of a submission."""
        self.job = job
        self.submission: Submission = job.submission
        self.since = job.seen_at
        self.begun = job.outcome is Outcome.running
        self.outcome: Outcome | None = None
        self.steps: dict[tuple[int, int], StepRun] = {}
        for occurrence in range(self.submission.occurrences):
            for number, _ in enumerate(self.submission.steps):
                known = job.progress.get((occurrence, number))
                self.steps[occurrence, number] = StepRun(self, number, occurrence, known)
        self.objective_s = objective_s(self.submission)

    @property
    def id(self) -> SubmissionId:
        """Return the id of the submission."""
        return self.submission.id

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return all(step.is_done for step in self.steps.values())

    @property
    def is_urgent(self) -> bool:
        """Tell whether the queue has the highest priority."""
        return self.submission.policy.priority == 0

    def is_runnable(self, step: StepRun, wall_ms: float) -> bool:
        """Tell whether the steps before are done and the occurrence is due."""
        due_ms = self.submission.first_due_ms + step.occurrence * self.submission.interval_ms
        if self.submission.first_due_ms and wall_ms < due_ms:
            return False
        return all(self.steps[step.occurrence, before].is_done for before in step.step.after)

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return the place in the order of service: submissions that can earn nothing any more come last."""
        worthless = now > self.since + WORTHLESS_AFTER * self.objective_s
        return (worthless, self.submission.policy.priority, self.since + self.objective_s)


def objective_s(submission: Submission) -> float:
    """Return the time in which a submission should be complete, in s, from the rough estimates."""
    chains: list[float] = []
    for step in submission.steps:
        before = max((chains[number] for number in step.after if number < len(chains)), default=0)
        chains.append(before + step.estimate_ms)
    policy = submission.policy
    return (policy.stretch * max(chains, default=0) + policy.target_ms) / MS_PER_S
