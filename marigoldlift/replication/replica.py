"""Tail of one keyed partition: a snapshot first, then each record in order."""

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from loguru import logger

from marigoldlift.errors import LogUnavailableError, RetentionPassedError
from marigoldlift.replication.api import KeyedLog, LogPage, SnapshotPreferredError
from marigoldlift.replication.log_contact import LogContact
from marigoldlift.replication.shared_read import SharedRead
from marigoldlift.replication.snapshot_reader import SnapshotReader
from marigoldlift.submissions.record_codec import StoredRecord
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('Replica',)

#: How long a read waits in the store for the first new record, in ms.
LONG_POLL_MS = 1000

#: Pauses after a failed read of a snapshot, in s.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4

#: Time between the starts of two reads while reads fail, in s. A read that was sent during an outage of the store may
#: get no answer at all, so the next one does not wait for its time-out.
RETRY_INTERVAL_S = 0.25

#: Longest wait of a caller for the answer to a read that refreshes what this entry already knows, in s.
REFRESH_WAIT_S = 0.5


class Replica:
    """Reads a partition and passes each record to `apply`, once and in order.

    Attributes:
        offset: the next record to read.
        ready: set while the replica holds a completely read snapshot.
        contact: when the log has answered.
        confirmed_at: time before which everything stored is applied: when the newest read that reached the end was sent.
            The answer may have waited in the socket of a paused process, so the time of its arrival tells nothing.
        polls: whether a read that waits for the next record is under way, so that new records arrive by themselves.
        last_response_s: duration of the last read that did not wait for records, in s.
        read_at: when the last read ended, or when the last read by `refresh` began.
        read_interval_s: shortest pause between two reads, in s, since each read has a cost.
        newest_suffices: whether only the newest record of each key matters, so that large records that others replace need
            not be read.
        snapshot_observers: called with the keys of a snapshot before its records are applied; other keys were dropped.
    """

    def __init__(
        self,
        log: KeyedLog,
        apply: Callable[[StoredRecord], None],
        clock: Callable[[], float],
        read_interval_s: float,
        faults: FaultBoundary,
        *,
        newest_suffices: bool = False,
    ) -> None:
        """Create a replica that has read nothing.

        Args:
            log: the log to read.
            apply: called with each record.
            clock: monotonic time in seconds.
            read_interval_s: shortest pause between two reads, in s.
            faults: sets aside records that cannot be applied.
            newest_suffices: whether only the newest record of each key matters.
        """
        self.log = log
        self.apply = apply
        self.clock = clock
        self.read_interval_s = read_interval_s
        self.faults = faults
        self.newest_suffices = newest_suffices
        self.offset = 0
        self.snapshots = SnapshotReader(log, clock)
        self.on_demand = SharedRead(partial(self.read, 0), self.patience_s)
        self.ready = asyncio.Event()
        self.contact = LogContact(clock)
        self.confirmed_at = float('-inf')
        self.read_at = self.contact.last_response_at
        self.last_response_s: float = 0
        self.failing = False
        self.polls = False
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
        except SnapshotPreferredError as preferred:
            logger.info('snapshot preferred: next={} {}', self.offset, preferred.reason)
            self.ready.clear()
            return True
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
        """Probe the log every `RETRY_INTERVAL_S`, read once a probe is answered, and wait for the answer."""
        attempts: list[asyncio.Task[None]] = []
        try:
            while not any(map(is_answered, attempts)):
                attempts = [attempt for attempt in attempts if not attempt.done()]
                attempts.append(asyncio.create_task(self.attempt()))
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            for late in attempts:
                late.cancel()

    async def attempt(self) -> None:
        """Read if the log answers a probe; attempts that overlap share the read, since a large answer takes longer."""
        await self.log.probe(self.offset)
        await asyncio.shield(self.on_demand.join())

    async def advance(self) -> None:
        """Load the snapshot if there is none, else read the next records."""
        if not self.ready.is_set():
            await self.load_snapshot()
            return
        if self.is_behind() and self.on_demand.is_reading():
            await asyncio.shield(self.on_demand.join())
            return
        self.polls = True
        try:
            await self.read(LONG_POLL_MS)
        finally:
            self.polls = False

    async def read(self, wait_ms: int) -> int:
        """Apply the records that follow, and return the end of the partition."""
        start = self.offset
        sent_at = self.clock()
        try:
            page = await self.read_page(start, wait_ms)
        except LogUnavailableError:
            self.contact.interrupted = True
            raise
        self.contact.note_answer()
        if not wait_ms:
            self.last_response_s = self.contact.last_response_at - sent_at
        self.read_at = self.contact.last_response_at
        if page.end < start:
            self.contact.known_end = page.end
            logger.error('the log ends before the next record: end={} next={}', page.end, start)
            raise RetentionPassedError(page.end)
        for stored in page.records:
            if stored.offset == self.offset:
                self.offset += 1
                self.apply_contained(stored)
        self.contact.note_offset(self.offset)
        if self.offset >= page.end:
            self.confirmed_at = max(self.confirmed_at, sent_at)
        return page.end

    async def read_page(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on; a record that an answer cuts off is read as a whole.

        Raises:
            SnapshotPreferredError: the record is replaced by a later one that matters, or too large for a read.
            RetentionPassedError: the records are no longer kept.
            LogUnavailableError: no answer.
        """
        page = await self.log.read(start, wait_ms)
        self.contact.note_end(page.end, self.offset)
        if not page.cut_off_bytes:
            return page
        self.contact.note_answer()
        if not (self.newest_suffices and page.end > start + 1):
            page = await self.log.read_record(start, page.cut_off_bytes)
            self.contact.note_end(page.end, self.offset)
        if page.cut_off_bytes:
            raise SnapshotPreferredError(start, page.end)
        return page

    def is_behind(self) -> bool:
        """Return whether the log is known to hold records that are not applied."""
        return self.offset < self.contact.known_end

    def patience_s(self) -> float | None:
        """Return how long to wait for a read before another one begins, in s; None until it ends if it has much to read."""
        return None if self.is_behind() else RETRY_INTERVAL_S

    async def refresh(self, max_age_s: float) -> None:
        """Read without waiting unless the last read is recent enough; keep the applied records if reads fail.

        Waits for `REFRESH_WAIT_S` at most; the read goes on.

        Args:
            max_age_s: age up to which the last read is recent enough, in s.
        """
        if self.failing or self.polls or not self.ready.is_set():
            return
        if self.clock() - self.read_at < max_age_s:
            return
        self.read_at = self.clock()
        read = self.on_demand.join()
        await asyncio.wait((read,), timeout=REFRESH_WAIT_S)
        fault = read.exception() if read.done() and not read.cancelled() else None
        if isinstance(fault, LogUnavailableError | RetentionPassedError):
            self.note_failure(fault)
        elif fault is not None:
            raise fault

    async def synchronize(self) -> None:
        """Apply all records that were stored before this call.

        Raises:
            LogUnavailableError: no answer, or the history was lost meanwhile.
        """
        if not self.ready.is_set():
            raise LogUnavailableError('the snapshot is not read yet')
        try:
            end = await self.on_demand.read_after_now()
            while self.offset < end:
                await self.on_demand.read_after_now()
        except RetentionPassedError as passed:
            raise LogUnavailableError(passed.reason) from passed

    async def load_snapshot(self) -> None:
        """Read the newest record of each key; the tail starts at the end that the first page reported."""
        snapshot = await self.snapshots.read()
        listed = {stored.key for stored in snapshot.records}
        for observer in self.snapshot_observers:
            observer(listed)
        for stored in sorted(snapshot.records, key=lambda stored: stored.offset):
            self.apply_contained(stored)
        self.offset = snapshot.start or 0
        self.contact.note_end(self.offset, self.offset)
        self.confirmed_at = max(self.confirmed_at, snapshot.sent_at)
        self.contact.note_answer()
        self.ready.set()

    def apply_contained(self, stored: StoredRecord) -> None:
        """Apply one record; one that raises is set aside, since each entry would end over it in turn."""
        with self.faults.contain(ItemKind.record, stored.key):
            self.apply(stored)

    def note_failure(self, fault: Exception) -> None:
        """Record a failed read, and log the first of consecutive failures."""
        self.contact.interrupted = True
        if not self.failing:
            self.failing = True
            logger.warning('reads fail: next={} {}', self.offset, fault)

    def note_success(self) -> None:
        """Log the first successful read after failures."""
        if self.failing:
            self.failing = False
            logger.info('reads succeed again: next={}', self.offset)


def is_answered(attempt: asyncio.Task[None]) -> bool:
    """Return whether the log has answered a read, be it that the next record is no longer kept."""
    if not attempt.done() or attempt.cancelled():
        return False
    return not isinstance(attempt.exception(), LogUnavailableError)
