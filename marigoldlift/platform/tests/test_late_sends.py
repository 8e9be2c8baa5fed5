"""Requests of the HTTP client whose connection opens only after their deadline."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from marigoldlift.platform.calls import CallUnansweredError, CallWithdrawnError

WAIT_S = 0.3

#: Time in which the client begins to connect, in s.
CONNECTING_S = 0.02

#: When the server begins to take connections, and how long the event loop is held up, in s: the system asks for the connection again
#: after 1 s.
ACCEPTING_AT_S = 0.1
HELD_UP_S = 1.6

#: Time in which a request that was sent arrives, in s.
ARRIVAL_S = 0.5

REQUEST_BYTES = 65_536

#: Connections that the server takes at most.
CONNECTIONS = 10


class BusyListener:
    """Server in another thread whose queue of connections is full at first; it keeps what it receives.

    Attributes:
        received: first bytes of each request.
    """

    def __init__(self):
        """Fill the queue."""
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)
        self.address = '{}:{}'.format(*self.listener.getsockname())
        self.filler = socket.create_connection(self.listener.getsockname())
        self.filler.shutdown(socket.SHUT_WR)
        self.received = []
        self.thread = threading.Thread(target=self.serve, daemon=True)

    def serve(self):
        """Take connections from `ACCEPTING_AT_S` on, and answer nothing."""
        time.sleep(ACCEPTING_AT_S)
        with contextlib.suppress(OSError):
            for _ in range(CONNECTIONS):
                channel, _ = self.listener.accept()
                with channel:
                    request = channel.recv(REQUEST_BYTES)
                if request:
                    self.received.append(request)

    def close(self):
        """Close the connection that filled the queue, wake the thread, wait for its end, and close the listener."""
        self.filler.close()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.thread.join()
        self.listener.close()


@pytest.fixture
def busy():
    """Return a server that begins to take connections soon."""
    server = BusyListener()
    server.thread.start()
    yield server
    server.close()


@pytest.mark.parametrize('held_up_s', [0, HELD_UP_S])
async def test_request_is_not_sent_after_its_deadline(busy, client, held_up_s):
    """Guards against TWICE: an order that leaves after the leadership has run out, since its connection opened during a pause."""
    call = asyncio.create_task(client.post(f'http://{busy.address}/order', b'{}', WAIT_S))
    await asyncio.sleep(CONNECTING_S)
    time.sleep(held_up_s)
    with pytest.raises(CallUnansweredError):
        await call
    await asyncio.sleep(ARRIVAL_S + HELD_UP_S - held_up_s)
    assert not busy.received


@pytest.mark.parametrize('is_wanted', [True, False])
async def test_request_that_is_withdrawn_while_it_connects_is_not_sent(busy, client, is_wanted):
    """Guards against orders that leave after the wait for a connection, although they are out of date by then."""
    asked = []

    def may_send():
        asked.append(bool(busy.received))
        return is_wanted

    expected = CallUnansweredError if is_wanted else CallWithdrawnError
    with pytest.raises(expected):
        await client.post(f'http://{busy.address}/order', b'{}', 2 * HELD_UP_S, may_send=may_send)
    assert asked == [False]
    await asyncio.sleep(ARRIVAL_S)
    assert bool(busy.received) is is_wanted
