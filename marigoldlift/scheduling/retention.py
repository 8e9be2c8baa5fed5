"""Reduces the records of submissions that have ended, and drops them when their outcome need not be told any more."""

import asyncio
from collections.abc import Iterator, Sequence

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import Dropped, Finished, Record
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState, Job

__all__ = ('Retention',)

#: Times the promised period for which an outcome is kept; late copies of an acceptance come within seconds.
RETENTION_FACTOR = 2

#: Pause between two rounds, in s.
ROUND_PACE_S = 1

#: How long the records of a round wait for the store, in s.
WAIT_S = 5

#: Submissions handled in one round, so that it delays no other record for long; 4 records each.
MAX_SUBMISSIONS_PER_ROUND = 150


class Retention:
    """Keeps a submission that has ended as its outcome alone, and for a limited time.

    Attributes:
        round_at: time of the last round, in seconds of the steady clock.
    """

    def __init__(
        self,
        state: CellState,
        appender: Appender,
        open_submissions: OpenSubmissions,
        session_manager: SessionManager,
        kept_s: float,
    ) -> None:
        """Start without a round."""
        self.state = state
        self.appender = appender
        self.open_submissions = open_submissions
        self.session_manager = session_manager
        self.kept_s = kept_s * RETENTION_FACTOR
        self.round_at = state.clock()
        self.busy = False

    def is_due(self) -> bool:
        """Tell whether the next round is due."""
        return not self.busy and self.state.clock() - self.round_at > ROUND_PACE_S

    async def run_round(self) -> None:
        """Handle what can be handled now; what could not be stored is found again."""
        self.round_at = self.state.clock()
        self.busy = True
        try:
            await self.store(self.records())
        except PlatformError as fault:
            logger.info('records of ended submissions kept: {}', fault.reason)
        finally:
            self.busy = False

    def records(self) -> list[Sequence[Record]]:
        """Return the records of one round, by submission."""
        ended = map(records_of_ended, self.ended()[:MAX_SUBMISSIONS_PER_ROUND])
        outdated = map(records_of_outdated, self.outdated()[:MAX_SUBMISSIONS_PER_ROUND])
        return [*ended, *outdated]

    async def store(self, groups: Sequence[Sequence[Record]]) -> None:
        """Store all records of a submission or none: an acceptance dropped without an outcome is lost."""
        await asyncio.gather(*(self.appender.append_all(group, WAIT_S) for group in groups))

    def ended(self) -> list[Job]:
        """Return the submissions that have ended and surely run nowhere."""
        held = {
            task.submission
            for session in self.session_manager.sessions.values()
            for task in session.room.runs
        }
        earliest = (
            self.state.clock() - self.session_manager.orders_expiry_s
            if self.session_manager.unreachable
            else None
        )
        return [
            job
            for job in self.state.jobs.values()
            if job.submission.id not in held
            and not self.open_submissions.is_open(job.submission.id)
            and has_ended(job, earliest)
        ]

    def outdated(self) -> list[SubmissionId]:
        """Return the submissions whose outcome was told for long enough."""
        latest = self.state.clock() - self.kept_s
        return [name for name, job in self.state.finished.items() if job.seen_at < latest]


def has_ended(job: Job, latest: float | None) -> bool:
    """Tell whether a submission has an outcome, since before a time where one is given."""
    if job.state not in FINAL_OUTCOMES or job.final_at is None:
        return False
    return latest is None or job.final_at < latest


def records_of_ended(job: Job) -> Sequence[Record]:
    """Return the records that leave only the outcome."""
    name = job.submission.id
    return [Finished(name, job.state), Dropped(f's/{name}'), *progress_keys(job)]


def progress_keys(job: Job) -> Iterator[Record]:
    """Yield the records that drop what was stored beside the acceptance."""
    name = job.submission.id
    if job.cancelled:
        yield Dropped(f'c/{name}')
    for tenure in sorted(job.tenures):
        yield Dropped(f'p/{name}/{tenure}')


def records_of_outdated(name: SubmissionId) -> Sequence[Record]:
    """Return the records that forget a submission; a late copy of its acceptance may have been stored again."""
    return [Dropped(f's/{name}'), Dropped(f'f/{name}')]
