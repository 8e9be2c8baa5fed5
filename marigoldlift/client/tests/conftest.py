"""Fake entry with predefined replies, and input files for the command line."""

import asyncio
import json
import threading

import pytest
from aiohttp import web

from marigoldlift.cmdline import main


class FakeEntry:
    """HTTP server that runs in a separate thread, because the client runs its own event loop.

    Attributes:
        replies: status and body of the next replies. The last one is repeated, because the HTTP library sends a
            read again after a lost connection. The status None closes the connection without a reply.
        requests: method, path with query, and decoded body of each request.
    """

    def __init__(self):
        """Create a server without replies; its thread is not started yet."""
        self.replies = []
        self.requests = []
        self.address = ''
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)

    def serve(self):
        """Serve until the event loop is stopped."""
        self.loop.run_until_complete(self.start())
        self.ready.set()
        self.loop.run_forever()
        self.loop.run_until_complete(self.runner.cleanup())

    async def start(self):
        """Listen on a port chosen by the system."""
        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', self.answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = self.runner.addresses[0]
        self.address = f'{host}:{port}'

    async def answer(self, request):
        """Record the request and return the next reply."""
        text = await request.text()
        self.requests.append((request.method, request.path_qs, json.loads(text or 'null')))
        status, body = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if status is None:
            request.transport.abort()
            return web.Response()
        return web.Response(status=status, text=body)


@pytest.fixture
def start_entry():
    """Return a function that starts an entry with the given replies."""
    started = []

    def start(*replies):
        entry = FakeEntry()
        entry.replies = [
            (status, body if isinstance(body, str) else json.dumps(dict(body)))
            for status, body in replies
        ]
        entry.thread.start()
        entry.ready.wait()
        started.append(entry)
        return entry

    yield start
    for entry in started:
        entry.loop.call_soon_threadsafe(entry.loop.stop)
        entry.thread.join()
        entry.loop.close()


@pytest.fixture
def run(capsys):
    """Return a function that runs the program and returns exit code, standard output and standard error."""

    def call(*words):
        code = main(words)
        captured = capsys.readouterr()
        return int(code), captured.out, captured.err

    return call


@pytest.fixture
def json_file(tmp_path):
    """Return a function that writes a JSON file and returns its path."""

    def write(content):
        path = tmp_path / 'input.json'
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    return write


@pytest.fixture
def closed_address(start_entry):
    """Return an address on which no server listens any more."""
    entry = start_entry()
    asyncio.run_coroutine_threadsafe(entry.runner.cleanup(), entry.loop).result()
    return entry.address
