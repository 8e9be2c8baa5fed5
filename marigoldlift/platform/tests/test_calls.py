"""Deadlines of the HTTP client, with a server in another thread."""

import asyncio
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from marigoldlift.platform.calls import CallUnansweredError

WAIT_S = 0.3
SERVING_S = 0.1
HELD_UP_S = 0.5

#: Time between two looks for the requests, in s.
POLL_S = 0.001


class SlowAnswers(BaseHTTPRequestHandler):
    """Answers after `SERVING_S`; at `/never` after the deadline of any call here."""

    protocol_version = 'HTTP/1.1'

    def do_POST(self):
        """Read the request, and answer."""
        self.rfile.read(int(self.headers['Content-Length']))
        self.server.received.append(self.path)
        time.sleep(SERVING_S if self.path == '/soon' else 2 * HELD_UP_S)
        self.send_response(200)
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'{}')

    def log_message(self, *_):
        """Log nothing."""


class Server(ThreadingHTTPServer):
    """Accepts many connections at once.

    Attributes:
        received: paths of the requests that have arrived.
    """

    request_queue_size = 64

    def __init__(self, *details):
        """Listen."""
        super().__init__(*details)
        self.received = []


@pytest.fixture
def slow_server():
    """Return a running server."""
    running = Server(('127.0.0.1', 0), SlowAnswers)
    threading.Thread(target=running.serve_forever, daemon=True).start()
    yield running
    running.shutdown()
    running.server_close()


@pytest.fixture
def url(slow_server):
    """Return the address of the server."""
    return 'http://127.0.0.1:{}'.format(slow_server.server_address[1])


async def hold_up_loop(server, calls):
    """Hold the event loop up from the time at which the requests have arrived."""
    while len(server.received) < calls:
        await asyncio.sleep(POLL_S)
    time.sleep(HELD_UP_S)


@pytest.mark.parametrize('calls', [1, 20])
async def test_answer_in_time_counts_though_it_is_read_late(slow_server, url, client, calls):
    """Guards against answers that count as missing because the own event loop was held up when the deadline passed."""
    holding = asyncio.create_task(hold_up_loop(slow_server, calls))
    replies = await asyncio.gather(
        *(client.post(f'{url}/soon', b'{}', WAIT_S) for _ in range(calls))
    )
    await holding
    assert {reply.status for reply in replies} == {200}


async def test_missing_answer_is_noticed_at_the_deadline(url, client):
    """Guards against a deadline that an idle entry notices late."""
    began_at = time.monotonic()
    with pytest.raises(CallUnansweredError, match='noticed_late_s'):
        await client.post(f'{url}/never', b'{}', WAIT_S)
    assert WAIT_S <= time.monotonic() - began_at < WAIT_S + SERVING_S


async def test_missing_answer_is_noticed_by_an_entry_that_was_held_up(slow_server, url, client):
    """Guards against a deadline that never passes once the event loop was held up."""
    holding = asyncio.create_task(hold_up_loop(slow_server, 1))
    with pytest.raises(CallUnansweredError):
        await client.post(f'{url}/never', b'{}', WAIT_S)
    await holding
