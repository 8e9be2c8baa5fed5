"""Mapping of HTTP failures to errors that tell whether a call may have had an effect."""

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
    """Log adapter against the scripted server."""
    return http_log.HttpLogService(session, server.address)


@pytest.fixture
def worker(server, session):
    """Worker adapter against the scripted server."""
    return http_worker.HttpWorkerApi(session, server.address, command_timeout_s=0.2)


@pytest.fixture
def closed_address():
    """Address on which nobody listens."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        yield '127.0.0.1:{0}'.format(unused.getsockname()[1])


async def hang_up(request):
    """Close the connection after the request was read."""
    request.transport.abort()
    return web.Response()


async def hang(_request):
    """Answer long after any timeout."""
    await asyncio.sleep(0.5)


async def raised_by(awaitable):
    """Return the error that the call raises."""
    try:
        await awaitable
    except errors.PlatformError as error:
        return error
    return pytest.fail('the call succeeded')


async def test_append_and_read_round_trip(server, log):
    """Guards against a wire form that differs from the design page."""
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
    """Guards against `not run` for an append that may be in the log."""
    server.answer(status, body, {'Location': '/elsewhere'})

    assert (await raised_by(log.append(STREAM, 'p', 1, [b'a']))).code == expected.code
    assert len(server.requests) == 1


async def test_lost_connection_never_repeats_a_post(server, log, worker):
    """Guards against a POST sent again on a kept-alive connection that breaks."""
    server.answer(200, msgspec.msgpack.encode(AppendResult(1, 2)))
    await log.append(STREAM, 'p', 1, [b'a'])
    server.reply = hang_up

    error = await raised_by(log.append(STREAM, 'p', 2, [b'a']))
    assert error.code == 'append_in_doubt'
    assert (await raised_by(worker.stop_task(STOP))).may_have_run
    assert len(server.requests) == 3


async def test_timeout_makes_the_outcome_of_a_post_unknown(server, log, worker, monkeypatch):
    """Guards against a slow answer taken for a call without effect."""
    monkeypatch.setattr(http_log, 'APPEND_TIMEOUT_S', 0.1)
    server.reply = hang

    error = await raised_by(log.append(STREAM, 'p', 1, [b'a']))
    assert error.code == 'append_in_doubt'
    assert (await raised_by(worker.stop_task(STOP))).may_have_run


async def test_refused_connection_surely_had_no_effect(session, closed_address):
    """Guards against doubt, and so `unknown` answers, about calls that were never sent."""
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
    """Guards against a gap in the records that is taken for an outage, and the reverse."""
    server.answer(status, body)

    error = await raised_by(log.read(STREAM, 1, 10, 0))
    assert error.code == expected.code
    assert getattr(error, 'oldest', 5) == 5


async def test_oversized_page_is_not_an_outage(server, log, monkeypatch):
    """Guards against unbounded memory, and a replica that cannot know to ask for less."""
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
    """Guards against a command that may have run being reported as refused."""
    server.answer(status, body)

    error = await raised_by(worker.stop_task(STOP))
    assert error.code == expected.code
    assert getattr(error, 'may_have_run', True)


async def test_vm_list_is_validated(server, session):
    """Guards against a list of another form, such as an error page, taken for an empty one."""
    directory = HttpVmDirectory(session, server.address)
    server.answer(200, b'{"version": 4, "vms": []}')
    assert (await directory.list_vms()).version == 4

    server.answer(200, b'{"vms": []}')
    await raised_by(directory.list_vms())
    server.answer(500, b'{"version": 4, "vms": []}')
    await raised_by(directory.list_vms())


def test_malformed_address_is_invalid_input(session):
    """Guards against a malformed address of the VM list failing later and elsewhere."""
    with pytest.raises(errors.InvalidInputError):
        HttpVmDirectory(session, 'host:port')


async def test_unchanged_vm_list_is_not_sent_again(server, session):
    """Guards against 7,700 VMs that each entry reads every 2 s although nothing has changed."""
    server.answer(200, b'{"version": 7, "vms": []}')
    directory = HttpVmDirectory(session, server.address)
    first = await directory.list_vms()
    server.answer(304)

    assert await directory.list_vms() is first
    assert server.headers['If-None-Match'] == '"7"'
