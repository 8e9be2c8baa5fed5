"""Reading of the log across lost history and outages."""

import asyncio
import random

import pytest

from marigoldlift.errors import LogUnavailableError
from marigoldlift.replication.api import SnapshotPage
from marigoldlift.replication.replica import REFRESH_WAIT_S, RETRY_INTERVAL_S, Replica
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime

PACE_S = 0.01


@pytest.fixture
async def client():
    """Return a log with two records of one key."""
    opened = LogClient(MemoryLog(), random.Random(1))
    opened.log.store([('a', b'1'), ('a', b'2')])
    return opened


@pytest.fixture
async def seen():
    """Return the list that records are applied to."""
    return []


@pytest.fixture
async def replica(client, seen):
    """Return a running replica."""
    clock = asyncio.get_running_loop().time
    made = Replica(client, seen.append, clock, PACE_S, FaultBoundary(clock, Metrics()))
    running = asyncio.create_task(made.run())
    yield made
    running.cancel()


async def test_snapshot_then_tail(client, seen, replica):
    """Guards against records that are applied twice or not at all after the snapshot."""
    await replica.ready.wait()
    client.log.store([('b', b'3')])
    await asyncio.sleep(0.1)
    assert [stored.content for stored in seen] == [b'2', b'3']


async def test_lost_history_is_replaced_by_a_snapshot(client, seen, replica):
    """Guards against an entry that stops reading once its next record is no longer retained."""
    await replica.ready.wait()
    client.fault = LogFault.refuse
    client.log.store([('b', b'3'), ('b', b'4')])
    client.log.drop_history()
    await asyncio.sleep(1)
    client.fault = None
    await asyncio.sleep(1)
    assert [stored.content for stored in seen] == [b'2', b'2', b'4']


async def test_synchronize_reads_what_was_stored_before(client, seen, replica):
    """Guards against "no such submission" for one that another entry has just accepted."""
    replica.read_interval_s = 100
    await replica.ready.wait()
    await asyncio.sleep(2)
    client.log.store([('b', b'3')])
    await replica.synchronize()
    assert seen[-1].content == b'3'
    client.fault = LogFault.refuse
    with pytest.raises(LogUnavailableError):
        await replica.synchronize()


@pytest.mark.parametrize('fault', [LogFault.silent, LogFault.refuse])
@pytest.mark.parametrize('outage_s', [2.1, 3.0, 3.7, 4.4])
async def test_records_are_read_soon_after_an_outage(client, seen, replica, fault, outage_s):
    """Guards against an entry that waits for the answer to a read that was sent during an outage."""
    await replica.ready.wait()
    client.fault = fault
    await asyncio.sleep(outage_s)
    client.fault = None
    client.log.store([('b', b'3')])
    await asyncio.sleep(RETRY_INTERVAL_S + 2 * client.answer_s)
    assert seen[-1].content == b'3'
    await asyncio.sleep(RETRY_INTERVAL_S)
    assert not replica.failing


async def read_snapshot(client):
    """Let a new replica read its snapshot, and return the records."""
    seen = []
    clock = asyncio.get_running_loop().time
    replica = Replica(client, seen.append, clock, PACE_S, FaultBoundary(clock, Metrics()))
    running = asyncio.create_task(replica.run())
    await replica.ready.wait()
    running.cancel()
    return seen


async def test_interrupted_snapshot_goes_on_with_the_page_that_failed(client, monkeypatch):
    """Guards against an entry behind a narrow link that begins its snapshot anew after each failed page."""
    client.log.store([(f'k{number}', b'1') for number in range(20)])
    client.page = 5
    read_page = client.newest
    asked = []

    async def fail_each_second(after):
        asked.append(after)
        if len(asked) % 2:
            return await read_page(after)
        raise LogUnavailableError('lost')

    monkeypatch.setattr(client, 'newest', fail_each_second)
    seen = await read_snapshot(client)
    assert len(seen) == 21
    assert asked.count('') == 1


async def test_page_without_records_is_no_end_of_a_snapshot(client, monkeypatch):
    """Guards against an entry that takes a part of a snapshot for the whole."""
    read_page = client.newest
    pages = [SnapshotPage(2, [], more=True)]

    async def give_empty_page_first(after):
        return pages.pop() if pages else await read_page(after)

    monkeypatch.setattr(client, 'newest', give_empty_page_first)
    seen = await read_snapshot(client)
    assert [stored.key for stored in seen] == ['a']


async def test_callers_share_a_read(client, replica, monkeypatch):
    """Guards against as many reads of the same records as callers ask at once."""
    await replica.ready.wait()
    replica.read_interval_s = 100
    await asyncio.sleep(2)
    read = client.read
    starts = []

    async def count_reads(start, wait_ms):
        starts.append(start)
        await asyncio.sleep(0.2)
        return await read(start, wait_ms)

    monkeypatch.setattr(client, 'read', count_reads)
    client.log.store([('b', b'3')])
    first = [asyncio.create_task(replica.synchronize()) for _ in range(10)]
    await asyncio.sleep(0.1)
    client.log.store([('c', b'4')])
    await asyncio.gather(*first, *(replica.synchronize() for _ in range(10)))
    assert replica.offset == 4
    assert len(starts) <= 3


async def test_refresh_does_not_wait_for_a_silent_log(client, replica):
    """Guards against callers that wait for the log to be told what this entry knows."""
    await replica.ready.wait()
    replica.read_interval_s = 100
    await asyncio.sleep(2)
    client.fault = LogFault.silent
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await replica.refresh(0)
    assert loop.time() - started_at <= REFRESH_WAIT_S
