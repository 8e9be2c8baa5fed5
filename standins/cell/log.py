"""In-memory keyed log: producers, long polling, outages, lost answers, late appends, dropped history."""

import asyncio
import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    LogUnavailableError,
    RetentionPassedError,
    SequenceMismatchError,
)
from marigoldlift.replication.api import LogPage, Producer, SnapshotPage
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('LogClient', 'LogFault', 'MemoryLog')

#: Usual time until an answer, and time after which a call without one times out, in s.
ANSWER_S = 0.004
CALL_TIMEOUT_S = 0.8

#: Bounds of the delay of a late append, in s.
LATE_S = (1.0, 4.0)

#: Number of answers to the latest appends that are kept for retries of one producer.
KEPT_ANSWERS = 5

PAGE = 500
MS_PER_S = 1000


class LogFault(Enum):
    """Fault that the log injects into the calls of one client.

    Attributes:
        refuse: calls are refused.
        silent: calls get no answer and have no effect.
        lose: some appends are stored but get no answer.
        late: some appends are stored seconds later and get no answer.
    """

    refuse = 'refuse'
    silent = 'silent'
    lose = 'lose'
    late = 'late'


class ProducerState(msgspec.Struct):
    """State of a producer: its epoch, and the offsets of its last appends by sequence number."""

    epoch: int
    answers: dict[int, int] = {}


class MemoryLog:
    """One partition of a topic, shared by all clients.

    Attributes:
        records: all records ever stored.
        first: oldest offset that can still be read.
        newest: newest record of each key, without keys whose newest record is empty.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[StoredRecord] = []
        self.first = 0
        self.newest: dict[str, StoredRecord] = {}
        self.producers: dict[str, ProducerState] = {}
        self.arrived = asyncio.Event()

    def store(self, records: Sequence[tuple[str, bytes]]) -> int:
        """Store records and return the offset of the first."""
        start = len(self.records)
        for key, content in records:
            stored = StoredRecord(len(self.records), key, content)
            self.records.append(stored)
            self.newest.pop(key, None)
            if content:
                self.newest[key] = stored
        self.arrived.set()
        self.arrived = asyncio.Event()
        return start

    def produce(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records once for each sequence number and return the offset of the first.

        Raises:
            SequenceMismatchError: the epoch is out of date, or the sequence number is not the next one.
        """
        state = self.producers.setdefault(producer.name, ProducerState(producer.epoch))
        if producer.epoch < state.epoch:
            raise SequenceMismatchError(None)
        if producer.epoch > state.epoch:
            state = ProducerState(producer.epoch)
            self.producers[producer.name] = state
        if not records:
            return len(self.records)
        repeated = state.answers.get(sequence)
        if repeated is not None:
            return repeated
        if state.answers and sequence != max(state.answers) + 1:
            raise SequenceMismatchError(max(state.answers) + 1)
        state.answers[sequence] = self.store(records)
        state.answers.pop(sequence - KEPT_ANSWERS, None)
        return state.answers[sequence]

    def drop_history(self) -> None:
        """Drop all records but the newest of each key."""
        self.first = len(self.records)


class LogClient:
    """Client of the log, with injected faults.

    Attributes:
        fault: fault of its calls, None when all are served.
        fault_share: share of the appends that `lose` and `late` affect.
        answer_s: time until an answer, in s.
        page: maximum number of keys in one page of a snapshot.
    """

    def __init__(self, log: MemoryLog, rng: random.Random) -> None:
        """Start without faults."""
        self.log = log
        self.rng = rng
        self.fault: LogFault | None = None
        self.fault_share = 0.4
        self.answer_s = ANSWER_S
        self.page = PAGE

    async def answer(self, wait_s: float = 0) -> None:
        """Wait for the time of a call.

        Args:
            wait_s: how much longer the client waits for an answer than usual, in s.

        Raises:
            LogUnavailableError: the log does not serve this client.
        """
        if self.fault is LogFault.silent:
            await asyncio.sleep(CALL_TIMEOUT_S + wait_s)
            raise LogUnavailableError('no answer')
        await asyncio.sleep(self.answer_s)
        if self.fault is LogFault.refuse:
            raise LogUnavailableError('request refused')

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records atomically, once for each sequence number of a producer, and return the offset of the first.

        Raises:
            AppendRefusedError: nothing was stored.
            AppendOutcomeUnknownError: the records may be stored, now or later.
        """
        try:
            await self.answer()
        except LogUnavailableError as fault:
            if self.fault is LogFault.refuse:
                raise AppendRefusedError(fault.reason) from fault
            raise AppendOutcomeUnknownError(fault.reason) from fault
        if self.fault is None or self.rng.random() > self.fault_share:
            return self.log.produce(records, producer, sequence)
        if self.fault is LogFault.late:
            delay_s = self.rng.uniform(*LATE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.produce_late, records, producer, sequence)
        else:
            self.log.produce(records, producer, sequence)
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise AppendOutcomeUnknownError('the answer was lost')

    def produce_late(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> None:
        """Store the records of an append whose caller has timed out."""
        try:
            self.log.produce(records, producer, sequence)
        except SequenceMismatchError:
            return

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on; wait up to `wait_ms` for the first one."""
        await self.answer(wait_ms / MS_PER_S)
        if start >= len(self.log.records) and wait_ms:
            arrived = self.log.arrived
            try:
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await arrived.wait()
            except TimeoutError:
                return LogPage(len(self.log.records), [])
        if start < self.log.first:
            raise RetentionPassedError(self.log.first)
        return LogPage(len(self.log.records), self.log.records[start:])

    async def read_record(self, start: int, size_bytes: int) -> LogPage:
        """Return the records from an offset on; no answer cuts a record off."""
        return await self.read(start, 0)

    async def probe(self, start: int) -> None:
        """Answer a read of no records."""
        await self.answer()

    async def newest(self, after: str) -> SnapshotPage:
        """Return one page of the newest records of the keys that sort after a key."""
        await self.answer()
        keys = sorted(key for key in self.log.newest if key > after)
        page = [self.log.newest[key] for key in keys[: self.page]]
        return SnapshotPage(len(self.log.records), page, len(keys) > self.page)
