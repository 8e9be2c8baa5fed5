"""State of the cell, built by applying the records of the shared log."""

from collections.abc import Callable, Collection

import msgspec
from loguru import logger

from marigoldlift.errors import MalformedMessageError
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.records import (
    Accepted,
    Cancelled,
    Finished,
    KnownWorker,
    Outcome,
    Progress,
    Record,
    StepProgress,
)
from marigoldlift.submissions.record_codec import StoredRecord, decode_record
from marigoldlift.submissions.run_time_records import RunTimesSummary

__all__ = ('FINAL_OUTCOMES', 'CellState', 'FinishedJob', 'Job')

FINAL_OUTCOMES = frozenset((Outcome.complete, Outcome.failed, Outcome.cancelled))

Observer = Callable[[int, Record], None]


class Job:
    """State of one submission according to the log.

    Attributes:
        seen_at: when this entry read it, in seconds of the monotonic clock.
        final_at: when this entry read its outcome, None while it has none.
        tenures: tenures whose leaders have stored progress.
    """

    __slots__ = (
        'cancelled',
        'final_at',
        'offset',
        'outcome',
        'progress',
        'seen_at',
        'submission',
        'tenures',
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
        self.cancelled = False
        self.outcome = Outcome.queued
        self.progress: dict[tuple[int, int], StepProgress] = {}
        self.tenures: set[int] = set()
        self.final_at: float | None = None

    @property
    def state(self) -> Outcome:
        """Return the state of the submission."""
        if self.outcome not in FINAL_OUTCOMES and self.cancelled:
            return Outcome.cancelled
        return self.outcome

    def merge(self, record: Progress) -> None:
        """Merge a progress record; final outcomes, cancellations, completed tasks and failures are never undone."""
        self.tenures.add(record.tenure)
        if self.state not in FINAL_OUTCOMES:
            if record.outcome in FINAL_OUTCOMES or self.outcome is Outcome.queued:
                self.outcome = record.outcome
        for step in record.steps:
            known = self.progress.get((step.occurrence, step.step))
            self.progress[step.occurrence, step.step] = merge_step_progress(known, step)


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
    )


class FinishedJob(msgspec.Struct, frozen=True):
    """Outcome kept of a submission that has ended.

    Attributes:
        seen_at: when this entry read it, in seconds of the monotonic clock.
    """

    outcome: Outcome
    seen_at: float


class CellState:
    """All submissions, and the workers that may hold tasks.

    Attributes:
        jobs: submissions that have not ended, or that have ended but have no `Finished` record yet.
        finished: submissions that have ended and have no runs left.
        early_records: records read before the submission that they belong to, in order.
        early_cancellations: cancelled submissions of which no acceptance was read, with the time at which the cancellation
            was read, in seconds of the monotonic clock; an acceptance that follows is cancelled.
        run_times: newest summary of run times, None if there is none.
        observers: called with the offset and content of each record after it was applied.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty state.

        Args:
            clock: monotonic time in seconds.
        """
        self.clock = clock
        self.jobs: dict[SubmissionId, Job] = {}
        self.finished: dict[SubmissionId, FinishedJob] = {}
        self.early_records: dict[SubmissionId, list[Cancelled | Progress]] = {}
        self.early_cancellations: dict[SubmissionId, float] = {}
        self.workers: dict[str, KnownWorker] = {}
        self.run_times: RunTimesSummary | None = None
        self.observers: list[Observer] = []

    def state_of(self, submission: SubmissionId) -> Outcome | None:
        """Return the state of a submission, None if it is unknown."""
        finished = self.finished.get(submission)
        if finished is not None:
            return finished.outcome
        job = self.jobs.get(submission)
        return job.state if job else None

    def apply(self, stored: StoredRecord) -> None:
        """Apply one stored record; one that does not decode is skipped with a log line."""
        if not stored.content:
            self.drop(stored.key)
            return
        try:
            record = decode_record(stored.content)
        except MalformedMessageError as fault:
            logger.warning('record skipped: offset={} key={} {}', stored.offset, stored.key, fault)
            return
        self.apply_decoded(stored.offset, record)
        for observer in self.observers:
            observer(stored.offset, record)

    def apply_decoded(self, offset: int, record: Record) -> None:
        """Update the state by one decoded record."""
        match record:
            case Accepted():
                self.accept(offset, record.submission)
            case Cancelled() | Progress():
                self.update_job(record)
            case Finished():
                self.finish(record)
            case KnownWorker():
                self.workers[record.worker] = record
            case RunTimesSummary():
                self.run_times = record

    def accept(self, offset: int, submission: Submission) -> None:
        """Add a submission, and apply its early records; a known one stays unchanged."""
        if submission.id in self.jobs or submission.id in self.finished:
            return
        self.jobs[submission.id] = Job(submission, offset, self.clock())
        if self.early_cancellations.pop(submission.id, None) is not None:
            logger.info('submission accepted after its cancellation: submission={}', submission.id)
        for record in self.early_records.pop(submission.id, ()):
            self.update_job(record)

    def update_job(self, record: Cancelled | Progress) -> None:
        """Update a submission; keep the record for later if its acceptance is not read yet."""
        if record.submission in self.finished:
            return
        job = self.jobs.get(record.submission)
        if job is None:
            self.keep_early(record)
            return
        if isinstance(record, Cancelled):
            job.cancelled = True
        else:
            job.merge(record)
        self.note_outcome(job)

    def keep_early(self, record: Cancelled | Progress) -> None:
        """Keep a record for an acceptance that is read later; a repeated cancellation is kept once."""
        if isinstance(record, Cancelled):
            if record.submission in self.early_cancellations:
                return
            self.early_cancellations[record.submission] = self.clock()
        self.early_records.setdefault(record.submission, []).append(record)

    def note_outcome(self, job: Job) -> None:
        """Record when the outcome of a submission was read."""
        if job.state in FINAL_OUTCOMES and job.final_at is None:
            job.final_at = self.clock()

    def finish(self, record: Finished) -> None:
        """Keep only the outcome of a submission."""
        self.jobs.pop(record.submission, None)
        self.early_records.pop(record.submission, None)
        self.early_cancellations.pop(record.submission, None)
        self.finished[record.submission] = FinishedJob(record.outcome, self.clock())

    def retain(self, keys: Collection[str]) -> None:
        """Remove the submissions, outcomes, cancellations and workers whose keys a snapshot does not contain.

        Their keys were dropped while this entry could not read the log.
        """
        known = [f's/{name}' for name in self.jobs]
        known.extend(f'f/{name}' for name in self.finished)
        known.extend(f'c/{name}' for name in self.early_cancellations)
        known.extend(f'w/{name}' for name in self.workers)
        for key in known:
            if key not in keys:
                self.drop(key)

    def drop(self, key: str) -> None:
        """Remove the submission, outcome, early cancellation or worker of a dropped key."""
        kind, _, name = key.partition('/')
        submission = SubmissionId(name)
        if kind == 's':
            self.jobs.pop(submission, None)
            if submission not in self.early_cancellations:
                self.early_records.pop(submission, None)
        elif kind == 'f':
            self.finished.pop(submission, None)
        elif kind == 'c':
            self.drop_cancellation(submission)
        elif kind == 'w':
            self.workers.pop(name, None)

    def drop_cancellation(self, submission: SubmissionId) -> None:
        """Remove an early cancellation."""
        if self.early_cancellations.pop(submission, None) is None:
            return
        early = self.early_records.pop(submission)
        kept: list[Cancelled | Progress] = [
            record for record in early if isinstance(record, Progress)
        ]
        if kept:
            self.early_records[submission] = kept
