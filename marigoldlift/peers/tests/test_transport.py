"""Calls between entries over loopback."""

import asyncio
import socket

import pytest

from marigoldlift.errors import PeerUnavailableError
from marigoldlift.peers import messages
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.service import METHODS, PeerServer
from marigoldlift.telemetry.metrics import Metrics

LONG_S = 5.0


@pytest.fixture
async def handlers():
    """Return handlers that all raise; a test replaces those that it needs."""

    async def refuse(request):
        raise ValueError('not expected in this test')

    return dict.fromkeys(METHODS, refuse)


@pytest.fixture
async def clients():
    """Yield clients, and close them after the test."""
    clients = PeerClients(Metrics())
    yield clients
    clients.close()


@pytest.fixture
async def serve(handlers):
    """Yield a function that starts a server and returns its address; stop the servers after the test."""
    servers = []

    async def start():
        server = PeerServer(handlers)
        listener = socket.create_server(('127.0.0.1', 0))
        await server.start(listener)
        servers.append(server)
        return f'127.0.0.1:{listener.getsockname()[1]}'

    yield start
    for server in servers:
        await server.stop()


async def test_call_carries_typed_messages(handlers, serve, clients):
    """Guards against a codec that loses fields or types of a message."""
    seen = []

    async def read_records(request):
        seen.append(request)
        return messages.RecordsReply(oldest=1, next=5, records=[])

    handlers['ReadRecords'] = read_records
    request = messages.RecordsRequest(stream='configuration', first=3, limit=7)

    reply = await clients.call(await serve(), 'ReadRecords', request, LONG_S)

    assert seen == [request]
    assert reply == messages.RecordsReply(oldest=1, next=5, records=[])


async def test_refused_connection_cannot_have_run(serve, clients):
    """Guards against an unknown outcome of a request that was never sent: it has to be `not_run`."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{unused.getsockname()[1]}'
        with pytest.raises(PeerUnavailableError) as caught:
            await clients.call(address, 'Release', messages.ReleaseReservation('r'), LONG_S)

    assert not caught.value.may_have_run


async def test_lost_reply_may_have_run(handlers, serve, clients):
    """Guards against reporting that nothing ran when only the reply was lost with the connection."""
    started = asyncio.Event()

    async def hang(request):
        started.set()
        await asyncio.Event().wait()

    handlers['Release'] = hang
    address = await serve()
    call = asyncio.create_task(
        clients.call(address, 'Release', messages.ReleaseReservation('r'), LONG_S),
    )
    await started.wait()
    clients.reset(address)

    with pytest.raises(PeerUnavailableError) as caught:
        await call
    assert caught.value.may_have_run


async def test_failing_handler_may_have_run(serve, clients):
    """Guards against taking an exception in the peer's handler as proof that nothing ran."""
    with pytest.raises(PeerUnavailableError) as caught:
        await clients.call(await serve(), 'Release', messages.ReleaseReservation('r'), LONG_S)

    assert caught.value.may_have_run
