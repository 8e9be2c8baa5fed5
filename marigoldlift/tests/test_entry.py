"""Listening sockets and incarnations of an entry."""

import asyncio
import socket

from marigoldlift import entry


async def test_accepted_connections_do_not_delay_answers():
    """Guards against answers to peers that wait 40 ms for a delayed acknowledgement."""
    nodelay = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        accepted = writer.get_extra_info('socket')
        nodelay.set_result(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    listener = entry.listening_socket('127.0.0.1:0')
    server = await asyncio.start_server(accept, sock=listener)
    _, writer = await asyncio.open_connection('127.0.0.1', entry.port_of(listener))

    assert await nodelay
    writer.close()
    server.close()


def test_later_start_has_a_greater_incarnation(monkeypatch):
    """Guards against treating heartbeats of an earlier incarnation as newer ones."""
    starts_ms = iter((999_999_999_999, 1_000_000_000_000, 1_800_000_000_000))
    monkeypatch.setattr(entry, 'wall_ms', lambda: next(starts_ms))
    incarnations = [entry.new_incarnation() for _ in range(3)]

    assert sorted(incarnations) == incarnations
