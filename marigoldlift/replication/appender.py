"""Ordered group commit: one batch in flight, resent until its outcome is known."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from itertools import chain

from loguru import logger

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    RecordRefusedError,
    SequenceMismatchError,
)
from marigoldlift.replication.api import KeyedLog, Producer
from marigoldlift.submissions.records import Record
from marigoldlift.submissions.record_codec import (
    MAX_KEY_BYTES,
    MAX_RECORD_BYTES,
    encode_record,
    record_key,
)
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('Appender',)

#: Wait for more records before a batch is sent, in s; the store answers in 4 ms and accepts a few hundred calls per
#: second.
LINGER_S = 0.008

#: Maximum bytes of one batch, below the 2 MB that the store accepts in one call.
BATCH_BYTES = 1_000_000

#: Largest total of records that are stored together, below the 2 MB as well; the store refuses more, and with it all records
#: of other callers in the same batch.
MAX_APPEND_BYTES = 2_000_000

#: Weight of the newest append in the smoothed latency.
LATENCY_WEIGHT = 0.2

#: Pauses between two attempts to send a batch, in s; the store's refusals cost as much as its answers.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.2

#: How long an unanswered batch is resent after its last caller has left, in s, if the appender abandons batches at all.
RESEND_S = 30


class PendingAppend:
    """Records of one caller that are to be stored together.

    Attributes:
        records: key and content of each.
        deadline: time at which the caller stops waiting, in seconds of the monotonic clock.
    """

    __slots__ = ('records', 'stored', 'deadline')

    def __init__(self, records: Sequence[Record], deadline: float) -> None:
        """Encode the records.

        Raises:
            RecordRefusedError: a record has another form than the log can store, or all are too large for one call.
        """
        self.records = list(map(encode_for_log, records))
        if self.size > MAX_APPEND_BYTES:
            raise RecordRefusedError(f'the records are too large for one call: {self.size} bytes')
        self.deadline = deadline
        self.stored: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    @property
    def size(self) -> int:
        """Return the total size of the contents in bytes."""
        return sum(len(content) for _, content in self.records)

    def settle(self, outcome: int | Exception) -> None:
        """Set the result for the caller, unless it is already set or cancelled."""
        if self.stored.done():
            return
        if isinstance(outcome, Exception):
            self.stored.set_exception(outcome)
            # Marks the exception as retrieved, since the caller may no longer wait for it.
            self.stored.exception()
        else:
            self.stored.set_result(outcome)


class Appender:
    """Stores records in the order in which they were submitted.

    The store numbers the batches of a producer and repeats its answer for one that it has stored. So an
    unanswered batch is resent unchanged, and no late copy of it can follow a newer batch.

    Attributes:
        batch: pending appends being stored.
        outcome_unknown: the batch may already be stored.
        idle: set while no call is in progress.
        fenced: the log accepts no more records of this producer's epoch.
        may_abandon: whether a batch without an answer is abandoned `RESEND_S` after its last caller has left, so that no
            record is stored long after its caller was told that the outcome is unknown.
        latency_s: smoothed duration of successful appends, in s.
        last_response_s: duration of the last append call, answered or not, in s.
        sent_at: when the call in progress was sent, in seconds of the monotonic clock; None if there is none.
        failing_since: when the first of the current consecutive failures occurred, in seconds of the monotonic clock.
        failed_at: when the last failure occurred, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        log: KeyedLog,
        producer: Producer,
        clock: Callable[[], float],
        metrics: Metrics,
        *,
        may_abandon: bool = False,
    ) -> None:
        """Create an appender without pending records.

        Args:
            log: the log that stores the records.
            producer: name and epoch that no other incarnation of an entry uses.
            clock: monotonic time in seconds.
            metrics: counts appends.
            may_abandon: whether to abandon unanswered batches; the epochs of the producer must have no other meaning.
        """
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.producer = producer
        self.sequence = 0
        self.waiting: list[PendingAppend] = []
        self.batch: list[PendingAppend] = []
        self.arrived = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self.failing_since: float | None = None
        self.failed_at = float('-inf')
        self.latency_s: float = 0
        self.last_response_s: float = 0
        self.sent_at: float | None = None
        self.fenced = False
        self.outcome_unknown = False
        self.may_abandon = may_abandon

    @property
    def response_s(self) -> float:
        """Return the duration of the last append call, or that of the one in progress if it is longer, in s."""
        if self.sent_at is None:
            return self.last_response_s
        return max(self.last_response_s, self.clock() - self.sent_at)

    async def fence(self) -> bool:
        """Make the log refuse earlier epochs of the producer; return False if the append was refused or unanswered.

        Raises:
            SequenceMismatchError: a later epoch exists.
        """
        try:
            await self.log.append((), self.producer, 0)
        except (AppendOutcomeUnknownError, AppendRefusedError) as fault:
            self.note_failure(fault)
            return False
        return True

    async def append(self, record: Record, wait_s: float, doubt_s: float = 0) -> int:
        """Store a record and return its offset.

        Args:
            record: what is stored.
            wait_s: how long the caller waits, in s.
            doubt_s: how much longer it waits if the record may be stored already, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """
        return await self.append_all((record,), wait_s, doubt_s)

    async def append_all(
        self, records: Sequence[Record], wait_s: float, doubt_s: float = 0
    ) -> int:
        """Store records atomically at consecutive offsets, and return the offset of the first.

        Args:
            records: what is stored, in this order.
            wait_s: how long the caller waits, in s.
            doubt_s: how much longer it waits if the records may be stored already, in s.

        Raises:
            AppendRefusedError: no record is stored and none will be.
            AppendOutcomeUnknownError: all records may be stored, now or later.
        """
        entry = PendingAppend(records, self.clock() + wait_s)
        self.waiting.append(entry)
        self.arrived.set()
        offset = await settled(entry, wait_s)
        if offset is None and entry not in self.waiting:
            offset = await settled(entry, doubt_s)
        if offset is None:
            await self.idle.wait()
            return self.abandon(entry)
        return offset

    def abandon(self, entry: PendingAppend) -> int:
        """Withdraw an append after its time-out if it is certainly not stored: never sent, or refused by each call."""
        if entry.stored.done():
            return entry.stored.result()
        for entries in (self.waiting, [] if self.outcome_unknown else self.batch):
            if entry in entries:
                entries.remove(entry)
                raise AppendRefusedError('the log did not take the record in time')
        raise AppendOutcomeUnknownError('the log gave no answer in time')

    async def run(self) -> None:
        """Collect and store batches until cancelled."""
        while True:
            await self.arrived.wait()
            await asyncio.sleep(LINGER_S)
            self.batch = self.take_batch()
            self.outcome_unknown = False
            self.drop_expired()
            await self.store()
            if not self.waiting:
                self.arrived.clear()

    def take_batch(self) -> list[PendingAppend]:
        """Remove and return the waiting appends that fit into one call, at least one."""
        size = 0
        count = 0
        for entry in self.waiting:
            size += entry.size
            if count and size > BATCH_BYTES:
                break
            count += 1
        batch = self.waiting[:count]
        self.waiting = self.waiting[count:]
        return batch

    async def store(self) -> None:
        """Send the batch until it is stored or this epoch is fenced.

        While each attempt is refused, records whose callers have timed out are removed.
        """
        pause = INITIAL_BACKOFF_S
        while self.batch and not self.fenced:
            if await self.try_batch():
                return
            if not self.outcome_unknown:
                self.drop_expired()
            elif self.should_abandon():
                self.abandon_batch()
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_BACKOFF_S)
        ended = AppendOutcomeUnknownError if self.outcome_unknown else AppendRefusedError
        for entry in self.batch:
            entry.settle(ended('a later epoch of the producer exists'))

    async def try_batch(self) -> bool:
        """Send the batch once; return whether it is stored."""
        self.idle.clear()
        try:
            offset = await self.send(self.batch)
        except AppendOutcomeUnknownError:
            self.outcome_unknown = True
        except AppendRefusedError:
            return False
        else:
            self.confirm(self.batch, offset)
            return True
        finally:
            self.idle.set()
        return False

    async def send(self, batch: list[PendingAppend]) -> int:
        """Make one append call, and record its duration and outcome."""
        records = list(chain.from_iterable(entry.records for entry in batch))
        sent_at = self.clock()
        self.sent_at = sent_at
        try:
            offset = await self.log.append(records, self.producer, self.sequence)
        except SequenceMismatchError as mismatch:
            return self.resolve_mismatch(mismatch)
        except (AppendOutcomeUnknownError, AppendRefusedError) as fault:
            self.note_failure(fault)
            raise
        finally:
            self.sent_at = None
            self.last_response_s = self.clock() - sent_at
        self.failing_since = None
        self.metrics.add(Metric.log_appends, outcome='stored')
        self.metrics.observe(Metric.log_append, self.last_response_s, stream='work')
        self.latency_s += (self.last_response_s - self.latency_s) * LATENCY_WEIGHT
        return offset

    def resolve_mismatch(self, mismatch: SequenceMismatchError) -> int:
        """Return -1 if the batch is already stored; else mark this epoch as fenced.

        Raises:
            AppendRefusedError: the log accepts no more records of this epoch.
        """
        logger.warning(
            'append: {} sent={} producer={}', mismatch.reason, self.sequence, self.producer
        )
        if mismatch.expected == self.sequence + 1:
            return -1
        self.fenced = True
        raise AppendRefusedError('the log takes no more records of this epoch')

    def note_failure(self, fault: Exception) -> None:
        """Count a failure, and log the first of consecutive failures."""
        self.metrics.add(Metric.log_appends, outcome=getattr(fault, 'code', 'failed'))
        self.failed_at = self.clock()
        if self.failing_since is None:
            self.failing_since = self.clock()
            logger.warning('appends fail: code={} reason={}', getattr(fault, 'code', ''), fault)

    def should_abandon(self) -> bool:
        """Return whether all callers of the unanswered batch have left long ago."""
        last_deadline = max(entry.deadline for entry in self.batch)
        return self.may_abandon and self.clock() - last_deadline > RESEND_S

    def abandon_batch(self) -> None:
        """Resend the batch no more, and continue under a higher epoch: the log then refuses late copies of the batch."""
        logger.warning('append abandoned: sent={} producer={}', self.sequence, self.producer)
        for entry in self.batch:
            entry.settle(
                AppendOutcomeUnknownError(
                    'the log gave no answer until long after the caller left'
                )
            )
        self.batch = []
        self.producer = Producer(self.producer.name, self.producer.epoch + 1)
        self.sequence = 0

    def drop_expired(self) -> None:
        """Remove the records whose callers have timed out; no call with this batch had an effect, so none is stored."""
        now = self.clock()
        expired = [entry for entry in self.batch if entry.deadline <= now]
        for dropped in expired:
            self.batch.remove(dropped)
            dropped.settle(AppendRefusedError('the record was not stored before its caller left'))

    def confirm(self, batch: list[PendingAppend], offset: int) -> None:
        """Set the offsets for all callers of a stored batch."""
        self.sequence += 1
        for entry in batch:
            entry.settle(offset)
            offset += len(entry.records) if offset >= 0 else 0


async def settled(entry: PendingAppend, wait_s: float) -> int | None:
    """Wait for the result of an append, and return its offset, None after a time-out.

    Raises:
        AppendRefusedError: no record is stored and none will be.
        AppendOutcomeUnknownError: the records may be stored, now or later.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            return await asyncio.shield(entry.stored)
    return None


def encode_for_log(record: Record) -> tuple[str, bytes]:
    """Return the key and the content of a record.

    Raises:
        RecordRefusedError: the log takes no such record, however often it is sent.
    """
    try:
        key, content = record_key(record), encode_record(record)
        key_bytes = len(key.encode())
    except (ValueError, TypeError, OverflowError) as fault:
        raise RecordRefusedError(f'the record cannot be encoded: {fault}') from fault
    if key_bytes > MAX_KEY_BYTES or len(content) > MAX_RECORD_BYTES:
        raise RecordRefusedError(
            f'the record is too large: key={key_bytes} content={len(content)} bytes'
        )
    return key, content
