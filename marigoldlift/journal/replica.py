"""Replica of one stream: follows it, proposes records, and serves what it has to peers."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from itertools import islice

from loguru import logger

from marigoldlift.errors import LogUnavailableError
from marigoldlift.ids import Offset, StreamId
from marigoldlift.journal.appender import BatchAppender
from marigoldlift.journal.applier import StreamApplier
from marigoldlift.journal.follower import StreamFollower
from marigoldlift.journal.messages import Record, SnapshotChunk, encode_record
from marigoldlift.journal.settings import ReplicaSettings
from marigoldlift.journal.snapshots import SnapshotSchedule, split_snapshot
from marigoldlift.journal.state import Applied, Listener, PeerRelay, StateMachine, StreamSnapshot
from marigoldlift.journal.tail import RecordTail
from marigoldlift.platform.api import LogService
from marigoldlift.platform.messages import RecordPage

__all__ = ('StreamReplica',)

CHUNK_TIMEOUT_S = 10.0

# 8 chunks of 32 kB share one append, and leave room in it for other records.
CHUNKS_AT_ONCE = 8


class StreamReplica:
    """State of one stream on one entry.

    Attributes:
        applier: the state, without I/O.
        appender: the writing side.
        follower: the reading side.
        snapshot_lock: held while a snapshot is being written.
    """

    def __init__(
        self,
        log: LogService,
        stream: StreamId,
        producer: str,
        machine: StateMachine,
        relay: PeerRelay | None = None,
        *,
        pace: Callable[[], float],
        settings: ReplicaSettings | None = None,
    ) -> None:
        """Start without state.

        Args:
            log: the platform's log.
            stream: stream to follow and to write.
            producer: incarnation of this process; never used by another one.
            machine: state machine of the stream, without state.
            relay: access to peers, None to do without.
            pace: returns the least time between two appends, in seconds.
            settings: bounds and times; None for the defaults.
        """
        settings = settings or ReplicaSettings()
        self.stream = stream
        self.settings = settings
        self.appender = BatchAppender(log, stream, producer, pace, settings)
        self.applier = StreamApplier(
            machine,
            RecordTail(settings.tail_records, settings.tail_bytes),
            SnapshotSchedule(settings.retention_s, settings.snapshot_records),
            self.appender.note_read_back,
            self.note_progress,
        )
        self.follower = StreamFollower(log, stream, self.applier, relay, settings)
        self.waiters: set[tuple[Offset, asyncio.Future[None]]] = set()
        self.snapshot_lock = asyncio.Lock()

    @property
    def applied(self) -> Offset:
        """Offset of the last applied record."""
        return self.applier.applied

    @property
    def caught_up(self) -> bool:
        """Whether the end of the log, or of the best peer, was reached once."""
        return self.follower.caught_up

    @property
    def log_reachable(self) -> bool:
        """Whether the log answered the last read."""
        return self.follower.log_reachable

    async def run(self) -> None:
        """Follow the stream and append to it for ever."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follow())
            tasks.create_task(self.appender.run())

    async def propose(self, record: Record, timeout_s: float) -> Applied:
        """Append a record, and return its offset and verdict after it was read back.

        Raises:
            InvalidInputError: the record is larger than a batch.
            OverloadedError: too many records wait for the log.
            LogUnavailableError: the record is not and never will be in the stream.
            AppendOutcomeUnknownError: the record may be in the stream, or appear there later.
        """
        return await self.appender.propose(encode_record(record), timeout_s)

    async def wait_applied(self, offset: Offset, timeout_s: float) -> None:
        """Wait until the record at `offset` is applied.

        Raises:
            LogUnavailableError: the time has passed.
        """
        if offset <= self.applied:
            return
        waiter = (offset, asyncio.get_running_loop().create_future())
        with ExitStack() as cleanup:
            cleanup.callback(self.waiters.discard, waiter)
            self.waiters.add(waiter)
            await asyncio.wait(waiter[1:], timeout=timeout_s)
        if offset > self.applied:
            raise LogUnavailableError(f'offset {offset} was not reached within {timeout_s} s')

    def tail(self, first: Offset, limit: int) -> RecordPage:
        """Return newest records for a peer; `next` is 0 while this replica has not caught up."""
        page = self.applier.tail.page(first, limit)
        if not self.caught_up:
            page.next = Offset(0)
        return page

    def snapshot(self) -> StreamSnapshot:
        """Return the state for a peer; `as_of` is 0 when there is none."""
        return self.applier.snapshot()

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` after each applied record, in order; snapshot chunks are left out."""
        self.applier.listeners.append(listener)

    async def write_snapshot_if_due(self, preferred: bool) -> bool:
        """Write the state into the stream if that is due; true when it was written.

        Args:
            preferred: whether this entry is the preferred one of the stream; others step in
                later.
        """
        if self.snapshot_lock.locked() or not self.is_snapshot_due(preferred):
            return False
        async with self.snapshot_lock:
            return await self.write_snapshot()

    def is_snapshot_due(self, preferred: bool) -> bool:
        """Tell whether a snapshot should and can be written now."""
        if not (self.caught_up and self.log_reachable):
            return False
        now_ms = self.settings.wall_clock()
        return self.applier.schedule.is_due(self.applied, now_ms, preferred)

    async def write_snapshot(self) -> bool:
        """Propose all chunks of the present state; false when one was not read back."""
        now_ms = self.settings.wall_clock()
        snapshot_id = '{0}-{1}'.format(self.appender.producer, self.applied)
        chunks = split_snapshot(self.snapshot(), snapshot_id, now_ms)
        while group := tuple(islice(chunks, CHUNKS_AT_ONCE)):
            if not await self.propose_chunks(group):
                return False
        return True

    async def propose_chunks(self, chunks: tuple[SnapshotChunk, ...]) -> bool:
        """Propose chunks at once; false when one was not read back."""
        outcomes = await asyncio.gather(
            *(self.propose(chunk, CHUNK_TIMEOUT_S) for chunk in chunks),
            return_exceptions=True,
        )
        failures = [outcome for outcome in outcomes if isinstance(outcome, BaseException)]
        for failure in failures:
            logger.warning('snapshot of {} is incomplete: {!r}', self.stream, failure)
        return not failures

    async def follow(self) -> None:
        """Follow the stream for ever."""
        while True:
            await self.follower.follow_once()

    def note_progress(self) -> None:
        """Take note that `applied` has moved."""
        self.note_restored()
        self.wake_waiters()

    def note_restored(self) -> None:
        """Settle the batch in flight if a restored snapshot already contains it."""
        batch = self.appender.buffer.in_flight
        if batch is None:
            return
        if self.applier.sequences.has_seen(self.appender.producer, batch.sequence):
            self.appender.buffer.note_seen(batch.sequence)

    def wake_waiters(self) -> None:
        """Wake those whose offset was reached."""
        for offset, future in self.waiters:
            if offset <= self.applied and not future.done():
                future.set_result(None)
