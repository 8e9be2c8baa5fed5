"""Tests of the routes of the proxy over real sockets."""

import asyncio

import pytest

from standins.messages import ProxySettings, RouteMode, RouteSettings
from standins.proxy import Proxy


@pytest.fixture
def received():
    """Provide the list of lines that the server has received."""
    return []


@pytest.fixture
async def target(received):
    """Provide the address of an echo server."""
    connections = []

    async def echo(reader, writer):
        connections.append(writer)
        while line := await reader.readline():
            received.append(line)
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'{host}:{port}'
    server.close()
    for writer in connections:
        writer.close()


@pytest.fixture
async def proxy(target):
    """Provide a proxy with the route `echo`."""
    return Proxy(ProxySettings({'echo': RouteSettings(target)}))


@pytest.fixture
async def addresses(serve, proxy):
    """Provide the addresses of the running proxy."""
    return await serve(proxy)


@pytest.fixture
async def connect(addresses):
    """Provide a function that opens a connection through the route."""
    writers = []

    async def open_connection():
        host, port = addresses['echo'].split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        return reader, writer

    yield open_connection
    for writer in writers:
        writer.close()


async def send_line(connection, line):
    """Send a line and return the answer, empty if the connection was closed."""
    reader, writer = connection
    writer.write(line)
    try:
        return await reader.readline()
    except ConnectionError:
        return b''


async def test_cut_closes_refuses_and_recovers(proxy, connect):
    """Guards against a cut that leaves connections open, and a port that stays closed after it."""
    connection = await connect()
    assert await send_line(connection, b'one\n') == b'one\n'

    await proxy.change('echo', mode=RouteMode.cut)
    assert await send_line(connection, b'two\n') == b''
    with pytest.raises(ConnectionRefusedError):
        await connect()
    await proxy.change('echo', mode=RouteMode.pass_through)
    assert await send_line(await connect(), b'three\n') == b'three\n'


@pytest.mark.parametrize('mode', ['freeze', 'to_server_only', 'to_client_only'])
async def test_held_bytes_arrive_after_the_hold(proxy, connect, mode):
    """Guards against the loss of held bytes, on connections opened before or during the hold."""
    old = await connect()
    await send_line(old, b'zero\n')
    await proxy.change('echo', mode=RouteMode(mode))
    answers = [asyncio.create_task(send_line(one, b'late\n')) for one in (old, await connect())]
    early, _ = await asyncio.wait(answers, timeout=0.05)
    assert not early

    await proxy.change('echo', mode=RouteMode.pass_through)
    assert await asyncio.gather(*answers) == [b'late\n', b'late\n']


async def test_half_open_ends_with_a_closed_connection(proxy, connect):
    """Guards against a client that takes the answer to a later request for the one that was lost."""
    connection = await connect()
    await proxy.change('echo', mode=RouteMode.half_open)
    answer = asyncio.create_task(send_line(connection, b'lost\n'))
    link = next(iter(proxy.routes['echo'].links))
    while not link.to_client.damaged:
        await asyncio.sleep(0.01)

    await proxy.change('echo', mode=RouteMode.pass_through)
    assert await answer == b''
    assert await send_line(await connect(), b'new\n') == b'new\n'


async def test_closed_client_is_noticed_after_the_freeze(proxy, connect, received):
    """Guards against a freeze that drops the held bytes of a client that has closed its connection."""
    connection = await connect()
    await send_line(connection, b'one\n')
    await proxy.change('echo', mode=RouteMode.freeze)
    connection[1].write(b'late\n')
    connection[1].close()
    await asyncio.sleep(0.05)
    assert received == [b'one\n']

    await proxy.change('echo', mode=RouteMode.pass_through)
    while proxy.routes['echo'].links:
        await asyncio.sleep(0.01)
    assert received == [b'one\n', b'late\n']


async def test_route_changes_over_http(http, proxy, addresses):
    """Guards against a control request that succeeds without changing the route."""
    url = f'http://{addresses["control"]}/v1/routes'
    await http.post(f'{url}/echo', json={'mode': 'freeze', 'delay_ms': 3})
    outside = await http.post(f'{url}/echo', json={'target': '192.0.2.1:80'})
    missing = await http.post(f'{url}/absent', json={})

    assert (outside.status, missing.status) == (400, 404)
    view = proxy.routes['echo'].view
    assert (view.mode, view.delay_ms) == (RouteMode.freeze, 3)


def test_targets_are_on_loopback():
    """Guards against traffic to addresses other than loopback."""
    with pytest.raises(ValueError):
        Proxy(ProxySettings({'far': RouteSettings('192.0.2.1:80')}))
