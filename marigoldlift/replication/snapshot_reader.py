"""Reads the newest record of each key, page by page."""

from collections.abc import Callable

import msgspec

from marigoldlift.errors import LogUnavailableError
from marigoldlift.replication.api import KeyedLog
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('Snapshot', 'SnapshotReader')

#: Age of the first page after which a snapshot is read anew, in s: the records that follow it are kept for 20 s or more.
MAX_AGE_S = 10.0


class Snapshot(msgspec.Struct):
    """Newest records of all keys.

    Attributes:
        sent_at: when the first page was requested, in seconds of the monotonic clock.
        start: offset from which the following records are read, None before the first page was read.
        records: newest records so far.
        after: last key that was read.
    """

    sent_at: float
    start: int | None = None
    records: list[StoredRecord] = []
    after: str = ''


class SnapshotReader:
    """Reads snapshots; one that is interrupted goes on with the page that got no answer."""

    def __init__(self, log: KeyedLog, clock: Callable[[], float]) -> None:
        """Start without a page.

        Args:
            log: the log to read.
            clock: monotonic time in seconds.
        """
        self.log = log
        self.clock = clock
        self.partial: Snapshot | None = None

    async def read(self) -> Snapshot:
        """Read all pages that are left.

        Raises:
            LogUnavailableError: a page got no usable answer.
        """
        partial = self.partial
        if partial is None or partial.start is None or self.clock() - partial.sent_at > MAX_AGE_S:
            partial = Snapshot(self.clock())
            self.partial = partial
        more = True
        while more:
            more = await self.read_page(partial)
        self.partial = None
        return partial

    async def read_page(self, partial: Snapshot) -> bool:
        """Read the next page, and return whether another one follows.

        Raises:
            LogUnavailableError: no usable answer.
        """
        page = await self.log.newest(partial.after)
        if page.more and not page.records:
            raise LogUnavailableError('snapshot page without records')
        if partial.start is None:
            partial.start = page.end
        partial.records.extend(page.records)
        if page.records:
            partial.after = page.records[-1].key
        return page.more
