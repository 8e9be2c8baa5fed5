"""Requests of the HTTP client while the event loop is held up in one of the turns in which their connection opens."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from marigoldlift.platform.calls import CallUnansweredError, HttpClient

WAIT_S = 0.2
HELD_UP_S = 0.4

#: Time in which a request that was sent arrives, in s.
ARRIVAL_S = 0.3

#: Turns of the event loop in which it is held up; a request over a new connection on loopback is sent within them.
TURNS = 16


class SilentServer:
    """Server in another thread that answers nothing.

    Attributes:
        received_at: when requests have arrived, by the monotonic clock.
    """

    def __init__(self):
        """Listen."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self.listener.getsockname())
        self.received_at = []
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        """Note when the first request arrives."""
        with contextlib.suppress(OSError):
            channel, _ = self.listener.accept()
            with channel:
                if channel.recv(1000):
                    self.received_at.append(time.monotonic())


@pytest.mark.parametrize('turn', range(1, TURNS))
async def test_request_is_not_sent_in_a_turn_after_its_deadline(turn):
    """Guards against TWICE: an order that leaves after a pause that begins while its connection is being handed out."""
    server = SilentServer()
    client = HttpClient()
    call = asyncio.create_task(client.post(f'http://{server.address}/order', b'{}', WAIT_S))
    for _ in range(turn):
        await asyncio.sleep(0)
    time.sleep(HELD_UP_S)
    held_until = time.monotonic()
    with pytest.raises(CallUnansweredError):
        await call
    await asyncio.sleep(ARRIVAL_S)
    await client.close()
    server.listener.close()
    assert all(arrived < held_until for arrived in server.received_at)
