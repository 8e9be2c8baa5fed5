"""Reads of large records that an entry behind a narrow link makes for another one."""

import asyncio

import pytest

from marigoldlift.platform.servers import STORE_WAIT_S
from marigoldlift.platform.store import OPERATORS_TOPIC, PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.tests.test_narrow_links import CONFIGURATION_BYTES, LINK_BYTES_PER_S
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.narrow_link import NarrowLinkCalls

pytestmark = pytest.mark.looptime

OK = 200


async def test_relayed_read_lasts_as_long_as_its_answer_arrives():
    """Guards against a new configuration that an entry fetches for itself and for another one, which never gets it.

    The relayed read is given up by its whole duration, and its sender begins anew with the next entry.
    """
    calls = NarrowLinkCalls(LINK_BYTES_PER_S)
    calls.topic(OPERATORS_TOPIC).store([('config', bytes(CONFIGURATION_BYTES))])
    route = StoreRoute(calls, '10.0.0.1:1', '10.0.0.2:1', asyncio.get_running_loop().time)
    log = PlatformLog(route, OPERATORS_TOPIC, Metrics())
    path = log.read_path(0, 0, 1024)
    own, relayed = await asyncio.gather(
        log.read_record(0, CONFIGURATION_BYTES + 100),
        route.relay_call('GET', path, b'', STORE_WAIT_S),
    )
    assert len(own.records) == 1
    assert relayed.status == OK
