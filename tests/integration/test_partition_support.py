"""Connections between entries are attributed to the process that opened them."""

import os
import socket
from contextlib import ExitStack

from standins.serving import HOST
from tests.integration.partition_support import inode_of


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


def test_connections_that_share_a_local_port_are_told_apart():
    """Guards against a connection that is taken for one of another failure domain, because both
    have the same local port, and so passes a cut."""
    with ExitStack() as stack:
        servers = [listening(stack) for _ in range(2)]
        first = connected(stack, servers[0])
        second = connected(stack, servers[1], port_of(first))
        found = [inode_of(port_of(first), port_of(server)) for server in servers]
        inodes = [str(os.fstat(client.fileno()).st_ino) for client in (first, second)]
    assert found == inodes


def test_a_port_without_a_connection_has_no_inode():
    """Guards against a listening socket that is taken for the caller of a connection."""
    with ExitStack() as stack:
        server = listening(stack)
        assert not inode_of(port_of(server), 0)
