"""Servers of an entry, for the balancer and for other entries, and calls to those of other entries."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec
from aiohttp import web

from marigoldlift.errors import AppendOutcomeUnknownError, AppendRefusedError
from marigoldlift.platform.advice import ADVISE_PATH, PlatformAdvice
from marigoldlift.platform.draining_server import DrainingServer
from marigoldlift.platform.calls import CallUnansweredError, HttpClient
from marigoldlift.platform.store_route import RELAY_PREFIX, StoreRoute
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.record_codec import decode_record

__all__ = (
    'DrainingServer',
    'Handler',
    'PeerCalls',
    'PeerRequestHandler',
    'listen',
    'listen_draining',
    'ready_handler',
    'text_handler',
)

#: Path under which an entry stores a record for another one, and the field that says how long that one waits, in ms.
APPEND_PATH = '/append'
WAIT_FIELD = 'wait_ms'

#: Added to that wait for the way, in s.
ROUND_TRIP_S = 0.2

MS_PER_S = 1000

OK = 200

#: Answers by which another entry says that it has not stored a record and will not.
REFUSED = frozenset((400, 404, 503))

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

#: Longest wait of a store call that is passed on for another entry, in s; a read may wait for 1 s.
STORE_WAIT_S = 2.0

#: Longest wait of a call to the advice that is made for another entry, in s; calls of one VM are served in turn.
ADVICE_WAIT_S = 10.0

#: How long an idle connection is kept, in s.
KEEP_ALIVE_S = 60

#: Connections that may wait to be taken; a full queue delays callers by seconds.
BACKLOG = 512


async def listen(address: str, handler: Handler) -> asyncio.Server:
    """Serve HTTP on one address."""
    return await bind(
        address, web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
    )


async def listen_draining(address: str, handler: Handler) -> DrainingServer:
    """Serve HTTP on one address until the connections are closed in order."""
    server = DrainingServer(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
    server.listener = await bind(address, server)
    return server


async def bind(address: str, server: web.Server) -> asyncio.Server:
    """Let a server listen on one address."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, int(port), backlog=BACKLOG)


def ready_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler that tells the balancer whether the entry is ready."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:  # noqa: WPS430 the state is one callable
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    return handle


def text_handler(render: Callable[[], str]) -> Handler:
    """Return the handler that answers each request with a text."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:  # noqa: WPS430 the state is one callable
        return web.Response(text=render())

    return handle


class PeerRequestHandler:
    """Makes calls to the platform for other entries.

    Attributes:
        leaving: the entry is about to end, so that other entries should use the next connection elsewhere.
    """

    def __init__(self, route: StoreRoute, advice: PlatformAdvice, appender: Appender) -> None:
        """Use this entry's ways to store and advice, and its appends."""
        self.route = route
        self.advice = advice
        self.appender = appender
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of another entry."""
        response = await self.answer(request)
        if self.leaving:
            response.force_close()
        return response

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Make the call that is asked for."""
        body = await request.read()
        if request.path.startswith(RELAY_PREFIX):
            path = request.path_qs.removeprefix(RELAY_PREFIX)
            passed = await self.route.relay_call(request.method, path, body, STORE_WAIT_S)
            return web.Response(status=passed.status, body=passed.body)
        if request.path == ADVISE_PATH:
            return await self.advise(body)
        if request.path == APPEND_PATH:
            return await self.append(body, request.query.get(WAIT_FIELD, ''))
        return web.Response(status=HTTPStatus.NOT_FOUND)

    async def append(self, body: bytes, wait_ms: str) -> web.Response:
        """Store a record of another entry together with this entry's own."""
        if not wait_ms.isdigit():
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        try:
            record = decode_record(body)
            await self.appender.append(record, int(wait_ms) / MS_PER_S)
        except msgspec.DecodeError as fault:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(fault))
        except AppendRefusedError as refusal:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=refusal.reason)
        except AppendOutcomeUnknownError as doubt:
            return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT, text=doubt.reason)
        return web.Response(text=str(self.appender.last_response_s))

    async def advise(self, body: bytes) -> web.Response:
        """Ask the advice from this VM."""
        try:
            passed = await self.advice.relay_call(body, ADVICE_WAIT_S)
        except CallUnansweredError as fault:
            return web.Response(status=HTTPStatus.BAD_GATEWAY, text=str(fault))
        return web.Response(status=passed.status, body=passed.body)


class PeerCalls:
    """Hands records to other entries over HTTP."""

    def __init__(self, calls: HttpClient) -> None:
        """Use the shared client."""
        self.calls = calls

    async def append_at(self, address: str, content: bytes, wait_s: float) -> float:
        """Let an entry store a record, and return how long the log took for its last append, in s."""
        url = f'http://{address}{APPEND_PATH}?{WAIT_FIELD}={int(wait_s * MS_PER_S)}'
        try:
            reply = await self.calls.post(url, content, wait_s + ROUND_TRIP_S)
        except CallUnansweredError as fault:
            if fault.was_sent:
                raise AppendOutcomeUnknownError(str(fault)) from fault
            raise AppendRefusedError(str(fault)) from fault
        if reply.status in REFUSED:
            raise AppendRefusedError(f'the leader answered {reply.status}')
        if reply.status != OK:
            raise AppendOutcomeUnknownError(f'the leader answered {reply.status}')
        return float(reply.body)
