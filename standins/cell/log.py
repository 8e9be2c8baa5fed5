"""Keyed log in memory: producers, long reads, outages, lost and late answers, dropped history."""

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

#: Usual time of an answer, and time of a call without one, in s.
ANSWER_S = 0.004
CALL_TIMEOUT_S = 0.8

#: Delay of an append that is carried out late, in s.
LATE_S = (1.0, 4.0)

#: Answers to appends that are repeated for one producer.
KEPT_ANSWERS = 5

PAGE = 500
MS_PER_S = 1000


class LogFault(Enum):
    """What the log does to the calls of one client."""

    refuse = 'refuse'
    silent = 'silent'
    lose = 'lose'
    late = 'late'


class ProducerState(msgspec.Struct):
    """What the log knows of a producer: its epoch, and the last answers by sequence number."""

    epoch: int
    answers: dict[int, int] = {}


class MemoryLog:
    """One partition, shared by all clients.

    Attributes:
        records: all records ever stored.
        first: oldest offset that can still be read.
        newest: newest record of each key.
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
        """Store records once for each sequence number."""
        known = self.producers.setdefault(producer.name, ProducerState(producer.epoch))
        if producer.epoch < known.epoch:
            raise SequenceMismatchError(None)
        if producer.epoch > known.epoch:
            known = ProducerState(producer.epoch)
            self.producers[producer.name] = known
        if not records:
            return len(self.records)
        repeated = known.answers.get(sequence)
        if repeated is not None:
            return repeated
        if known.answers and sequence != max(known.answers) + 1:
            raise SequenceMismatchError(max(known.answers) + 1)
        known.answers[sequence] = self.store(records)
        known.answers.pop(sequence - KEPT_ANSWERS, None)
        return known.answers[sequence]

    def drop_history(self) -> None:
        """Keep only the newest record of each key."""
        self.first = len(self.records)


class LogClient:
    """The log as one entry reaches it.

    Attributes:
        fault: what happens to its calls, None when they are served.
        fault_share: share of the appends that `lose` and `late` strike.
        answer_s: time of an answer, in s.
        page: most keys in one page of a snapshot.
    """

    def __init__(self, log: MemoryLog, rng: random.Random) -> None:
        """Start without faults."""
        self.log = log
        self.rng = rng
        self.fault: LogFault | None = None
        self.fault_share = 0.4
        self.answer_s = ANSWER_S
        self.page = PAGE

    async def answer(self) -> None:
        """Let the time of a call pass.

        Raises:
            LogUnavailableError: the log does not serve this client.
        """
        if self.fault is LogFault.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise LogUnavailableError('no answer')
        await asyncio.sleep(self.answer_s)
        if self.fault is LogFault.refuse:
            raise LogUnavailableError('turned away')

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records all or nothing, once for each sequence number of a producer."""
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
        """Carry an append out whose caller has given up."""
        try:
            self.log.produce(records, producer, sequence)
        except SequenceMismatchError:
            return

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on, waiting for the first one."""
        await self.answer()
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

    async def newest(self, after: str) -> SnapshotPage:
        """Return the newest records of the keys that follow a key."""
        await self.answer()
        keys = sorted(key for key in self.log.newest if key > after)
        page = [self.log.newest[key] for key in keys[: self.page]]
        return SnapshotPage(len(self.log.records), page, len(keys) > self.page)
