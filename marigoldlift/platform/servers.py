"""HTTP servers of an entry, for callers, the balancer and other entries, and the client for those of other entries."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    MalformedMessageError,
)
from marigoldlift.platform.advice import ADVISE_PATH, PlatformAdvice
from marigoldlift.platform.draining_server import DrainingServer
from marigoldlift.platform.calls import CallUnansweredError, HttpClient, Reply
from marigoldlift.platform.placement_requests import PlacementRequests
from marigoldlift.platform.store_route import RELAY_PREFIX, StoreRoute
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.explanation import PLACEMENT_PATH
from marigoldlift.submissions.record_codec import decode_record

__all__ = (
    'DrainingServer',
    'Handler',
    'PeerCalls',
    'PeerRequestHandler',
    'PlacementRequests',
    'listen',
    'listen_draining',
    'ready_handler',
    'text_handler',
)

#: Path under which an entry appends a record for another one, and the query fields with that one's longest wait and
#: how much longer it waits for a record that may be stored already, in ms.
APPEND_PATH = '/append'
WAIT_FIELD = 'wait_ms'
DOUBT_FIELD = 'doubt_ms'

#: Added to these waits for the network round trip, in s.
ROUND_TRIP_S = 0.2

MS_PER_S = 1000

OK = 200

#: Statuses with which another entry says that it has not stored a record and will not store it later.
REFUSED_STATUSES = frozenset((400, 404, 503))

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

#: Timeout of a call to the store on behalf of another entry, in s; a read may wait for 1 s.
STORE_WAIT_S = 2.0

#: Timeout of a call to the advice on behalf of another entry, in s; the advice serves the calls of one VM in turn.
ADVICE_WAIT_S = 10.0

#: How long an idle connection is kept open, in s.
KEEP_ALIVE_S = 60

#: Connections that may wait to be accepted; a full queue delays callers by seconds.
BACKLOG = 512


async def listen(address: str, handler: Handler) -> asyncio.Server:
    """Serve HTTP on one address."""
    return await bind(
        address, web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
    )


async def listen_draining(address: str, handler: Handler) -> DrainingServer:
    """Serve HTTP on one address with a server that can be shut down gracefully."""
    server = DrainingServer(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
    server.listener = await bind(address, server)
    return server


async def bind(address: str, server: web.Server) -> asyncio.Server:
    """Start to accept connections for a server on an address of the form IP:PORT."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, int(port), backlog=BACKLOG)


def ready_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler for the balancer's readiness checks: 200 if the entry is ready, else 503."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:  # noqa: WPS430 the state is one callable
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    return handle


def text_handler(render: Callable[[], str]) -> Handler:
    """Return a handler that answers each request with newly rendered text."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:  # noqa: WPS430 the state is one callable
        return web.Response(text=render())

    return handle


class PeerRequestHandler:
    """Handles requests of other entries: calls to the store and the advice on their behalf, and appends of records.

    Attributes:
        route: route to the store.
        advice: client for the placement advice.
        appender: appends records to the log in batches.
        was_away: returns whether requests may have waited in this entry's sockets while it was paused.
        leaving: whether the entry is about to stop; answers then close their connection so that other entries
            do not use it again.
        explain: answers where a submission would be placed; the entry sets it before it serves.
    """

    explain: Callable[[bytes], Awaitable[web.Response]]

    def __init__(
        self,
        route: StoreRoute,
        advice: PlatformAdvice,
        appender: Appender,
        was_away: Callable[[], bool],
    ) -> None:
        """Use this entry's own route to the store, its advice client and its appender."""
        self.route = route
        self.was_away = was_away
        self.advice = advice
        self.appender = appender
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of another entry."""
        response = await self.answer(request)
        if self.leaving:
            response.force_close()
        return response

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Dispatch a request by its path; refuse records that may have waited while this entry was paused."""
        body = await request.read()
        if request.method == 'POST' and request.path != ADVISE_PATH and self.was_away():
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if request.path.startswith(RELAY_PREFIX):
            path = request.path_qs.removeprefix(RELAY_PREFIX)
            relayed = await self.route.relay_call(request.method, path, body, STORE_WAIT_S)
            return web.Response(status=relayed.status, body=relayed.body)
        if request.path == ADVISE_PATH:
            return await self.advise(body)
        if request.path == APPEND_PATH:
            return await self.append(
                body, request.query.get(WAIT_FIELD, ''), request.query.get(DOUBT_FIELD, '0')
            )
        if request.path == PLACEMENT_PATH:
            return await self.explain(body)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    async def append(self, body: bytes, wait_ms: str, doubt_ms: str) -> web.Response:
        """Append a record of another entry together with this entry's own records.

        Answers 400 or 503 if the record is not stored, 504 if the outcome is unknown, and else 200 with the response
        time of the log's last append, in s.
        """
        if not all(part.isascii() and part.isdigit() for part in (wait_ms, doubt_ms)):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        try:
            record = decode_record(body)
            await self.appender.append(record, int(wait_ms) / MS_PER_S, int(doubt_ms) / MS_PER_S)
        except MalformedMessageError as fault:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(fault))
        except AppendRefusedError as refusal:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=refusal.reason)
        except AppendOutcomeUnknownError as unknown:
            return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT, text=unknown.reason)
        return web.Response(text=str(self.appender.last_response_s))

    async def advise(self, body: bytes) -> web.Response:
        """Call the advice on behalf of another entry; answer 502 if the advice does not answer."""
        try:
            relayed = await self.advice.relay_call(body, ADVICE_WAIT_S)
        except CallUnansweredError as fault:
            return web.Response(status=HTTPStatus.BAD_GATEWAY, text=str(fault))
        return web.Response(status=relayed.status, body=relayed.body)


class PeerCalls:
    """Sends records to other entries over HTTP."""

    def __init__(self, calls: HttpClient) -> None:
        """Use the shared client."""
        self.calls = calls

    async def append_at(
        self, address: str, content: bytes, wait_s: float, doubt_s: float
    ) -> float:
        """Send a record to the entry at an address, which appends it to the log.

        Args:
            address: address of the other entry.
            content: encoded record.
            wait_s: longest wait of the other entry for the log, in s.
            doubt_s: how much longer it waits if the record may be stored already, in s.

        Returns:
            Response time of the log's last append by the other entry, in s.

        Raises:
            AppendRefusedError: the record is not stored.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """
        fields = f'{WAIT_FIELD}={int(wait_s * MS_PER_S)}&{DOUBT_FIELD}={int(doubt_s * MS_PER_S)}'
        url = f'http://{address}{APPEND_PATH}?{fields}'
        try:
            reply = await self.calls.post(url, content, wait_s + doubt_s + ROUND_TRIP_S)
        except CallUnansweredError as fault:
            if fault.was_sent:
                raise AppendOutcomeUnknownError(str(fault)) from fault
            raise AppendRefusedError(str(fault)) from fault
        if reply.status in REFUSED_STATUSES:
            raise AppendRefusedError(f'the leader answered {reply.status}')
        if reply.status != OK:
            raise AppendOutcomeUnknownError(f'the leader answered {reply.status}')
        return parse_response_time(reply)


def parse_response_time(reply: Reply) -> float:
    """Return the response time in an answer of the leader, in s.

    Raises:
        AppendOutcomeUnknownError: the body is no number, so it is not the answer of an entry that stored the record.
    """
    try:
        return float(reply.body)
    except ValueError as fault:
        raise AppendOutcomeUnknownError(f'answer of the leader cannot be read: {fault}') from fault
