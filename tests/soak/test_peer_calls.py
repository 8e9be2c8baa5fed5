"""Tests of the calls that a stopping entry makes on behalf of other entries."""

import asyncio

import pytest
from aiohttp import ClientSession, web

from tests.soak.entries import EntryProcess

pytestmark = pytest.mark.integration

#: Delay of the answer, in s; longer than the 3 s for which a stopping entry still serves callers.
SLOW_S = 4.0

ADVICE_REQUEST = b'{"step":"job.0.0","workers":["w0"]}'


async def answer_slowly(_request):
    """Answer a call to the advice after `SLOW_S`."""
    await asyncio.sleep(SLOW_S)
    return web.json_response({'allowed': []})


@pytest.fixture
async def advice():
    """Provide the address of an advice server that answers slowly."""
    runner = web.ServerRunner(web.Server(answer_slowly))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    yield f'{host}:{port}'
    await runner.cleanup()


async def test_call_made_for_another_entry_is_answered_before_the_end(store, advice, tmp_path):
    """Guards against a stopping entry that drops an advice call it makes for a leader.

    The leader would lose the answer and send no calls to that entry for some seconds.
    """
    entry = EntryProcess(0, tmp_path, store.addresses[0])
    entry.write_settings({'advice': advice})
    entry.start()
    try:
        await entry.wait_ready()
        async with ClientSession() as session:
            url = f'http://{entry.peer_address}/advise'
            call = asyncio.create_task(session.post(url, data=ADVICE_REQUEST))
            await asyncio.sleep(SLOW_S / 10)
            stopping = asyncio.create_task(entry.stop())
            answer = await call
            assert answer.status == 200
            await stopping
    finally:
        await entry.end()
    assert not entry.unexpected_exits
