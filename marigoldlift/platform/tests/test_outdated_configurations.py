"""Callers while an entry behind a narrow link reads a large configuration."""

import asyncio

import pytest

from marigoldlift.platform.configuration import RESERVE_S, ConfigurationFreshness
from marigoldlift.platform.store import OPERATORS_TOPIC, PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.tests.test_narrow_links import (
    CONFIGURATION_BYTES,
    LINK_BYTES_PER_S,
    SETTLE_S,
)
from marigoldlift.platform.tests.test_withdrawn_keys import SETTINGS
from marigoldlift.replication.replica import Replica
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.narrow_link import NarrowLinkCalls

pytestmark = pytest.mark.looptime

#: Pause between two reads of the operators' topic, in s.
PACE_S = 0.1

#: Step between the times at which the configurations are stored, in s; a read waits for 1 s.
STEP_S = 0.13


#: Number of times at which records are stored.
ROUNDS = 10

#: Size of a record that tells of 1,600 machines, in bytes.
WAVE_BYTES = 40_000


async def refusals_after(initial, records):
    """Let an entry read an initial record, and store others at several times.

    Returns:
        The times from storing them to the first refusal of callers, in s.
    """
    clock = asyncio.get_running_loop().time
    calls = NarrowLinkCalls(LINK_BYTES_PER_S)
    log = calls.topic(OPERATORS_TOPIC)
    log.store([initial])
    route = StoreRoute(calls, '10.0.0.1:1', '10.0.0.2:1', clock)
    replica = Replica(
        PlatformLog(route, OPERATORS_TOPIC, Metrics()),
        lambda _: None,
        clock,
        PACE_S,
        FaultBoundary(clock, Metrics()),
        newest_suffices=True,
    )
    freshness = ConfigurationFreshness(replica, clock, SETTINGS)
    running = asyncio.create_task(replica.run())
    refused_after = []
    for _ in range(ROUNDS):
        await asyncio.sleep(SETTLE_S + STEP_S)
        log.store(records)
        stored_at = clock()
        while replica.confirmed_at < stored_at and clock() < stored_at + SETTLE_S:
            if freshness.is_outdated():
                refused_after.append(round(clock() - stored_at, 2))
                break
            await asyncio.sleep(0.01)
    running.cancel()
    return refused_after


@pytest.mark.parametrize('count', [1, 2])
async def test_entry_serves_until_a_configuration_has_to_be_in_force(count):
    """Guards against callers that are refused as soon as a newer configuration is known, long before it has to be in force."""
    configurations = [('config', bytes(CONFIGURATION_BYTES)) for _ in range(count)]
    refused_after = await refusals_after(('config', b'1'), configurations)
    unknown_after_s = SETTINGS.configuration_s - RESERVE_S
    assert [wait_s for wait_s in refused_after if wait_s < unknown_after_s] == []


async def test_other_records_of_the_operators_cause_no_refusals():
    """Guards against callers that are refused while a configuration which is in force is read again beside other records."""
    others = [('wave/1', bytes(WAVE_BYTES)), ('wave/2', b'1')]
    assert await refusals_after(('config', bytes(CONFIGURATION_BYTES)), others) == []
