"""State of open submissions on the leader."""

from collections.abc import Iterator, Sequence

import msgspec

from marigoldlift.runtimes.api import EstimatesAlone, ExpectedTimes
from marigoldlift.runtimes.decisions import JobTimes, expected_times
from marigoldlift.scheduling.step_queue import StepKey, StepQueue, waiting_limit
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.submissions.records import Outcome, StepProgress
from marigoldlift.submissions.state import Job

__all__ = ('JobRun', 'chains_s', 'has_failed', 'objective_s')

MS_PER_S = 1000


class JobRun:
    """One open submission.

    Attributes:
        since: when this entry read its acceptance from the log, in seconds of the monotonic clock.
        begun: whether any task was started.
        outcome: final outcome, None while there is none.
        steps: open steps by occurrence and number: those that wait for a worker, run, or may run on workers of earlier
            leaders.
        running: open steps of which a task occupies capacity; a dict to keep their order.
        waiting: open steps with tasks to start that the planner holds, by number.
        complete: steps of which all tasks are done.
        queue: steps that are not open yet.
        opens_at_ms: Unix time at which the planner opens occurrences that are due then, in ms; 0 if it was never noted.
        second_look_at: when the planner looks again whether it can open more steps, in seconds of the monotonic clock.
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
        self.steps: dict[StepKey, StepRun] = {}
        self.running: dict[StepRun, None] = {}
        self.waiting: dict[int, dict[StepRun, None]] = {}
        self.complete = job.complete.copy()
        for key, stored in job.progress.items():
            self.forget_complete(self.open_step(key, stored))
        self.queue = StepQueue(self.submission, self.complete)
        self.opens_at_ms: float = 0
        self.second_look_at = float('-inf')
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
        return self.complete.is_full

    def open_step(self, key: StepKey, stored: StepProgress | None = None) -> StepRun:
        """Open a step, with the progress that is stored of it."""
        occurrence, number = key
        if stored is not None and key in self.complete:
            # A record of an earlier leader may not have all ends.
            every = list(range(self.submission.steps[number].count))
            stored = msgspec.structs.replace(stored, done=every)
        step = StepRun(self, number, occurrence, stored)
        if step.is_done:
            self.complete.add(key)
        self.steps[key] = step
        return step

    def open_due(self, wall_ms: float) -> Iterator[StepRun]:
        """Open and yield steps whose turn has come, as many of each number as may wait at once.

        Args:
            wall_ms: Unix time in ms.
        """
        limit = waiting_limit(self.submission.steps)
        for number, _ in enumerate(self.submission.steps):
            room = limit - len(self.waiting.get(number, ()))
            for key in tuple(self.queue.take(number, room, self.steps, wall_ms)):
                yield self.open_step(key)

    def close_step(self, step: StepRun) -> None:
        """Close a step that was never tried, until its number has its turn again."""
        self.steps.pop(step.key)
        self.queue.put_back(step.key)

    def note_waiting(self, step: StepRun) -> None:
        """Count a step as one that waits for a worker."""
        self.waiting.setdefault(step.number, {})[step] = None

    def note_placed(self, step: StepRun) -> None:
        """Count a step as one that waits for a worker no longer."""
        self.waiting.get(step.number, {}).pop(step, None)

    def complete_step(self, step: StepRun) -> None:
        """Note that all tasks of a step are done, so that those that depend on it may have their turn."""
        self.complete.add(step.key)
        self.queue.note_complete(step.key)

    def forget_complete(self, step: StepRun) -> None:
        """Keep no more than the bit of a complete step, once no worker may hold a task of it."""
        if step.is_done and not step.active and not step.old_places:
            self.steps.pop(step.key, None)

    @property
    def is_urgent(self) -> bool:
        """Return whether the queue has the highest priority, and the submission is within its workspace's share."""
        return self.submission.policy.priority == 0 and not self.is_beyond_share

    @property
    def is_beyond_share(self) -> bool:
        """Return whether the workspace had exceeded its share when the submission was accepted."""
        return self.submission.ahead_s > 0

    def is_runnable(self, step: StepRun, wall_ms: float) -> bool:
        """Return whether the occurrence is due and all steps that the step depends on are complete."""
        if self.submission.first_due_ms and wall_ms < self.due_ms(step):
            return False
        return self.queue.is_released(step.key)

    def due_ms(self, step: StepRun) -> float:
        """Return the Unix time at which the occurrence of a step is due, in ms."""
        return self.queue.due_ms(step.occurrence)

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


def has_failed(job: JobRun) -> bool:
    """Return whether a task that is not done, or a gang, has failed as often as the queue allows."""
    allowed = job.submission.policy.max_attempts
    return any(
        len(runs) >= allowed and index not in step.done
        for step in job.steps.values()
        for index, runs in step.failures.items()
    )


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
