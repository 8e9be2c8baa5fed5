"""Tests of the HTTP API and the injected faults of the workers."""

import asyncio

import aiohttp
import msgspec
import pytest

from marigoldlift.platform.messages import LeaseGrant

from standins.messages import WorkerFleetSettings
from standins.tests.worker_calls import claim, renew, run, settings, start, stop
from standins.worker_server import WorkerFleet

FIVE_MINUTES_MS = 300_000


class WorkerClient:
    """Minimal HTTP client of one worker."""

    def __init__(self, http, observer, address):
        """Store the base URL, and separate sessions for worker calls and for reading journal and violations."""
        self.http = http
        self.observer = observer
        self.base = f'http://{address}/v1'

    async def post(self, path, message):
        """Send a message and return status and decoded body."""
        body = msgspec.json.encode(message)
        async with self.http.post(f'{self.base}/{path}', data=body) as answer:
            return answer.status, await answer.json()

    async def read(self, path):
        """Return the journal or the violations."""
        async with self.observer.get(f'{self.base}/{path}') as answer:
            return await answer.json()

    async def lease(self, message):
        """Send a lease request and return the grant."""
        return msgspec.convert((await self.post('lease', message))[1], LeaseGrant)

    async def wait_journal(self, kind):
        """Wait until the journal has an entry of the kind."""
        while all(entry['kind'] != kind for entry in await self.read('journal')):
            await asyncio.sleep(0.01)
        return True


@pytest.fixture
async def worker(serve, http, observer):
    """Provide a client of a running worker."""
    addresses = await serve(WorkerFleet(WorkerFleetSettings([settings()])))
    return WorkerClient(http, observer, addresses['w1'])


@pytest.fixture
async def grant(worker):
    """Provide the grant of a lease that does not expire during the test."""
    return await worker.lease(claim('a', ttl_ms=FIVE_MINUTES_MS))


async def test_request_and_task_over_http(worker, grant):
    """Guards against a wire format that differs from the documented one."""
    answer = {'state': 'finished', 'result': 'done:x'}
    assert await worker.post('requests', run(grant, 'r')) == (200, answer)
    assert await worker.post('tasks', start(grant, 't')) == (200, {})
    assert await worker.post('tasks/checkpoint', stop(grant, 'absent')) == (
        409,
        {'code': 'not_running', 'reason': 'no such task is running'},
    )
    assert (await worker.post('tasks', start(grant, 't')))[1]['code'] == 'duplicate'
    assert (await worker.post('tasks/stop', stop(grant, 't')))[0] == 200
    assert [event.task_id for event in (await worker.lease(renew(grant))).events] == ['t']


async def test_request_outlives_its_caller(worker, grant):
    """Guards against a request that is abandoned when the connection of its caller closes."""
    message = run(grant, 'r', payload='{"run_ms": 100}')
    call = asyncio.create_task(worker.post('requests', message))
    await worker.wait_journal('start')
    call.cancel()

    assert await worker.wait_journal('end')


async def test_dropped_answer_takes_effect(worker, grant):
    """Guards against a dropped-answer fault that prevents the command, or ignores `drop_path`."""
    await worker.post('faults', {'drop_answers': 1, 'drop_path': '/v1/tasks'})
    assert (await worker.lease(renew(grant, ttl_ms=FIVE_MINUTES_MS))).granted

    with pytest.raises(aiohttp.ServerDisconnectedError):
        await worker.post('tasks', start(grant, 't'))
    assert (await worker.post('tasks', start(grant, 't')))[1]['code'] == 'duplicate'


async def test_restart_gives_waiting_callers_no_answer(worker, grant):
    """Guards against an answer to a request that a restart has killed."""
    message = run(grant, 'r', payload='{"run_ms": 300000}')
    call = asyncio.create_task(worker.post('requests', message))
    await worker.wait_journal('start')
    await worker.post('faults', {'restart': True})

    with pytest.raises(aiohttp.ServerDisconnectedError):
        await call
    assert (await worker.lease(claim('b'))).incarnation != grant.incarnation


async def test_connections_above_the_limit_count(worker, grant):
    """Guards against uncounted connections above the limit, and against counting control connections."""
    messages = [run(grant, name, payload='{"run_ms": 300000}') for name in ('r1', 'r2', 'r3')]
    calls = [asyncio.create_task(worker.post('requests', message)) for message in messages]
    await worker.wait_journal('over_connection')

    assert (await worker.read('violations'))['connections'] == 1
    for call in calls:
        call.cancel()
