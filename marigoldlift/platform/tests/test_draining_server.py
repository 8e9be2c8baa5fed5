"""A server that stops while callers send: nothing that was read may be left unanswered."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from marigoldlift.platform import draining_server
from marigoldlift.platform.servers import listen_draining

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

#: Grace time, in s; requests under way get more of it than a test needs.
GRACE_S = 30.0

POLL_S = 0.01

#: More than the buffers of a connection hold.
LARGE = 32 * 1024 * 1024


class Scripted:
    """Answers once it may.

    Attributes:
        arrived: set when a request was read.
        released: set when answers may be given.
        size: size of the answers.
    """

    def __init__(self):
        self.arrived = asyncio.Event()
        self.released = asyncio.Event()
        self.size = 2

    async def answer(self, _request):
        self.arrived.set()
        await self.released.wait()
        return web.Response(body=bytes(self.size))


@pytest.fixture
async def script():
    """Return what the server answers."""
    return Scripted()


@pytest.fixture
async def callers(script, monkeypatch):
    """Return a server that closes its connections at once when it stops."""
    monkeypatch.setattr(draining_server, 'SERVE_S', 0)
    server = await listen_draining('127.0.0.1:0', script.answer)
    yield server
    server.listener.close()
    for connection in server.connections:
        connection.force_close()


@contextlib.asynccontextmanager
async def connect(callers):
    """Connect to the server."""
    reader, writer = await asyncio.open_connection(*callers.listener.sockets[0].getsockname())
    with contextlib.closing(writer):
        yield reader, writer


async def until_closed(callers):
    """Wait until the server takes no new connections."""
    while callers.listener.is_serving():
        await asyncio.sleep(POLL_S)


async def test_requests_sent_at_once_are_all_answered(callers, script):
    """Guards against a request that is dropped once the answer before it is written."""
    async with connect(callers) as (reader, writer):
        writer.write(REQUEST * 3)
        await script.arrived.wait()
        draining = asyncio.create_task(callers.drain(GRACE_S))
        await until_closed(callers)
        script.released.set()
        told = await reader.read()
        await draining
    assert told.count(b' 200 OK') == 3


async def test_idle_connections_are_closed_by_the_server(callers, script):
    """Guards against connections that stay open until the process is gone."""
    script.released.set()
    async with connect(callers) as (reader, writer):
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(script.size)
        await callers.drain(GRACE_S)
        assert not await reader.read()
    assert not callers.connections


async def test_requests_under_way_are_answered(callers, script):
    """Guards against requests that are cut when the listener closes."""
    async with connect(callers) as (reader, writer):
        writer.write(REQUEST)
        await script.arrived.wait()
        draining = asyncio.create_task(callers.drain(GRACE_S))
        await until_closed(callers)
        script.released.set()
        told = await reader.read()
        await draining
    assert b' 200 OK' in told


async def test_an_answer_is_delivered_before_the_end(callers, script):
    """Guards against an answer that is counted as given while most of it is not yet sent."""
    script.size = LARGE
    script.released.set()
    async with connect(callers) as (reader, writer):
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        draining = asyncio.create_task(callers.drain(GRACE_S))
        await until_closed(callers)
        await asyncio.sleep(POLL_S)
        assert callers.connections
        told = await reader.readexactly(LARGE)
        await draining
    assert len(told) == LARGE
    assert not callers.connections


async def test_callers_who_keep_coming_do_not_hold_up_the_stop(callers, script):
    """Guards against a stop that waits for a moment without requests until the process is killed."""
    script.released.set()

    async def keep_coming():
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                async with connect(callers) as (reader, writer):
                    writer.write(REQUEST)
                    await reader.readuntil(b'\r\n\r\n')

    coming = [asyncio.create_task(keep_coming()) for _ in range(20)]
    await script.arrived.wait()
    await callers.drain(GRACE_S)
    assert not callers.connections
    await asyncio.gather(*coming, return_exceptions=True)


async def test_the_process_ends_before_it_is_killed(callers, script):
    """Guards against waiting for one request for so long that SIGKILL cuts all others."""
    async with connect(callers) as (reader, writer):
        writer.write(REQUEST)
        await script.arrived.wait()
        await callers.drain(draining_server.EXIT_S + POLL_S)
        assert callers.connections
