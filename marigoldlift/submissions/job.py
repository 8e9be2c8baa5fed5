"""State of one submission according to the log, open or ended."""

from collections.abc import Container

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.scheduling.step_queue import largest_waiting
from marigoldlift.submissions.access import Owner
from marigoldlift.submissions.done_tasks import DoneTasks, ReportedEnd
from marigoldlift.submissions.model import Submission
from marigoldlift.submissions.record_codec import scoped_name
from marigoldlift.submissions.records import Outcome, Progress, StepProgress
from marigoldlift.submissions.step_set import StepSet

__all__ = ('FINAL_OUTCOMES', 'FinishedJob', 'Job')

FINAL_OUTCOMES = frozenset((Outcome.complete, Outcome.failed, Outcome.cancelled))


class Job:
    """State of one submission according to the log.

    Attributes:
        seen_at: when this entry read it, in seconds of the monotonic clock.
        cancellations: names of its cancellations by callers who may access it.
        largest_waiting: largest size of it that waits for workers at once.
        final_at: when this entry read its outcome, None while it has none.
        progress: progress of the steps that have begun, by occurrence and number.
        complete: steps that are complete; they have no progress unless a worker may still hold a task of them.
        parts: parts of its progress that leaders have stored, with their tenures.
        reports: keys of the `DoneTasks` records that were read.
    """

    __slots__ = (
        'cancellations',
        'complete',
        'final_at',
        'largest_waiting',
        'offset',
        'outcome',
        'parts',
        'progress',
        'reports',
        'seen_at',
        'submission',
    )

    def __init__(self, submission: Submission, offset: int, seen_at: float) -> None:
        """Create the state of an accepted submission.

        Args:
            submission: what was accepted.
            offset: offset of its record in the log.
            seen_at: when this entry read it, in seconds of the monotonic clock.
        """
        self.submission = submission
        self.offset = offset
        self.seen_at = seen_at
        self.cancellations: set[str] = set()
        self.outcome = Outcome.queued
        self.progress: dict[tuple[int, int], StepProgress] = {}
        self.complete = StepSet(len(submission.steps), submission.occurrences)
        self.largest_waiting = largest_waiting(submission)
        self.parts: set[tuple[int, int]] = set()
        self.reports: set[str] = set()
        self.final_at: float | None = None

    @property
    def cancelled(self) -> bool:
        """Return whether the submission was cancelled."""
        return bool(self.cancellations)

    @property
    def name(self) -> str:
        """Return the name of its acceptance."""
        return scoped_name(self.submission.id, self.submission.workspace)

    @property
    def owner(self) -> Owner:
        """Return what decides who may access the submission."""
        return Owner(self.submission.workspace, self.submission.policy.queue)

    @property
    def state(self) -> Outcome:
        """Return the state of the submission."""
        if self.outcome not in FINAL_OUTCOMES and self.cancelled:
            return Outcome.cancelled
        return self.outcome

    def merge(self, record: Progress) -> None:
        """Merge a progress record; final outcomes, cancellations, completed tasks and failures are never undone."""
        self.parts.add((record.tenure, record.part))
        if self.state not in FINAL_OUTCOMES:
            if record.outcome in FINAL_OUTCOMES or self.outcome is Outcome.queued:
                self.outcome = record.outcome
        for step in record.steps:
            known = self.progress.get((step.occurrence, step.step))
            self.progress[step.occurrence, step.step] = merge_step_progress(known, step)
        if record.complete:
            self.complete.merge(record.complete)
            kept = {(found.occurrence, found.step) for found in record.steps}
            self.forget_complete(record.part, kept)

    def merge_done(self, record: DoneTasks) -> None:
        """Mark tasks as done and count failed runs; the end of one member stands for all members of a gang."""
        self.reports.add(record.key)
        told: dict[tuple[int, int], StepProgress] = {}
        for end in record.ends():
            key = (end.task.occurrence, end.task.step)
            if self.submission.has_task(end.task) and key not in self.complete:
                note_end(told.setdefault(key, StepProgress(*key)), self.submission, end)
        for changed, added in told.items():
            known = self.progress.get(changed) or StepProgress(*changed)
            # A report has no placements, and must not hide those that are stored.
            added.placed = known.placed
            added.unanswered = known.unanswered
            added.saved = known.saved
            self.progress[changed] = merge_step_progress(known, added)

    def forget_complete(self, part: int, kept: Container[tuple[int, int]]) -> None:
        """Remove the progress of the complete steps of a part.

        Args:
            part: number of the part.
            kept: steps whose progress is kept.
        """
        for key in self.complete.keys_of_part(part):
            if key in self.progress and key in self.complete and key not in kept:
                self.progress.pop(key)


def note_end(progress: StepProgress, submission: Submission, end: ReportedEnd) -> None:
    """Add a reported end of one of its tasks to the progress of a step."""
    step = submission.steps[end.task.step]
    if end.failed_run is None:
        progress.done.extend(range(step.count) if step.gang else (end.task.index,))
        return
    progress.last_run = max(progress.last_run, end.failed_run)
    failed = progress.failures.setdefault(step.shared_index(end.task.index), [])
    failed.append(end.failed_run)


def merge_step_progress(known: StepProgress | None, added: StepProgress) -> StepProgress:
    """Merge the progress of a step from two records; placements are those of the newer one, which has them all."""
    if known is None:
        return added
    failures = {
        index: sorted({*known.failures.get(index, ()), *added.failures.get(index, ())})
        for index in known.failures.keys() | added.failures.keys()
    }
    return StepProgress(
        occurrence=added.occurrence,
        step=added.step,
        last_run=max(known.last_run, added.last_run),
        done=sorted({*known.done, *added.done}),
        failures=failures,
        placed=added.placed,
        unanswered=added.unanswered,
        saved=added.saved,
    )


class FinishedJob(msgspec.Struct, frozen=True):
    """Outcome kept of a submission that has ended.

    Attributes:
        seen_at: when this entry read it, in seconds of the monotonic clock.
        workspace: workspace whose callers may still query it.
        queue: name of its queue, empty without a workspace.
    """

    outcome: Outcome
    seen_at: float
    workspace: WorkspaceId
    queue: str

    @property
    def state(self) -> Outcome:
        """Return the state of the submission, like that of an open one."""
        return self.outcome

    @property
    def owner(self) -> Owner:
        """Return what decides who may access the submission."""
        return Owner(self.workspace, self.queue)
