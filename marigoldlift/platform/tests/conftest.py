"""HTTP server whose answers a test chooses, and a client session."""

import pytest
from aiohttp import web
from loguru import logger

from marigoldlift.platform.calls import HttpClient
from marigoldlift.platform.http_calls import open_session

HOST_CONNECTIONS = 8


class ScriptedServer:
    """Answers every request with `reply` and records the requests.

    Attributes:
        reply: coroutine function from a request to its response.
        requests: method and path of each request, with its body.
        headers: headers of the last request.
        address: `host:port` of the server.
    """

    def __init__(self):
        """Answer 500 until a test sets another answer."""
        self.requests = []
        self.headers = {}
        self.address = ''
        self.answer(500)

    def answer(self, status, body=b'', headers=None):
        """Answer with this status and body from now on."""

        async def reply(_request):
            return web.Response(status=status, body=body, headers=headers)

        self.reply = reply

    async def handle(self, request):
        """Record the request and answer it."""
        self.requests.append((request.method, request.path_qs, await request.read()))
        self.headers = request.headers
        return await self.reply(request)


@pytest.fixture
async def server():
    """Server on a free port of the loopback interface."""
    scripted = ScriptedServer()
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', scripted.handle)
    runner = web.AppRunner(app, shutdown_timeout=0)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    scripted.address = '127.0.0.1:{0}'.format(runner.addresses[0][1])
    yield scripted
    await runner.cleanup()


@pytest.fixture
async def session():
    """Session as the daemon opens it."""
    async with open_session(HOST_CONNECTIONS) as opened:
        yield opened


@pytest.fixture
def log_lines():
    """Lines that were logged during the test."""
    lines = []
    sink = logger.add(lines.append, format='{level} {message}', level='INFO')
    yield lines
    logger.remove(sink)


@pytest.fixture
async def client():
    """Client that the adapters share."""
    opened = HttpClient()
    yield opened
    await opened.close()
