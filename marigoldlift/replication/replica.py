"""Tail of one keyed partition: a snapshot first, then each record in order."""

import asyncio
from collections.abc import Callable, Collection

from loguru import logger

from marigoldlift.errors import LogUnavailableError, RetentionPassedError
from marigoldlift.replication.api import KeyedLog
from marigoldlift.submissions.record_codec import StoredRecord
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('Replica',)

#: How long a read waits in the store for the first new record, in ms.
LONG_POLL_MS = 1000

#: Time without an answer that counts as an outage of the store, in s; a read waits for 1 s at most.
OUTAGE_S = 1.8

#: Time without an answer after which the requests that an entry reads may be older than any caller waits, in s: they
#: were waiting in its sockets while it was paused.
AWAY_S = 30

#: How long after such a time requests count as old, in s; those that were waiting are read at once.
RETURN_S = 1.0

#: Pauses after a failed read of a snapshot, in s.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4

#: Time between the starts of two reads while reads fail, in s. A read that was sent during an outage of the store may
#: get no answer at all, so the next one does not wait for its time-out.
RETRY_INTERVAL_S = 0.25


class Replica:
    """Reads a partition and passes each record to `apply`, once and in order.

    Attributes:
        offset: the next record to read.
        ready: set while the replica holds a completely read snapshot.
        last_response_at: when the last answer of the store arrived, in seconds of the monotonic clock.
        confirmed_at: time before which everything stored is applied: when the newest read that reached the end was sent.
            The answer may have waited in the socket of a paused process, so the time of its arrival tells nothing.
        resumed_at: when the first answer after the last failure or outage arrived.
        returned_at: when the first answer after the last time of at least `AWAY_S` without one arrived.
        interrupted: whether a read has failed since the last answer.
        last_response_s: duration of the last read that did not wait for records, in s.
        read_at: when the last read ended, or when the last read by `refresh` began.
        read_interval_s: shortest pause between two reads, in s, since each read has a cost.
        snapshot_observers: called with the keys of a snapshot before its records are applied; other keys were dropped.
    """

    def __init__(
        self,
        log: KeyedLog,
        apply: Callable[[StoredRecord], None],
        clock: Callable[[], float],
        read_interval_s: float,
        faults: FaultBoundary,
    ) -> None:
        """Create a replica that has read nothing.

        Args:
            log: the log to read.
            apply: called with each record.
            clock: monotonic time in seconds.
            read_interval_s: shortest pause between two reads, in s.
            faults: sets aside records that cannot be applied.
        """
        self.log = log
        self.apply = apply
        self.clock = clock
        self.read_interval_s = read_interval_s
        self.faults = faults
        self.offset = 0
        self.ready = asyncio.Event()
        self.last_response_at = clock()
        self.confirmed_at = float('-inf')
        self.resumed_at = self.last_response_at
        self.returned_at = float('-inf')
        self.read_at = self.last_response_at
        self.last_response_s: float = 0
        self.failing = False
        self.interrupted = False
        self.snapshot_observers: list[Callable[[Collection[str]], None]] = []

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        pause = INITIAL_BACKOFF_S
        while True:
            if await self.try_advance():
                pause = INITIAL_BACKOFF_S
                await asyncio.sleep(self.read_interval_s if self.ready.is_set() else 0)
            elif self.ready.is_set():
                await self.await_answer()
                self.note_success()
            else:
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_BACKOFF_S)

    async def try_advance(self) -> bool:
        """Advance once; return False if the log did not answer."""
        try:
            await self.advance()
        except RetentionPassedError as passed:
            logger.warning('history lost: next={} {}', self.offset, passed.reason)
            self.ready.clear()
            return True
        except LogUnavailableError as fault:
            self.note_failure(fault)
            return False
        self.note_success()
        return True

    async def await_answer(self) -> None:
        """Read every `RETRY_INTERVAL_S` until a read is answered; each one applies its records as it arrives."""
        attempts: list[asyncio.Task[int]] = []
        try:
            while not any(map(is_answered, attempts)):
                attempts = [attempt for attempt in attempts if not attempt.done()]
                attempts.append(asyncio.create_task(self.read(0)))
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            for late in attempts:
                late.cancel()

    async def advance(self) -> None:
        """Load the snapshot if there is none, else read the next records."""
        if self.ready.is_set():
            await self.read(LONG_POLL_MS)
        else:
            await self.load_snapshot()

    async def read(self, wait_ms: int) -> int:
        """Apply the records that follow, and return the end of the partition."""
        start = self.offset
        sent_at = self.clock()
        try:
            page = await self.log.read(start, wait_ms)
        except LogUnavailableError:
            self.interrupted = True
            raise
        self.note_answer()
        if not wait_ms:
            self.last_response_s = self.last_response_at - sent_at
        self.read_at = self.last_response_at
        if page.end < start:
            logger.error('the log ends before the next record: end={} next={}', page.end, start)
            raise RetentionPassedError(page.end)
        for stored in page.records:
            if stored.offset == self.offset:
                self.offset += 1
                self.apply_contained(stored)
        if self.offset >= page.end:
            self.confirmed_at = max(self.confirmed_at, sent_at)
        return page.end

    async def refresh(self, max_age_s: float) -> None:
        """Read without waiting unless the last read is recent enough; keep the applied records if reads fail.

        Args:
            max_age_s: age up to which the last read is recent enough, in s.
        """
        if self.failing or not self.ready.is_set():
            return
        if self.clock() - self.read_at < max_age_s:
            return
        self.read_at = self.clock()
        try:
            await self.read(0)
        except (LogUnavailableError, RetentionPassedError) as fault:
            self.note_failure(fault)

    async def synchronize(self) -> None:
        """Apply all records that were stored before this call.

        Raises:
            LogUnavailableError: no answer, or the history was lost meanwhile.
        """
        if not self.ready.is_set():
            raise LogUnavailableError('the snapshot is not read yet')
        try:
            end = await self.read(0)
            while self.offset < end:
                await self.read(0)
        except RetentionPassedError as passed:
            raise LogUnavailableError(passed.reason) from passed

    async def load_snapshot(self) -> None:
        """Read the newest record of each key; the tail starts at the end that the first page reported."""
        after = ''
        start: int | None = None
        records: list[StoredRecord] = []
        sent_at = self.clock()
        more = True
        while more:
            page = await self.log.newest(after)
            start = page.end if start is None else start
            records.extend(page.records)
            more = page.more and bool(page.records)
            after = page.records[-1].key if page.records else after
        listed = {stored.key for stored in records}
        for observer in self.snapshot_observers:
            observer(listed)
        for stored in sorted(records, key=lambda stored: stored.offset):
            self.apply_contained(stored)
        self.offset = start or 0
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.note_answer()
        self.ready.set()

    def apply_contained(self, stored: StoredRecord) -> None:
        """Apply one record; one that raises is set aside, since each entry would end over it in turn."""
        with self.faults.contain(ItemKind.record, stored.key):
            self.apply(stored)

    def was_away(self) -> bool:
        """Return whether this entry was paused or without the log so long that requests may have waited as long."""
        now = self.clock()
        return now - self.last_response_at > AWAY_S or now - self.returned_at < RETURN_S

    def note_answer(self) -> None:
        """Record an answer of the store, and whether it ends an outage."""
        now = self.clock()
        if now - self.last_response_at > AWAY_S:
            self.returned_at = now
        if self.interrupted or now - self.last_response_at > OUTAGE_S:
            self.resumed_at = now
            self.interrupted = False
        self.last_response_at = now

    def note_failure(self, fault: Exception) -> None:
        """Record a failed read, and log the first of consecutive failures."""
        self.interrupted = True
        if not self.failing:
            self.failing = True
            logger.warning('reads fail: next={} {}', self.offset, fault)

    def note_success(self) -> None:
        """Log the first successful read after failures."""
        if self.failing:
            self.failing = False
            logger.info('reads succeed again: next={}', self.offset)


def is_answered(attempt: asyncio.Task[int]) -> bool:
    """Return whether the log has answered a read, be it that the next record is no longer kept."""
    if not attempt.done() or attempt.cancelled():
        return False
    return not isinstance(attempt.exception(), LogUnavailableError)
