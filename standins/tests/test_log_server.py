"""Tests of the HTTP API and the injected faults of the log."""

import asyncio

import aiohttp
import msgspec
import pytest

from marigoldlift.platform.messages import AppendRequest, AppendResult, RecordPage

from standins.log_server import LogServer
from standins.messages import LogSettings


@pytest.fixture
async def log(serve, http):
    """Provide a client of a running log."""
    addresses = await serve(LogServer(LogSettings()))
    return LogClient(http, f'http://{addresses["log"]}/v1')


class LogClient:
    """Minimal HTTP client of the log."""

    def __init__(self, http, base):
        """Store the session and the base URL."""
        self.http = http
        self.base = base

    async def append(self, payload):
        """Append one record and return status and body."""
        body = msgspec.msgpack.encode(AppendRequest('producer', 1, [payload]))
        async with self.http.post(f'{self.base}/streams/s/records', data=body) as answer:
            return answer.status, await answer.read()

    async def read(self, first=1, limit=10, wait_ms=0):
        """Read records and return status and body."""
        query = {'from': first, 'limit': limit, 'wait_ms': wait_ms}
        async with self.http.get(f'{self.base}/streams/s/records', params=query) as answer:
            return answer.status, await answer.read()

    async def faults(self, **faults):
        """Inject faults and return the status."""
        async with self.http.post(f'{self.base}/faults', json=faults) as answer:
            return answer.status

    async def stats(self):
        """Return the statistics."""
        async with self.http.get(f'{self.base}/stats') as answer:
            return await answer.json()


def payloads(body):
    """Return the payloads of a page."""
    return [record.payload for record in msgspec.msgpack.decode(body, type=RecordPage).records]


async def test_append_read_and_stats(log):
    """Guards against a wire format that differs from the documented one."""
    status, body = await log.append(b'abc')

    assert status == 200
    assert msgspec.msgpack.decode(body, type=AppendResult) == AppendResult(1, 2)
    assert payloads((await log.read(limit=5))[1]) == [b'abc']
    assert (await log.stats())['streams'] == {'s': {'appends': 1, 'records': 1, 'bytes': 3}}


async def test_long_poll_ends_with_the_next_append(log):
    """Guards against a long poll that misses the append it waits for."""
    waiting = asyncio.create_task(log.read(wait_ms=600_000))
    await log.append(b'abc')

    assert payloads((await waiting)[1]) == [b'abc']


async def test_lost_answer_still_appends(log):
    """Guards against a lost-answer fault that loses the append as well."""
    await log.faults(lose_append_answers=1)

    with pytest.raises(aiohttp.ServerDisconnectedError):
        await log.append(b'abc')
    assert (await log.append(b'def'))[0] == 200
    assert payloads((await log.read())[1]) == [b'abc', b'def']
    assert (await log.stats())['lost_answers'] == 1


async def test_outage_closes_every_call(log):
    """Guards against calls that are answered during an outage."""
    waiting = asyncio.create_task(log.read(wait_ms=600_000))
    await log.faults(outage=True)

    calls = (waiting, log.append(b'abc'), log.read())
    ends = await asyncio.gather(*calls, return_exceptions=True)
    assert {type(end) for end in ends} == {aiohttp.ServerDisconnectedError}
    await log.faults(outage=False)
    assert payloads((await log.read())[1]) == []


async def test_refusals_have_their_own_status(log):
    """Guards against refusals that a client cannot tell apart by status."""
    await log.append(b'abc')
    await log.append(b'def')
    await log.faults(retain_records=1, appends_per_s=0)

    assert await log.read(first=1) == (410, b'{"oldest":2}')
    assert (await log.append(b'ghi'))[0] == 429


@pytest.mark.parametrize('faults', [{'outage': 'yes'}, {'unknown': 1}])
async def test_wrong_faults_are_refused(log, faults):
    """Guards against invalid or misspelt faults that are silently ignored."""
    assert await log.faults(**faults) == 400
