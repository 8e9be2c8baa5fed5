"""Appends of large batches by VMs with narrow links."""

import asyncio
from http import HTTPStatus
from types import SimpleNamespace

import msgspec
import pytest

from marigoldlift.platform.calls import CallUnansweredError, Reply
from marigoldlift.platform.store import WORK_TOPIC, PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.tests.test_narrow_links import LINK_BYTES_PER_S
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import BATCH_BYTES
from marigoldlift.telemetry.metrics import Metrics

pytestmark = pytest.mark.looptime

#: Time from the last byte of a call to the answer, in s.
ANSWER_S = 0.004

RECORD_BYTES = 4_000


async def test_largest_batch_is_stored_over_a_narrow_link():
    """Guards against a batch that is given up while it is still being sent, and is then sent again from its beginning."""

    async def send(method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        needed_s = len(body) / LINK_BYTES_PER_S + ANSWER_S
        await asyncio.sleep(min(needed_s, wait_s))
        if needed_s > wait_s:
            raise CallUnansweredError('TimeoutError', was_sent=True)
        return Reply(HTTPStatus.OK, msgspec.json.encode({'offset': 0, 'end': 1}))

    clock = asyncio.get_running_loop().time
    route = StoreRoute(SimpleNamespace(call=send), '10.0.0.1:1', '10.0.0.2:1', clock)
    log = PlatformLog(route, WORK_TOPIC, Metrics())
    batch = [
        (f's/{number}', bytes(RECORD_BYTES)) for number in range(BATCH_BYTES // RECORD_BYTES - 1)
    ]
    assert await log.append(batch, Producer('a', 1), 0) == 0
