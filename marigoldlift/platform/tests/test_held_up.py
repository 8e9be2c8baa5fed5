"""Calls whose answers arrive while the event loop is held up."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from marigoldlift.platform.calls import CallUnansweredError

WAIT_S = 0.2
HELD_UP_S = 0.6
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@pytest.fixture
def answering():
    """Return the address of a server in another thread, and the event after which it answers one request."""
    listener = socket.create_server(('127.0.0.1', 0))
    may_answer = threading.Event()

    def serve():
        channel, _ = listener.accept()
        with channel, contextlib.suppress(ConnectionError):
            channel.recv(65_536)
            may_answer.wait(5)
            channel.sendall(ANSWER)
            channel.recv(65_536)

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    yield f'127.0.0.1:{listener.getsockname()[1]}', may_answer
    server.join(5)
    listener.close()


async def test_answer_that_arrives_while_the_loop_is_held_up_is_read(answering, client):
    """Guards against starts in doubt, and workers taken for silent, after the leader was paused or busy for a while."""
    address, may_answer = answering

    def hold_up():
        may_answer.set()
        time.sleep(HELD_UP_S)

    asyncio.get_running_loop().call_later(WAIT_S / 2, hold_up)
    answer = await client.post(f'http://{address}/-/hold', b'{}', WAIT_S)
    assert answer.body == b'{}'


async def test_call_without_an_answer_ends(answering, client):
    """Guards against a call that waits on for ever after the loop was held up."""
    address, may_answer = answering
    asyncio.get_running_loop().call_later(WAIT_S / 2, time.sleep, HELD_UP_S)
    async with asyncio.timeout(5):
        with pytest.raises(CallUnansweredError):
            await client.post(f'http://{address}/-/hold', b'{}', WAIT_S)
    may_answer.set()
