"""Callers' records while the log is slow."""

import asyncio
import functools
import random

import pytest

from marigoldlift.errors import AppendOutcomeUnknownError, AppendRefusedError
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.append_router import AppendRouter
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.records import Cancelled
from marigoldlift.submissions.record_codec import decode_record
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, MemoryLog

pytestmark = pytest.mark.looptime

ENTRIES = 40
LEADER = 'e0'
APPEND_S = 0.06
PATIENCE_S = 1.2
ROUNDS = 8


class SerialLog(LogClient):
    """A log that is slow: its partition takes one append after the other, 0.06 s each."""

    turn: asyncio.Lock

    async def append(self, records, producer, sequence):
        async with self.turn:
            await asyncio.sleep(APPEND_S)
            return await super().append(records, producer, sequence)


class Cell:
    """Entries with an intake each; the first one leads.

    Attributes:
        reached: whether the others reach the leader.
    """

    def __init__(self):
        clock = asyncio.get_running_loop().time
        self.log = MemoryLog()
        self.turn = asyncio.Lock()
        self.reached = True
        self.appenders = [self.appender(number, clock) for number in range(ENTRIES)]
        self.replica = Replica(LogClient(self.log, random.Random(1)), print, clock, 1)
        self.intakes = [
            AppendRouter(appender, self.replica, self, functools.partial(str, LEADER))
            for appender in self.appenders[1:]
        ]
        self.tasks = [asyncio.create_task(appender.run()) for appender in self.appenders]

    def appender(self, number, clock):
        client = SerialLog(self.log, random.Random(number))
        client.turn = self.turn
        return Appender(client, Producer(f'e{number}', 1), clock, Metrics())

    async def append_at(self, address, content, wait_s):
        """Hand a record to the leader."""
        assert address == LEADER
        if not self.reached:
            raise AppendRefusedError('nobody listens')
        await self.appenders[0].append(decode_record(content), wait_s)
        return self.appenders[0].last_response_s

    async def load(self):
        """Store a record at each entry twice a second, and return how many were not taken in time."""
        missed = 0
        for second in range(ROUNDS):
            outcomes = await asyncio.gather(
                *(
                    intake.append(Cancelled(f'{second}-{number}'), PATIENCE_S)
                    for number, intake in enumerate(self.intakes)
                ),
                return_exceptions=True,
            )
            missed += sum(isinstance(outcome, AppendOutcomeUnknownError) for outcome in outcomes)
            missed += sum(isinstance(outcome, AppendRefusedError) for outcome in outcomes)
            await asyncio.sleep(0.5)
        return missed


async def test_slow_log_takes_all_records_by_way_of_the_leader():
    """Guards against submissions that are lost to their callers since 40 entries' appends wait for each other."""
    cell = Cell()
    # Each entry finds out by one append of its own, and those of the first round wait for each other.
    assert await cell.load() <= len(cell.intakes)
    assert await cell.load() == 0


async def test_entry_stores_by_itself_where_the_leader_is_not_reached():
    """Guards against records that are refused since the leader is cut off."""
    cell = Cell()
    cell.reached = False
    for appender in cell.appenders:
        appender.last_response_s = 1
    await cell.intakes[0].append(Cancelled('x'), PATIENCE_S)
    assert 'c/x' in cell.log.newest


async def test_log_that_is_quick_again_is_used_directly():
    """Guards against a leader that carries all records for good."""
    cell = Cell()
    intake = cell.intakes[0]
    intake.appender.last_response_s = 1
    await intake.append(Cancelled('x'), PATIENCE_S)
    assert not intake.is_slow()
