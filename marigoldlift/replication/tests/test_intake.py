"""Routing of callers' records while the log is slow."""

import asyncio
import random

import pytest

from marigoldlift.errors import AppendOutcomeUnknownError, AppendRefusedError
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.append_router import SLOW_RESPONSE_S, AppendRouter
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.records import Cancelled
from marigoldlift.submissions.record_codec import decode_record
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.supervision import FaultBoundary
from standins.cell.log import LogClient, MemoryLog

pytestmark = pytest.mark.looptime

ENTRIES = 40
LEADER = 'e0'
APPEND_S = 0.06
PATIENCE_S = 1.2
ROUNDS = 8


class SerialLog(LogClient):
    """A slow log: its partition processes appends one by one, 0.06 s each."""

    turn: asyncio.Lock

    async def append(self, records, producer, sequence):
        async with self.turn:
            await asyncio.sleep(APPEND_S)
            return await super().append(records, producer, sequence)


class Cell:
    """Entries, the first of which leads; the others have an append router each.

    Attributes:
        leader_reachable: whether the other entries reach the leader.
    """

    def __init__(self):
        clock = asyncio.get_running_loop().time
        self.log = MemoryLog()
        self.turn = asyncio.Lock()
        self.leader_reachable = True
        self.published_s = 0
        self.appenders = [self.appender(number, clock) for number in range(ENTRIES)]
        self.replica = Replica(
            LogClient(self.log, random.Random(1)), print, clock, 1, FaultBoundary(clock, Metrics())
        )
        self.routers = [
            AppendRouter(appender, self.replica, self, self) for appender in self.appenders[1:]
        ]
        self.tasks = [asyncio.create_task(appender.run()) for appender in self.appenders]

    def appender(self, number, clock):
        client = SerialLog(self.log, random.Random(number))
        client.turn = self.turn
        return Appender(client, Producer(f'e{number}', 1), clock, Metrics())

    def leader_address(self):
        """Return the leader's address."""
        return LEADER

    def leader_response_s(self):
        """Return the response time in the leader's newest record."""
        return self.published_s

    async def append_at(self, address, content, wait_s, doubt_s):
        """Forward a record to the leader."""
        assert address == LEADER
        if not self.leader_reachable:
            raise AppendRefusedError('leader unreachable')
        await self.appenders[0].append(decode_record(content), wait_s, doubt_s)
        return self.appenders[0].last_response_s

    async def load(self):
        """Store a record at each entry twice a second, and return how many were not stored in time."""
        missed = 0
        for second in range(ROUNDS):
            outcomes = await asyncio.gather(
                *(
                    router.append(Cancelled(f'{second}-{number}'), PATIENCE_S)
                    for number, router in enumerate(self.routers)
                ),
                return_exceptions=True,
            )
            missed += sum(isinstance(outcome, AppendOutcomeUnknownError) for outcome in outcomes)
            missed += sum(isinstance(outcome, AppendRefusedError) for outcome in outcomes)
            await asyncio.sleep(0.5)
        return missed


async def test_slow_log_stores_all_records_through_the_leader():
    """Guards against submissions that time out because the appends of 40 entries wait for each other."""
    cell = Cell()
    # Each entry detects the slow log by its own first append, and those of the first round wait for each other.
    assert await cell.load() <= len(cell.routers)
    assert await cell.load() == 0


async def test_leader_tells_the_others_that_the_log_is_slow():
    """Guards against a first round in which the appends of all entries wait for each other."""
    cell = Cell()
    loop = asyncio.get_running_loop()
    cell.published_s = 2 * SLOW_RESPONSE_S
    started_at = loop.time()
    await asyncio.gather(
        *(router.append(Cancelled(str(number)), 5) for number, router in enumerate(cell.routers))
    )
    assert loop.time() - started_at < 4 * APPEND_S
    assert len(cell.log.newest) == len(cell.routers)


async def test_entry_stores_directly_if_the_leader_is_unreachable():
    """Guards against refusing records because the leader is unreachable."""
    cell = Cell()
    cell.leader_reachable = False
    for appender in cell.appenders:
        appender.last_response_s = 1
    await cell.routers[0].append(Cancelled('x'), PATIENCE_S)
    assert 'c/x' in cell.log.newest


async def test_recovered_log_is_used_directly():
    """Guards against forwarding all records to the leader after the log has become fast again."""
    cell = Cell()
    router = cell.routers[0]
    router.appender.last_response_s = 1
    await router.append(Cancelled('x'), PATIENCE_S)
    assert not router.is_slow()
