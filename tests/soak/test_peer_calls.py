"""Calls that an entry makes for others while it stops."""

import asyncio

import pytest
from aiohttp import ClientSession, web

from tests.soak.entries import EntryProcess

pytestmark = pytest.mark.integration

#: Time of the answer, in s; an entry goes on serving callers for 3 s after it was asked to stop.
SLOW_S = 4.0

ADVICE_REQUEST = b'{"step":"job.0.0","workers":["w0"]}'


async def answer_slowly(_request):
    """Answer a call to the advice."""
    await asyncio.sleep(SLOW_S)
    return web.json_response({'allowed': []})


@pytest.fixture
async def advice():
    """Return the address of an advice that takes long."""
    runner = web.ServerRunner(web.Server(answer_slowly))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    yield f'{host}:{port}'
    await runner.cleanup()


async def test_call_made_for_another_entry_is_answered_before_the_end(store, advice, tmp_path):
    """Guards against leaders that lose their questions, and leave an entry alone for seconds, since it stops."""
    entry = EntryProcess(0, tmp_path, store.addresses[0])
    entry.write_settings({'advice': advice})
    entry.start()
    try:
        await entry.wait_ready()
        async with ClientSession() as session:
            url = f'http://{entry.peer_address}/advise'
            question = asyncio.create_task(session.post(url, data=ADVICE_REQUEST))
            await asyncio.sleep(SLOW_S / 10)
            stopping = asyncio.create_task(entry.stop())
            answer = await question
            assert answer.status == 200
            await stopping
    finally:
        await entry.end()
    assert not entry.unexpected_exits
