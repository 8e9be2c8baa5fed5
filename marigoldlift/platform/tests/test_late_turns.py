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

#: Longest wait for the answer that makes the connection known, in s, also on a busy machine.
OPENING_S = 10.0

#: Time in which a request that was sent arrives, in s.
ARRIVAL_S = 0.3

#: Turns of the event loop in which it is held up; a request over a new connection on loopback is sent within them.
TURNS = 16

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class SilentServer:
    """Server in another thread that answers requests until the judged one, which it leaves without an answer.

    Attributes:
        received_at: when requests have arrived, by the monotonic clock.
    """

    def __init__(self, answers):
        """Listen, and answer a number of requests of one connection."""
        self.answers = answers
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self.listener.getsockname())
        self.received_at = []
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        """Note when the judged request arrives."""
        with contextlib.suppress(OSError):
            channel, _ = self.listener.accept()
            with channel:
                for _ in range(self.answers):
                    channel.recv(1000)
                    channel.sendall(ANSWER)
                if channel.recv(1000):
                    self.received_at.append(time.monotonic())

    def close(self):
        """Wake the thread if it still waits for a connection, and wait for its end."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.thread.join()
        self.listener.close()


@pytest.mark.parametrize('turn', range(1, TURNS))
@pytest.mark.parametrize('answers', [0, 1], ids=['opened', 'kept'])
async def test_request_is_not_sent_in_a_turn_after_its_deadline(turn, answers):
    """Guards against TWICE: an order that leaves after a pause that begins while its connection is being handed out.

    The connection is opened for it, or kept from an earlier request.
    """
    server = SilentServer(answers)
    client = HttpClient()
    for _ in range(answers):
        await client.post(f'http://{server.address}/order', b'{}', OPENING_S)
    call = asyncio.create_task(client.post(f'http://{server.address}/order', b'{}', WAIT_S))
    for _ in range(turn):
        await asyncio.sleep(0)
    time.sleep(HELD_UP_S)
    held_until = time.monotonic()
    with pytest.raises(CallUnansweredError):
        await call
    await asyncio.sleep(ARRIVAL_S)
    await client.close()
    server.close()
    assert all(arrived < held_until for arrived in server.received_at)
