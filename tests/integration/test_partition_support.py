"""Connections between entries are attributed to the process that opened them."""

import os
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest

from standins.serving import HOST
from tests.integration.socket_inodes import ask_kernel, inode_of, kernel_answers, read_list

#: Sockets that the machine has at least, and bytes of the row of one in /proc/net/tcp.
SOCKETS = 200
ROW_BYTES = 150


def listening(stack: ExitStack) -> socket.socket:
    """Return a socket that listens on a free port."""
    server = stack.enter_context(socket.socket())
    server.bind((HOST, 0))
    server.listen()
    return server


def connected(stack: ExitStack, server: socket.socket, local_port: int = 0) -> socket.socket:
    """Return a connection to a server from a local port, 0 for any."""
    client = stack.enter_context(socket.socket())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    client.bind((HOST, local_port))
    client.connect(server.getsockname())
    return client


def port_of(bound: socket.socket) -> int:
    """Return the local port of a socket."""
    return bound.getsockname()[1]


LOOKUPS = (ask_kernel, read_list) if kernel_answers() else (read_list,)


@pytest.fixture(params=LOOKUPS, ids=lambda lookup: lookup.__name__)
def look_up(request):
    """Return a way to look up the inode of a connection that works on this kernel."""
    return request.param


def test_connections_that_share_a_local_port_are_told_apart(look_up):
    """Guards against a connection that is taken for one of another failure domain, because both
    have the same local port, and so passes a cut."""
    with ExitStack() as stack:
        servers = [listening(stack) for _ in range(2)]
        first = connected(stack, servers[0])
        second = connected(stack, servers[1], port_of(first))
        found = [look_up(port_of(first), port_of(server)) for server in servers]
        inodes = [str(os.fstat(client.fileno()).st_ino) for client in (first, second)]
    assert found == inodes


def bytes_read() -> int:
    """Return how much this process has read from files."""
    counted = Path('/proc/self/io').read_text().split()
    return int(counted[counted.index('rchar:') + 1])


def test_a_closed_connection_has_no_inode(look_up):
    """Guards against an answer about a connection that the kernel keeps for a while after its end."""
    with ExitStack() as stack:
        server = listening(stack)
        client = connected(stack, server)
        ports = (port_of(client), port_of(server))
        accepted, _ = server.accept()
        client.close()
        accepted.close()
        assert not look_up(*ports)


def test_lookup_does_not_read_the_list_of_all_sockets():
    """Guards against routes that stand still during each lookup, so that a cell never becomes ready:
    heartbeats time out, and the connections made anew need lookups too."""
    with ExitStack() as stack:
        server = listening(stack)
        clients = [connected(stack, server) for _ in range(SOCKETS // 2)]
        before = bytes_read()
        assert inode_of(port_of(clients[-1]), port_of(server))
        assert bytes_read() - before < SOCKETS * ROW_BYTES or not kernel_answers()


def test_a_port_without_a_connection_has_no_inode(look_up):
    """Guards against a listening socket that is taken for the caller of a connection."""
    with ExitStack() as stack:
        servers = [listening(stack) for _ in range(2)]
        assert not look_up(port_of(servers[0]), 0)
        assert not look_up(*map(port_of, servers))
