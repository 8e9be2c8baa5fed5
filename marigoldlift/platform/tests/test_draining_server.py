"""Graceful shutdown while callers send requests: every request that was read has to be answered."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from marigoldlift.platform import draining_server
from marigoldlift.platform.servers import listen_draining

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

#: Grace time, in s; it leaves requests in progress more time than any test needs.
GRACE_S = 30.0

POLL_S = 0.01

#: Size of an answer that exceeds the buffers of a connection, in bytes.
LARGE_BYTES = 32 * 1024 * 1024


class DelayedHandler:
    """Handler that delays its answers until the test releases them.

    Attributes:
        arrived: set once a request was read.
        released: set by the test to release the answers.
        size: size of the answers, in bytes.
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
async def handler():
    """Handler of the server."""
    return DelayedHandler()


@pytest.fixture
async def server(handler, monkeypatch):
    """Server that starts to close its connections as soon as it is stopped."""
    monkeypatch.setattr(draining_server, 'SERVE_AFTER_STOP_S', 0)
    server = await listen_draining('127.0.0.1:0', handler.answer)
    yield server
    server.listener.close()
    for connection in server.connections:
        connection.force_close()


@contextlib.asynccontextmanager
async def connect(server):
    """Open a connection to the server."""
    reader, writer = await asyncio.open_connection(*server.listener.sockets[0].getsockname())
    with contextlib.closing(writer):
        yield reader, writer


async def wait_until_closed(server):
    """Wait until the server accepts no new connections."""
    while server.listener.is_serving():
        await asyncio.sleep(POLL_S)


async def test_pipelined_requests_are_all_answered(server, handler):
    """Guards against a pipelined request that is dropped once the previous answer is written."""
    async with connect(server) as (reader, writer):
        writer.write(REQUEST * 3)
        await handler.arrived.wait()
        draining = asyncio.create_task(server.drain(GRACE_S))
        await wait_until_closed(server)
        handler.released.set()
        received = await reader.read()
        await draining
    assert received.count(b' 200 OK') == 3


async def test_idle_connections_are_closed_by_the_server(server, handler):
    """Guards against idle connections that stay open until the process exits."""
    handler.released.set()
    async with connect(server) as (reader, writer):
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(handler.size)
        await server.drain(GRACE_S)
        assert not await reader.read()
    assert not server.connections


async def test_requests_in_progress_are_answered(server, handler):
    """Guards against requests that are cut off when the listener closes."""
    async with connect(server) as (reader, writer):
        writer.write(REQUEST)
        await handler.arrived.wait()
        draining = asyncio.create_task(server.drain(GRACE_S))
        await wait_until_closed(server)
        handler.released.set()
        received = await reader.read()
        await draining
    assert b' 200 OK' in received


async def test_large_answer_is_sent_whole_before_the_connection_closes(server, handler):
    """Guards against closing a connection while most of its last answer is still in the send buffer."""
    handler.size = LARGE_BYTES
    handler.released.set()
    async with connect(server) as (reader, writer):
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        draining = asyncio.create_task(server.drain(GRACE_S))
        await wait_until_closed(server)
        await asyncio.sleep(POLL_S)
        assert server.connections
        received = await reader.readexactly(LARGE_BYTES)
        await draining
    assert len(received) == LARGE_BYTES
    assert not server.connections


async def test_new_connections_do_not_delay_the_stop(server, handler):
    """Guards against a stop that waits for a moment without requests, and so lasts until the process is killed."""
    handler.released.set()

    async def keep_connecting():
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                async with connect(server) as (reader, writer):
                    writer.write(REQUEST)
                    await reader.readuntil(b'\r\n\r\n')

    connecting = [asyncio.create_task(keep_connecting()) for _ in range(20)]
    await handler.arrived.wait()
    await server.drain(GRACE_S)
    assert not server.connections
    await asyncio.gather(*connecting, return_exceptions=True)


async def test_drain_returns_before_the_process_is_killed(server, handler):
    """Guards against waiting for one request for so long that SIGKILL cuts off all others."""
    async with connect(server) as (reader, writer):
        writer.write(REQUEST)
        await handler.arrived.wait()
        await server.drain(draining_server.EXIT_RESERVE_S + POLL_S)
        assert server.connections
