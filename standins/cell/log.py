"""Keyed log in memory: producers, long reads, outages, lost and late answers, dropped history."""

import asyncio
import random
from collections.abc import Sequence
from enum import Enum

from marigoldlift.errors import (
    AppendInDoubtError,
    AppendRefusedError,
    LogUnavailableError,
    RetentionPassedError,
    SequenceMismatchError,
)
from marigoldlift.replication.api import LogPage, SnapshotPage
from marigoldlift.submissions.stored import Stored

__all__ = ('LogClient', 'LogFault', 'MemoryLog')

#: Time of an answer, and of a call without one, in s.
ANSWER_S = 0.004
SILENCE_S = 0.8

#: Delay of an append that is carried out late, in s.
LATE_S = (1.0, 4.0)

#: Answers to appends that are repeated for one producer.
REPEATS = 5

PAGE = 500


class LogFault(Enum):
    """What the log does to the calls of one client."""

    refuse = 'refuse'
    silent = 'silent'
    lose = 'lose'
    late = 'late'


class MemoryLog:
    """One partition, shared by all clients.

    Attributes:
        records: all records ever stored.
        first: oldest offset that can still be read.
        newest: newest record of each key.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Stored] = []
        self.first = 0
        self.newest: dict[str, Stored] = {}
        self.producers: dict[str, list[tuple[int, int]]] = {}
        self.arrived = asyncio.Event()

    def store(self, records: Sequence[tuple[str, bytes]]) -> int:
        """Store records and return the offset of the first."""
        start = len(self.records)
        for key, content in records:
            stored = Stored(len(self.records), key, content)
            self.records.append(stored)
            self.newest.pop(key, None)
            if content:
                self.newest[key] = stored
        self.arrived.set()
        self.arrived = asyncio.Event()
        return start

    def produce(self, records: Sequence[tuple[str, bytes]], producer: str, sequence: int) -> int:
        """Store records once for each sequence number."""
        known = self.producers.setdefault(producer, [])
        for number, offset in known:
            if number == sequence:
                return offset
        if known and sequence != known[-1][0] + 1:
            raise SequenceMismatchError(known[-1][0] + 1)
        offset = self.store(records)
        known.append((sequence, offset))
        del known[:-REPEATS]
        return offset

    def drop_history(self) -> None:
        """Keep only the newest record of each key."""
        self.first = len(self.records)


class LogClient:
    """The log as one entry reaches it.

    Attributes:
        fault: what happens to its calls, None when they are served.
        share: share of the appends that `lose` and `late` strike.
    """

    def __init__(self, log: MemoryLog, rng: random.Random) -> None:
        """Start without faults."""
        self.log = log
        self.rng = rng
        self.fault: LogFault | None = None
        self.share = 0.4

    async def answer(self) -> None:
        """Let the time of a call pass.

        Raises:
            LogUnavailableError: the log does not serve this client.
        """
        if self.fault is LogFault.silent:
            await asyncio.sleep(SILENCE_S)
            raise LogUnavailableError('no answer')
        await asyncio.sleep(ANSWER_S)
        if self.fault is LogFault.refuse:
            raise LogUnavailableError('turned away')

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: str, sequence: int
    ) -> int:
        """Store records all or nothing, once for each sequence number of a producer."""
        try:
            await self.answer()
        except LogUnavailableError as fault:
            if self.fault is LogFault.refuse:
                raise AppendRefusedError(fault.reason) from fault
            raise AppendInDoubtError(fault.reason) from fault
        struck = self.rng.random() < self.share
        if struck and self.fault is LogFault.late:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(*LATE_S), self.produce_late, records, producer, sequence
            )
        elif not struck or self.fault is None:
            return self.log.produce(records, producer, sequence)
        else:
            self.log.produce(records, producer, sequence)
        await asyncio.sleep(SILENCE_S)
        raise AppendInDoubtError('the answer was lost')

    def produce_late(
        self, records: Sequence[tuple[str, bytes]], producer: str, sequence: int
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
                async with asyncio.timeout(wait_ms / 1000):
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
        page = [self.log.newest[key] for key in keys[:PAGE]]
        return SnapshotPage(len(self.log.records), page, len(keys) > PAGE)
