"""State of the cell, built by applying the records of the shared log."""

import sys
from collections.abc import Callable, Collection, Mapping
from typing import TypeGuard

from loguru import logger

from marigoldlift.errors import MalformedMessageError
from marigoldlift.ids import WorkspaceId
from marigoldlift.submissions.access import Caller
from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.job import FINAL_OUTCOMES, FinishedJob, Job
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.records import (
    Accepted,
    Cancelled,
    Finished,
    KnownWorker,
    Outcome,
    Progress,
    Record,
)
from marigoldlift.submissions.record_codec import (
    StoredRecord,
    cancellation_name,
    decode_record,
    scoped_name,
)
from marigoldlift.submissions.run_time_records import RunTimesSummary

__all__ = ('FINAL_OUTCOMES', 'CellState', 'FinishedJob', 'Job')

Observer = Callable[[int, Record], None]

#: Records that change a submission.
JobRecord = Cancelled | Progress | DoneTasks


class CellState:
    """All submissions, and the workers that may hold tasks.

    Attributes:
        jobs: submissions that have not ended, or that have ended but have no `Finished` record yet.
        finished: submissions that have ended and have no runs left.
        early_records: records read before the submission that they belong to, in order.
        early_cancellations: names of cancellations that have no effect so far, with the time at which each was read, in
            seconds of the monotonic clock: no acceptance was read, or the submission is that of another workspace. An
            acceptance that follows is cancelled if its workspace is that of the cancellation.
        rejected_acceptances: names of acceptances whose id another workspace had used before; their records are to be
            dropped.
        obsolete_reports: keys of `DoneTasks` records of submissions that have ended, which are to be dropped.
        run_times: newest summary of run times, None if there is none.
        observers: called with the offset and content of each record after it was applied.
        removers: remove what belongs to a dropped key, by kind of the key.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty state.

        Args:
            clock: monotonic time in seconds.
        """
        self.clock = clock
        self.jobs: dict[SubmissionId, Job] = {}
        self.finished: dict[SubmissionId, FinishedJob] = {}
        self.early_records: dict[SubmissionId, list[JobRecord]] = {}
        self.early_cancellations: dict[str, float] = {}
        self.rejected_acceptances: set[str] = set()
        self.obsolete_reports: set[str] = set()
        self.workers: dict[str, KnownWorker] = {}
        self.run_times: RunTimesSummary | None = None
        self.observers: list[Observer] = []
        self.removers: Mapping[str, Callable[[str], object]] = {
            's': self.drop_acceptance,
            'f': lambda name: self.finished.pop(SubmissionId(name), None),
            'c': self.drop_cancellation,
            'w': lambda name: self.workers.pop(name, None),
            'e': lambda name: self.obsolete_reports.discard(f'e/{name}'),
        }

    def state_of(self, submission: SubmissionId) -> Outcome | None:
        """Return the state of a submission, None if it is unknown."""
        job = self.find(submission)
        return job.state if job else None

    def is_cancelled(self, submission: SubmissionId) -> bool:
        """Return whether an open submission was cancelled by a caller who may access it."""
        job = self.jobs.get(submission)
        return job is not None and job.cancelled

    def is_visible(self, submission: SubmissionId, caller: Caller) -> bool:
        """Return whether a submission is known, and the caller may access it."""
        job = self.find(submission)
        return job is not None and caller.may_access(job.owner)

    def find(self, submission: SubmissionId) -> Job | FinishedJob | None:
        """Return what is known of a submission, None if it is unknown."""
        return self.finished.get(submission) or self.jobs.get(submission)

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
            case Cancelled() | Progress() | DoneTasks():
                self.update_job(record)
            case Finished():
                self.finish(record)
            case KnownWorker():
                self.workers[record.worker] = record
            case RunTimesSummary():
                self.run_times = record

    def accept(self, offset: int, submission: Submission) -> None:
        """Add a submission, and apply its early records; a known one stays unchanged."""
        known = self.find(submission.id)
        if known is not None:
            name = scoped_name(submission.id, submission.workspace)
            if name != scoped_name(submission.id, known.owner.workspace):
                self.rejected_acceptances.add(name)
            return
        job = Job(submission, offset, self.clock())
        self.jobs[submission.id] = job
        for record in self.early_records.pop(submission.id, ()):
            if is_cancellation(record):
                self.early_cancellations.pop(cancellation_name(record), None)
            self.update_job(record)
        if job.cancelled:
            logger.info('submission accepted after its cancellation: submission={}', submission.id)

    def update_job(self, record: JobRecord) -> None:
        """Update a submission; keep the record for later if its acceptance is not read yet."""
        if record.submission in self.finished:
            self.note_without_job(record)
            return
        job = self.jobs.get(record.submission)
        if job is None:
            self.keep_early(record)
            return
        if isinstance(record, Cancelled):
            self.cancel(job, record)
        elif isinstance(record, DoneTasks):
            job.merge_done(record)
        else:
            job.merge(record)
        self.note_outcome(job)

    def note_without_job(self, record: JobRecord) -> None:
        """Keep what is needed to drop a record of a submission that has ended."""
        if is_cancellation(record):
            self.note_without_effect(record)
        elif isinstance(record, DoneTasks):
            self.obsolete_reports.add(record.key)

    def cancel(self, job: Job, record: Cancelled) -> None:
        """Cancel a submission, unless it belongs to another workspace than that of the caller."""
        if record.caller.may_access(job.owner):
            job.cancellations.add(cancellation_name(record))
        else:
            self.note_without_effect(record)

    def note_without_effect(self, record: Cancelled) -> None:
        """Keep the name of a cancellation that has no effect until its record expires."""
        self.early_cancellations.setdefault(cancellation_name(record), self.clock())

    def keep_early(self, record: JobRecord) -> None:
        """Keep a record for an acceptance that is read later; a repeated cancellation is kept once."""
        if isinstance(record, Cancelled):
            name = cancellation_name(record)
            if name in self.early_cancellations:
                return
            self.early_cancellations[name] = self.clock()
        self.early_records.setdefault(record.submission, []).append(record)

    def note_outcome(self, job: Job) -> None:
        """Record when the outcome of a submission was read."""
        if job.state in FINAL_OUTCOMES and job.final_at is None:
            job.final_at = self.clock()

    def finish(self, record: Finished) -> None:
        """Keep only the outcome of a submission."""
        ended = self.jobs.pop(record.submission, None)
        if ended is not None and ended.submission.workspace != record.workspace:
            # After a restart the acceptance of another workspace may be read first.
            rejected = scoped_name(record.submission, ended.submission.workspace)
            self.rejected_acceptances.add(rejected)
        self.obsolete_reports.update(ended.reports if ended else ())
        early = self.early_records.pop(record.submission, ())
        self.obsolete_reports.update(one.key for one in early if isinstance(one, DoneTasks))
        self.finished[record.submission] = FinishedJob(
            record.outcome,
            self.clock(),
            WorkspaceId(sys.intern(record.workspace)),
            sys.intern(record.queue),
        )

    def retain(self, keys: Collection[str]) -> None:
        """Remove the submissions, outcomes, cancellations and workers whose keys a snapshot does not contain.

        Their keys were dropped while this entry could not read the log.
        """
        known = [f's/{job.name}' for job in self.jobs.values()]
        known.extend(f's/{name}' for name in self.rejected_acceptances)
        known.extend(f'f/{name}' for name in self.finished)
        known.extend(f'c/{name}' for name in self.early_cancellations)
        known.extend(f'w/{name}' for name in self.workers)
        known.extend(self.obsolete_reports)
        for key in known:
            if key not in keys:
                self.drop(key)

    def drop(self, key: str) -> None:
        """Remove the submission, outcome, early cancellation, worker or obsolete report of a dropped key."""
        kind, _, name = key.partition('/')
        remove = self.removers.get(kind)
        if remove is not None:
            remove(name)

    def drop_acceptance(self, name: str) -> None:
        """Remove a submission, unless the name is that of an acceptance by another workspace."""
        self.rejected_acceptances.discard(name)
        submission = SubmissionId(name.partition('/')[0])
        job = self.jobs.get(submission)
        if job is not None:
            if job.name == name:
                self.jobs.pop(submission)
            return
        if not any(map(is_cancellation, self.early_records.get(submission, ()))):
            self.early_records.pop(submission, None)

    def drop_cancellation(self, name: str) -> None:
        """Remove a cancellation that has no effect so far."""
        if self.early_cancellations.pop(name, None) is None:
            return
        submission = SubmissionId(name.partition('/')[0])
        early = self.early_records.pop(submission, ())
        kept = [
            record
            for record in early
            if not is_cancellation(record) or cancellation_name(record) != name
        ]
        if kept:
            self.early_records[submission] = kept


def is_cancellation(record: JobRecord) -> TypeGuard[Cancelled]:
    """Return whether a record is a cancellation."""
    return isinstance(record, Cancelled)
