"""Reduces the records of ended submissions to their outcome, and drops what is no longer needed of any submission."""

import asyncio
from collections.abc import Iterator, Sequence

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.record_codec import progress_key, scoped_name
from marigoldlift.submissions.records import Dropped, Finished, Record
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState, Job
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('Retention',)

#: How long an outcome is kept, as a multiple of the promised time; late copies of an acceptance arrive within seconds.
RETENTION_FACTOR = 2

#: Minimum time between the starts of two rounds, in s.
ROUND_INTERVAL_S = 1

#: How long the records of a round wait for the store, in s.
WAIT_S = 5

#: Maximum number of ended and of expired submissions, and of early cancellations, per round, with up to 4 records each,
#: so that a round does not delay other records for long.
MAX_SUBMISSIONS_PER_ROUND = 150


class Retention:
    """Reduces ended submissions to their outcome, and drops outcomes and early cancellations after the retention period.

    Attributes:
        round_at: start of the last round, in seconds of the monotonic clock.
        busy: whether a round is running.
    """

    def __init__(
        self,
        state: CellState,
        appender: Appender,
        open_submissions: OpenSubmissions,
        session_manager: SessionManager,
        kept_s: float,
    ) -> None:
        """Schedule the first round after one interval."""
        self.state = state
        self.appender = appender
        self.open_submissions = open_submissions
        self.session_manager = session_manager
        self.kept_s = kept_s * RETENTION_FACTOR
        self.round_at = state.clock()
        self.busy = False

    def is_due(self) -> bool:
        """Return whether the next round is due."""
        return not self.busy and self.state.clock() - self.round_at > ROUND_INTERVAL_S

    async def run_round(self) -> None:
        """Run one round; records that could not be stored are found again in a later round."""
        self.round_at = self.state.clock()
        self.busy = True
        try:
            await self.store(self.records())
        except PlatformError as fault:
            logger.info('records of ended submissions kept: {}', fault.reason)
        finally:
            self.busy = False

    def records(self) -> list[Sequence[Record]]:
        """Return the records of one round, grouped by submission."""
        ended = map(records_of_ended, self.ended()[:MAX_SUBMISSIONS_PER_ROUND])
        expired = map(self.records_of_expired, self.expired()[:MAX_SUBMISSIONS_PER_ROUND])
        rejected = sorted(self.state.rejected_acceptances)[:MAX_SUBMISSIONS_PER_ROUND]
        forgotten = self.expired_cancellations()[:MAX_SUBMISSIONS_PER_ROUND]
        unused = [f's/{name}' for name in rejected]
        unused.extend(f'c/{name}' for name in forgotten)
        unused.extend(sorted(self.state.obsolete_reports)[:MAX_SUBMISSIONS_PER_ROUND])
        return [*ended, *expired, *((Dropped(key),) for key in unused)]

    async def store(self, groups: Sequence[Sequence[Record]]) -> None:
        """Store all records of a submission or none; without its outcome, a dropped acceptance would be lost."""
        await asyncio.gather(*(self.appender.append_all(group, WAIT_S) for group in groups))

    def ended(self) -> list[Job]:
        """Return the submissions that have ended and of which certainly nothing runs.

        While a worker is unreachable, an outcome must be older than the time after which all orders have expired.
        """
        held = {
            task.submission
            for session in self.session_manager.sessions.values()
            for task in session.run_table.runs
        }
        ended_before = (
            self.state.clock() - self.session_manager.earlier_orders.expiry_s
            if self.session_manager.earlier_orders.unreachable
            else None
        )
        return [
            job
            for job in self.state.jobs.values()
            if job.submission.id not in held
            and not self.open_submissions.is_open(job.submission.id)
            and has_ended(job, ended_before)
        ]

    def expired(self) -> list[SubmissionId]:
        """Return the submissions whose outcome was kept for the retention period."""
        latest = self.state.clock() - self.kept_s
        return [name for name, job in self.state.finished.items() if job.seen_at < latest]

    def records_of_expired(self, name: SubmissionId) -> Sequence[Record]:
        """Return the records that drop a submission; a late copy of its acceptance may have been stored meanwhile."""
        accepted = scoped_name(name, self.state.finished[name].workspace)
        return [Dropped(f's/{accepted}'), Dropped(f'f/{name}')]

    def expired_cancellations(self) -> list[str]:
        """Return the names of the cancellations that had no effect within the retention period."""
        latest = self.state.clock() - self.kept_s
        return [name for name, at in self.state.early_cancellations.items() if at < latest]


def has_ended(job: Job, latest: float | None) -> bool:
    """Return whether a submission has a final outcome.

    Args:
        job: the submission.
        latest: time before which the outcome must have been read, in seconds of the monotonic clock; None for any time.
    """
    if job.state not in FINAL_OUTCOMES or job.final_at is None:
        return False
    return latest is None or job.final_at < latest


def records_of_ended(job: Job) -> Sequence[Record]:
    """Return the records that reduce a submission to its outcome."""
    name = job.submission.id
    owner = job.owner
    queue = '' if owner.workspace == NO_WORKSPACE else owner.queue
    finished = Finished(name, job.state, owner.workspace, queue)
    return [finished, Dropped(f's/{job.name}'), *dropped_progress(job)]


def dropped_progress(job: Job) -> Iterator[Record]:
    """Yield the records that drop a submission's cancellations, its progress and what earlier leaders have reported."""
    name = job.submission.id
    for cancellation in sorted(job.cancellations):
        yield Dropped(f'c/{cancellation}')
    for tenure, part in sorted(job.parts):
        yield Dropped(progress_key(name, tenure, part))
    yield from map(Dropped, sorted(job.reports))
