"""Mapping of HTTP failures to errors that say whether a call may have had an effect."""

import asyncio
import socket

import msgspec
import pytest
from aiohttp import web

from marigoldlift import errors
from marigoldlift.ids import Epoch, Incarnation, StreamId, TaskId
from marigoldlift.platform import http_log, http_worker
from marigoldlift.platform.http_vm_directory import HttpVmDirectory
from marigoldlift.platform.messages import (
    AppendRequest,
    AppendResult,
    LogRecord,
    RecordPage,
    StopTask,
)

STREAM = StreamId('domain-recife')
STOP = StopTask(Incarnation('i1'), Epoch(3), TaskId('t1'))
REFUSAL = b'{"code": "fenced", "reason": "epoch 4"}'
FULL = b'{"code": "full", "reason": "no slot"}'


@pytest.fixture
def log(server, session):
    """Log adapter that is connected to the scripted server."""
    return http_log.HttpLogService(session, server.address)


@pytest.fixture
def worker(server, session):
    """Worker adapter that is connected to the scripted server."""
    return http_worker.HttpWorkerApi(session, server.address, command_timeout_s=0.2)


@pytest.fixture
def closed_address():
    """Address that refuses connections."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        yield '127.0.0.1:{0}'.format(unused.getsockname()[1])


async def abort_connection(request):
    """Close the connection after the request was read."""
    request.transport.abort()
    return web.Response()


async def answer_late(_request):
    """Answer only after the timeouts of the adapters have passed."""
    await asyncio.sleep(0.5)


async def raised_by(awaitable):
    """Return the error that the call raises; fail the test if there is none."""
    try:
        await awaitable
    except errors.PlatformError as error:
        return error
    return pytest.fail('the call succeeded')


async def test_append_and_read_round_trip(server, log):
    """Guards against a wire format that differs from the documented one."""
    server.answer(200, msgspec.msgpack.encode(AppendResult(7, 9)))
    assert await log.append(STREAM, 'p', 1, [b'a', b'b']) == AppendResult(7, 9)
    page = RecordPage(1, 8, [LogRecord(7, 'p', 1, b'a')])
    server.answer(200, msgspec.msgpack.encode(page))
    assert await log.read(STREAM, 7, 10, 0) == page

    path = '/v1/streams/domain-recife/records'
    method, target, body = server.requests[0]
    assert (method, target) == ('POST', path)
    assert msgspec.msgpack.decode(body, type=AppendRequest) == AppendRequest('p', 1, [b'a', b'b'])
    assert server.requests[1][1] == f'{path}?from=7&limit=10&wait_ms=0'


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (429, b'', errors.AppendRefusedError),
        (400, b'?', errors.AppendRefusedError),
        (503, FULL, errors.AppendRefusedError),
        (503, b'', errors.AppendOutcomeUnknownError),
        (500, b'{}', errors.AppendOutcomeUnknownError),
        (200, b'?', errors.AppendOutcomeUnknownError),
        (200, b'0' * 100_000, errors.AppendOutcomeUnknownError),
        (307, b'', errors.AppendOutcomeUnknownError),
    ],
)
async def test_append_answers(server, log, status, body, expected):
    """Guards against reporting an append as refused when it may be in the log."""
    server.answer(status, body, {'Location': '/elsewhere'})

    assert (await raised_by(log.append(STREAM, 'p', 1, [b'a']))).code == expected.code
    assert len(server.requests) == 1


async def test_lost_connection_never_repeats_a_post(server, log, worker):
    """Guards against a POST that is sent again after its keep-alive connection broke."""
    server.answer(200, msgspec.msgpack.encode(AppendResult(1, 2)))
    await log.append(STREAM, 'p', 1, [b'a'])
    server.reply = abort_connection

    error = await raised_by(log.append(STREAM, 'p', 2, [b'a']))
    assert error.code == 'append_in_doubt'
    assert (await raised_by(worker.stop_task(STOP))).may_have_run
    assert len(server.requests) == 3


async def test_timeout_makes_the_outcome_of_a_post_unknown(server, log, worker, monkeypatch):
    """Guards against reporting a call as without effect when its answer is only slow."""
    monkeypatch.setattr(http_log, 'APPEND_TIMEOUT_S', 0.1)
    server.reply = answer_late

    error = await raised_by(log.append(STREAM, 'p', 1, [b'a']))
    assert error.code == 'append_in_doubt'
    assert (await raised_by(worker.stop_task(STOP))).may_have_run


async def test_refused_connection_had_no_effect(session, closed_address):
    """Guards against an unknown outcome, and so `unknown` answers, for calls that were never sent."""
    log = http_log.HttpLogService(session, closed_address)
    worker = http_worker.HttpWorkerApi(session, closed_address)

    error = await raised_by(log.append(STREAM, 'p', 1, [b'a']))
    assert error.code == 'log_unavailable'
    assert not (await raised_by(worker.stop_task(STOP))).may_have_run


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (410, b'{"oldest": 5}', errors.RetentionPassedError),
        (410, b'{}', errors.PlatformError),
        (503, b'', errors.LogUnavailableError),
        (404, b'', errors.PlatformError),
        (200, b'?', errors.PlatformError),
    ],
)
async def test_read_answers(server, log, status, body, expected):
    """Guards against reporting a gap in the records as an outage, and an outage as a gap."""
    server.answer(status, body)

    error = await raised_by(log.read(STREAM, 1, 10, 0))
    assert error.code == expected.code
    assert getattr(error, 'oldest', 5) == 5


async def test_oversized_page_is_not_an_outage(server, log, monkeypatch):
    """Guards against unbounded memory, and against a replica that cannot tell that it has to request a smaller page."""
    monkeypatch.setattr(http_log, 'PAGE_BYTES', 10)
    server.answer(200, b'0' * 11)

    error = await raised_by(log.read(STREAM, 1, 10, 0))
    assert not isinstance(error, errors.LogUnavailableError)


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (409, REFUSAL, errors.FencedError),
        (409, FULL, errors.WorkerRefusedError),
        (503, FULL, errors.WorkerRefusedError),
        (503, b'{"code": "broken", "reason": ""}', errors.WorkerUnavailableError),
        (500, b'', errors.WorkerUnavailableError),
        (409, b'?', errors.WorkerUnavailableError),
    ],
)
async def test_worker_answers(server, worker, status, body, expected):
    """Guards against reporting a command as refused when it may have run."""
    server.answer(status, body)

    error = await raised_by(worker.stop_task(STOP))
    assert error.code == expected.code
    assert getattr(error, 'may_have_run', True)


async def test_vm_list_is_validated(server, session):
    """Guards against treating a body of another form, such as an error page, as an empty list."""
    directory = HttpVmDirectory(session, server.address)
    server.answer(200, b'{"version": 4, "vms": []}')
    assert (await directory.list_vms()).version == 4

    server.answer(200, b'{"vms": []}')
    await raised_by(directory.list_vms())
    server.answer(500, b'{"version": 4, "vms": []}')
    await raised_by(directory.list_vms())


def test_malformed_address_is_invalid_input(session):
    """Guards against a malformed address of the VM list that is detected only at the first call."""
    with pytest.raises(errors.InvalidInputError):
        HttpVmDirectory(session, 'host:port')


async def test_unchanged_vm_list_is_not_sent_again(server, session):
    """Guards against sending all 7,700 VMs to each entry every 2 s when nothing has changed."""
    server.answer(200, b'{"version": 7, "vms": []}')
    directory = HttpVmDirectory(session, server.address)
    first = await directory.list_vms()
    server.answer(304)

    assert await directory.list_vms() is first
    assert server.headers['If-None-Match'] == '"7"'
