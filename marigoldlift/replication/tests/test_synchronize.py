"""Reads of the log on demand while a snapshot is loaded."""

import asyncio
import random

import pytest

from marigoldlift.replication.replica import Replica
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, MemoryLog

pytestmark = pytest.mark.looptime

#: Pause between two reads of an entry that does not lead, in s.
PACE_S = 0.25


async def next_offset(replica):
    """Return the offset of the next record just after a read to the end."""
    await replica.synchronize()
    return replica.offset


async def test_snapshot_that_is_loaded_meanwhile_hides_no_record():
    """Guards against an answer that a stored submission does not exist.

    The end that a read tells must not be replaced by that of an older snapshot which is loaded before the caller sees it.
    """
    client = LogClient(MemoryLog(), random.Random(1))
    client.log.store([('a', b'1')])
    clock = asyncio.get_running_loop().time
    replica = Replica(client, lambda _: None, clock, PACE_S, FaultBoundary(clock, Metrics()))
    await replica.load_snapshot()
    older = await replica.snapshots.read()
    client.log.store([('b', b'2')])

    async def read_older():
        return older

    replica.snapshots.read = read_older
    replica.on_demand.join()
    call = asyncio.create_task(next_offset(replica))
    await asyncio.sleep(1.5 * client.answer_s)
    replica.on_demand.under_way.add_done_callback(
        lambda _: asyncio.ensure_future(replica.load_snapshot())
    )
    assert await call == 2
