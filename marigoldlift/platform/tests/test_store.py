"""Snapshot pages of a store that is unresponsive or slow, over real connections."""

import asyncio

import pytest
from aiohttp import web

from marigoldlift.errors import LogUnavailableError
from marigoldlift.platform.calls import HttpClient
from marigoldlift.platform.store import (
    LENGTH,
    PAGE_IDLE_TIMEOUT_S,
    POSITION,
    WORK_TOPIC,
    PlatformLog,
    encode_stored,
)
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import monotonic_now

PAGE = b'{"items":[{"key":"s/1","value":"YQ==","offset":4}],"more":false,"end":5}'

#: Time after which the test cancels a call that has not timed out, in s.
GUARD_S = 15

#: Pause between two parts of a slow answer, in s; the whole answer takes longer than the idle timeout.
PART_PAUSE_S = 0.2


@pytest.fixture
async def log(server):
    """Work topic of a store on the loopback interface."""
    calls = HttpClient()
    route = StoreRoute(calls, server.address, '10.0.0.2:1', monotonic_now)
    yield PlatformLog(route, WORK_TOPIC, Metrics())
    await calls.close()


async def answer_slowly(request):
    """Answer with a page that is sent in parts."""
    response = web.StreamResponse(headers={'Content-Length': str(len(PAGE))})
    await response.prepare(request)
    for start in range(0, len(PAGE), len(PAGE) // 7):
        await asyncio.sleep(PART_PAUSE_S)
        await response.write(PAGE[start : start + len(PAGE) // 7])
    return response


async def test_unanswered_page_times_out_early(monkeypatch, server, log):
    """Guards against an entry without a snapshot for 8 s because its first call hit an unresponsive store."""
    monkeypatch.setattr('marigoldlift.platform.store.PAGE_TIMEOUT_S', 1000)
    timed_out = asyncio.Event()

    async def answer_too_late(_request):
        await timed_out.wait()
        return web.Response(body=PAGE)

    server.reply = answer_too_late
    try:
        async with asyncio.timeout(GUARD_S):
            with pytest.raises(LogUnavailableError):
                await log.newest('')
    finally:
        timed_out.set()


async def test_page_over_a_slow_link_is_read_whole(server, log):
    """Guards against a timeout of a page while its parts are still arriving."""
    server.reply = answer_slowly
    page = await log.newest('')
    assert [record.key for record in page.records] == ['s/1']
    assert PART_PAUSE_S * 7 > PAGE_IDLE_TIMEOUT_S


@pytest.mark.parametrize('content', ['é', 'a', '=', '\x00'])
async def test_page_with_an_unreadable_value_is_unanswered(server, log, content):
    """Guards against an exception that ends the process, and each that is started in its place."""

    async def answer(_request):
        return web.json_response({'items': [{'key': 's/1', 'offset': 1, 'value': content}]})

    server.reply = answer
    with pytest.raises(LogUnavailableError):
        await log.newest('')


@pytest.mark.parametrize('kept', [2, LENGTH.size, 128 * 1024])
async def test_record_larger_than_a_read_is_read_whole(server, log, kept):
    """Guards against an entry that asks for the same part of a large configuration again and again."""
    record = encode_stored('config', b'x' * 200_000)

    async def answer(request):
        body = POSITION.pack(5, 0) + record
        whole = int(request.query['max_kb']) * 1024 >= len(body)
        return web.Response(body=body if whole else body[: POSITION.size + kept])

    server.reply = answer
    first = await log.read(4, 0)
    assert (first.end, first.records) == (5, [])
    page = await log.read_record(4, first.cut_off_bytes)
    assert page.cut_off_bytes == 0
    assert [(stored.key, len(stored.content)) for stored in page.records] == [('config', 200_000)]
    assert len(server.requests) == 2
