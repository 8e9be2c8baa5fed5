"""Drops the records of submissions whose outcome need not be told any more."""

from collections.abc import Iterator

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.records import Dropped
from marigoldlift.submissions.state import FINAL, CellState, Job

__all__ = ('Retention',)

#: Times the promised period for which an outcome is kept; late copies of an acceptance come within seconds.
KEPT_PERIODS = 2

#: Pause between two searches, in s.
SEARCH_PACE_S = 5

#: How long the records of a search wait for the store, in s.
WAIT_S = 5

#: Submissions dropped in one search, so that it delays no other record for long.
MOST_DROPPED = 100


class Retention:
    """Finds submissions with an old outcome.

    Attributes:
        searched_at: time of the last search, in seconds of the steady clock.
    """

    def __init__(self, state: CellState, appender: Appender, kept_s: float) -> None:
        """Start without a search."""
        self.state = state
        self.appender = appender
        self.kept_s = kept_s * KEPT_PERIODS
        self.searched_at = state.clock()

    def is_due(self) -> bool:
        """Tell whether the next search is due."""
        return self.state.clock() - self.searched_at > SEARCH_PACE_S

    async def drop_old(self) -> None:
        """Drop what is old; what could not be dropped is found again."""
        latest = self.state.clock() - self.kept_s
        self.searched_at = self.state.clock()
        old = [job for job in self.state.jobs.values() if is_older(job, latest)]
        for job in old[:MOST_DROPPED]:
            for key in keys_of(job):
                if not await self.drop(key):
                    return

    async def drop(self, key: str) -> bool:
        """Drop one key; False when the store does not take it now."""
        try:
            await self.appender.append(Dropped(key), WAIT_S)
        except PlatformError as fault:
            logger.info('old record kept: key={} {}', key, fault.reason)
            return False
        return True


def is_older(job: Job, latest: float) -> bool:
    """Tell whether a submission has had its outcome since before a time."""
    return job.state in FINAL and job.final_at is not None and job.final_at < latest


def keys_of(job: Job) -> Iterator[str]:
    """Yield the keys of a submission, the one that makes it known last."""
    name = job.submission.id
    for tenure in sorted(job.tenures):
        yield f'p/{name}/{tenure}'
    if job.cancelled:
        yield f'c/{name}'
    yield f's/{name}'
