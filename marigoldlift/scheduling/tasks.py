"""State of open submissions on the leader: which tasks wait, run or have ended."""

import math
from collections.abc import Container, Sequence
from enum import Enum

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.orders.session import WorkerSession
from marigoldlift.runtimes.api import EstimatesAlone, ExpectedTimes
from marigoldlift.runtimes.decisions import JobTimes, expected_times
from marigoldlift.submissions.model import Step, Submission, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome, StepProgress, UnansweredStart
from marigoldlift.submissions.state import Job

__all__ = ('EarlierPlace', 'JobRun', 'PendingReason', 'StepRun', 'Ticket')

MS_PER_S = 1000

#: Index under which the failures and the checkpoint of a whole gang are kept.
GANG_INDEX = 0


class PendingReason(Enum):
    """Why a step was not placed in the last scheduling pass.

    Attributes:
        not_planned: the pass did not reach the step.
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
        active: sessions with the workers on which tasks occupy capacity, by index.
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
        self.active: dict[int, WorkerSession] = {}
        self.runs: dict[int, int] = {}
        self.checkpoints: dict[int, str] = {}
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
        return self.checkpoints.get(GANG_INDEX if self.step.gang else index, '')

    def save(self, index: int, checkpoint: str) -> None:
        """Keep the saved state of a task; the state of any member is valid for the whole gang."""
        if checkpoint:
            self.checkpoints[GANG_INDEX if self.step.gang else index] = checkpoint

    def begin(self, index: int, session: WorkerSession, run: int) -> None:
        """Mark a task as placed on a worker."""
        self.todo.discard(index)
        self.old_places.pop(index, None)
        self.active[index] = session
        self.runs[index] = run
        self.last_run = max(self.last_run, run)

    def requeue(self, index: int) -> None:
        """Mark a task as waiting again, unless it is done."""
        self.active.pop(index, None)
        if index not in self.done:
            self.todo.add(index)
        if not self.active:
            self.gang_started_at = None
            self.gang_broken = False

    def finish(self, index: int) -> None:
        """Mark a task as done; a gang is done as soon as one member is."""
        indices = range(self.step.count) if self.step.gang else (index,)
        self.done.update(indices)
        self.todo.difference_update(indices)
        self.active.pop(index, None)

    def avoid_worker(self, index: int, worker: str, now: float) -> None:
        """Record that a task has failed on a worker.

        The task waits for another worker for a while, and prefers other workers after that.
        """
        self.avoid.setdefault(index, {})[worker] = now

    def fail(self, index: int, run: int) -> int:
        """Count a failed run and return the number of failures so far; a gang fails at most once per run.

        Failures are counted by run number because a worker may list an end again that an earlier leader has stored.
        """
        failed = self.failures.setdefault(GANG_INDEX if self.step.gang else index, set())
        failed.add(run)
        return len(failed)

    def progress(self, tenure: int) -> StepProgress:
        """Return the progress of the step as the leader of a tenure stores it."""
        failures = {index: sorted(runs) for index, runs in self.failures.items()}
        placed = {index: place.worker for index, place in self.old_places.items()}
        placed |= {index: session.worker.id for index, session in self.active.items()}
        return StepProgress(
            self.occurrence,
            self.number,
            self.last_run,
            sorted(self.done),
            failures,
            placed,
            self.unanswered(tenure),
        )

    def unanswered(self, tenure: int) -> dict[int, UnansweredStart]:
        """Return the starts without an answer; none if no late copy of them has an effect.

        Args:
            tenure: tenure of this leader.
        """
        if self.uses_tickets:
            return {}
        starts = {
            index: place.start
            for index, place in self.old_places.items()
            if place.start is not None
        }
        for index, session in self.active.items():
            run = session.run_table.runs.get(self.task(index))
            if run is not None and (run.unanswered or run.may_start_later(session.now())):
                ordered_in = tenure if run.tenure is None else run.tenure
                starts[index] = UnansweredStart(run.run, ordered_in)
        return starts


class JobRun:
    """One open submission.

    Attributes:
        since: when this entry read its acceptance from the log, in seconds of the monotonic clock.
        begun: whether any task was started.
        outcome: final outcome, None while there is none.
        steps: steps by occurrence and number.
        times_version: version of the expected times that the following rest on; 0 for the estimates of the caller.
        task_s: expected time of the longest task of each step, in s.
        safe_s: time that a task of each step hardly exceeds, in s.
        lucky_chains_s: like `chains_s`, for lucky runs; 0 where nothing is known of them.
        chains_s: expected time of the longest chain of dependent steps that begins with each step, in s.
        objective_s: time in which it should be complete, in s.
    """

    def __init__(self, job: Job) -> None:
        """Initialize a submission from its state in the log."""
        self.job = job
        self.submission: Submission = job.submission
        self.since = job.seen_at
        self.begun = job.outcome is Outcome.running
        self.outcome: Outcome | None = None
        self.steps: dict[tuple[int, int], StepRun] = {}
        for occurrence in range(self.submission.occurrences):
            for number, _ in enumerate(self.submission.steps):
                stored = job.progress.get((occurrence, number))
                self.steps[occurrence, number] = StepRun(self, number, occurrence, stored)
        self.times_version = 0
        self.expect(expected_times(EstimatesAlone(), self.submission))

    def expect(self, times: JobTimes) -> None:
        """Derive the chains and the objective from the expected times of the tasks."""
        steps = self.submission.steps
        self.task_s = times.longest
        self.safe_s = times.safe
        self.chains_s = chains_s(steps, times.longest)
        self.lucky_chains_s = chains_s(steps, times.lucky)
        longest_chain_s = max(self.chains_s, default=0)
        if not all(times.lucky):
            # Until enough is known, short runs, which end first, must not make the submission count as late.
            estimates_s = [step.estimate_ms / MS_PER_S for step in steps]
            longest_chain_s = max(longest_chain_s, *chains_s(steps, estimates_s))
        self.objective_s = objective_s(self.submission, longest_chain_s)

    def refresh_times(self, times: ExpectedTimes) -> None:
        """Use newer expected times, if there are any."""
        if self.times_version != times.version:
            self.times_version = times.version
            self.expect(expected_times(times, self.submission))

    @property
    def id(self) -> SubmissionId:
        """Return the id of the submission."""
        return self.submission.id

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return all(step.is_done for step in self.steps.values())

    @property
    def is_urgent(self) -> bool:
        """Return whether the queue has the highest priority, and the submission is within its workspace's share."""
        return self.submission.policy.priority == 0 and not self.is_beyond_share

    @property
    def is_beyond_share(self) -> bool:
        """Return whether the workspace had exceeded its share when the submission was accepted."""
        return self.submission.ahead_s > 0

    def is_runnable(self, step: StepRun, wall_ms: float) -> bool:
        """Return whether the occurrence is due and all steps that the step depends on are done."""
        due_ms = self.due_ms(step)
        if self.submission.first_due_ms and wall_ms < due_ms:
            return False
        return all(self.steps[step.occurrence, before].is_done for before in step.step.after)

    def due_ms(self, step: StepRun) -> float:
        """Return the Unix time at which the occurrence of a step is due, in ms."""
        return self.submission.first_due_ms + step.occurrence * self.submission.interval_ms

    def counted_since(self, step: StepRun, now: float, wall_ms: float) -> float:
        """Return the time from which the objective of a step counts, in seconds of the monotonic clock.

        This is the acceptance, or the time at which the occurrence is due.

        Args:
            step: the step.
            now: time of the monotonic clock in seconds.
            wall_ms: Unix time in ms.
        """
        if not self.submission.first_due_ms:
            return self.since
        return max(self.since, now + (self.due_ms(step) - wall_ms) / MS_PER_S)

    def remaining_s(self, step: StepRun) -> float:
        """Return the expected time from the start of a step until the submission is complete, in s."""
        return self.chains_s[step.number]

    def least_remaining_s(self, step: StepRun) -> float:
        """Return the time from the start of a step below which the submission is hardly ever complete, in s."""
        return self.lucky_chains_s[step.number]

    def slack_s(self, step: StepRun, now: float, wall_ms: float) -> float:
        """Return the time until a task of a step has to be done so that the submission is in time, in s.

        Args:
            step: the step.
            now: time of the monotonic clock in seconds.
            wall_ms: Unix time in ms.
        """
        due = self.counted_since(step, now, wall_ms) + self.objective_s
        following_s = self.chains_s[step.number] - self.task_s[step.number]
        return due - now - following_s


def chains_s(steps: Sequence[Step], times_s: Sequence[float]) -> list[float]:
    """Return the expected time of the longest chain of dependent steps that begins with each step, in s.

    Args:
        steps: the steps.
        times_s: expected time of each step, in s.
    """
    chains = list(times_s)
    for number in reversed(range(len(steps))):
        for before in steps[number].after:
            chains[before] = max(chains[before], times_s[before] + chains[number])
    return chains


def objective_s(submission: Submission, longest_chain_s: float) -> float:
    """Return the time in which a submission should be complete, in s.

    Args:
        submission: the submission.
        longest_chain_s: estimated time of its longest chain of dependent steps, in s.
    """
    policy = submission.policy
    return policy.stretch * longest_chain_s + policy.target_ms / MS_PER_S
