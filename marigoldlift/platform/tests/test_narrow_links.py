"""Reads of large records by VMs with narrow links."""

import asyncio
import contextlib

import pytest

from marigoldlift.platform.store import OPERATORS_TOPIC, WORK_TOPIC, PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.replication.replica import Replica
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.narrow_link import NarrowLinkCalls

pytestmark = pytest.mark.looptime

#: 5 Mbit/s.
LINK_BYTES_PER_S = 625_000

#: Size of a configuration of 4,200 queues, in bytes.
CONFIGURATION_BYTES = 800_000

#: Time in which a configuration has to be in force (`bounds.config_apply_ms`), in s.
APPLY_S = 3.0

#: Time in which an entry reads what is stored before a test begins, in s.
SETTLE_S = 5

#: Records of the work that are stored meanwhile.
WORK_INTERVAL_S = 0.02
WORK_BYTES = 2_600


@pytest.fixture
async def calls():
    """Client over a narrow link to a store with one configuration and one record of work."""
    made = NarrowLinkCalls(LINK_BYTES_PER_S)
    made.topic(OPERATORS_TOPIC).store([('config', b'1')])
    made.topic(WORK_TOPIC).store([('s/1', b'1')])
    return made


@contextlib.asynccontextmanager
async def reading_entry(calls):
    """Run an entry that reads both topics while work is stored and states are looked up; yield its replicas by topic."""
    clock = asyncio.get_running_loop().time
    route = StoreRoute(calls, '10.0.0.1:1', '10.0.0.2:1', clock)
    metrics = Metrics()
    faults = FaultBoundary(clock, metrics)
    replicas = {
        topic: Replica(
            PlatformLog(route, topic, metrics),
            lambda _: None,
            clock,
            0.1,
            faults,
            newest_suffices=topic == OPERATORS_TOPIC,
        )
        for topic in (OPERATORS_TOPIC, WORK_TOPIC)
    }
    tasks = [asyncio.create_task(replica.run()) for replica in replicas.values()]
    tasks.append(asyncio.create_task(store_work(calls)))
    tasks.append(asyncio.create_task(look_up(replicas[WORK_TOPIC])))
    await asyncio.sleep(SETTLE_S)
    yield replicas
    for task in tasks:
        task.cancel()


async def store_work(calls):
    """Store records of the work at a steady rate."""
    while True:
        calls.topic(WORK_TOPIC).store([('s/1', bytes(WORK_BYTES))])
        await asyncio.sleep(WORK_INTERVAL_S)


async def look_up(replica):
    """Read the log of the work on demand, as callers do who ask for the state of a running submission."""
    while True:
        await replica.refresh(0.03)
        await asyncio.sleep(WORK_INTERVAL_S)


async def is_read_in(replica, wait_s):
    """Return whether a replica has read all that is stored now before a time has passed."""
    loop = asyncio.get_running_loop()
    stored_at = loop.time()
    while loop.time() - stored_at < wait_s:
        if replica.confirmed_at > stored_at:
            return True
        await asyncio.sleep(0.01)
    return False


@pytest.mark.parametrize('silent_s', [0, 1.0, 3.0])
async def test_large_configuration_is_read_over_a_narrow_link(calls, silent_s):
    """Guards against reads of one large record that begin anew beside each other until the link carries nothing else."""
    async with reading_entry(calls) as replicas:
        calls.silent = bool(silent_s)
        calls.topic(OPERATORS_TOPIC).store([('config', bytes(CONFIGURATION_BYTES))])
        await asyncio.sleep(silent_s)
        calls.silent = False
        assert await is_read_in(replicas[OPERATORS_TOPIC], APPLY_S)


async def test_outdated_configurations_do_not_delay_the_newest(calls):
    """Guards against an entry that reads each of many large versions in turn while the newest one has to be in force."""
    async with reading_entry(calls) as replicas:
        for _ in range(6):
            calls.topic(OPERATORS_TOPIC).store([('config', bytes(CONFIGURATION_BYTES))])
            await asyncio.sleep(0.2)
        assert await is_read_in(replicas[OPERATORS_TOPIC], APPLY_S)


async def test_link_is_not_filled_by_reads_of_the_same_record(calls):
    """Guards against a link that carries a large record several times, so that answers to callers are late."""
    async with reading_entry(calls):
        before = calls.received_bytes
        calls.silent = True
        await asyncio.sleep(2)
        calls.topic(OPERATORS_TOPIC).store([('config', bytes(CONFIGURATION_BYTES))])
        calls.silent = False
        await asyncio.sleep(10)
        stored_bytes = CONFIGURATION_BYTES + 12 / WORK_INTERVAL_S * WORK_BYTES
        assert calls.received_bytes - before < 2 * stored_bytes
