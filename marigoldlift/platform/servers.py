"""Servers of an entry: for the balancer, for other entries, and the listening itself."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from marigoldlift.platform.advice import ADVISE_PATH, PlatformAdvice
from marigoldlift.platform.calls import CallUnansweredError
from marigoldlift.platform.store_route import RELAY_PREFIX, StoreRoute

__all__ = ('Handler', 'PeerServer', 'listen', 'ready_handler', 'text_handler')

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
    host, _, port = address.rpartition(':')
    server = web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
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


class PeerServer:
    """Makes calls to the platform for other entries."""

    def __init__(self, route: StoreRoute, advice: PlatformAdvice) -> None:
        """Use this entry's ways to store and advice."""
        self.route = route
        self.advice = advice

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of another entry."""
        body = await request.read()
        if request.path.startswith(RELAY_PREFIX):
            path = request.path_qs.removeprefix(RELAY_PREFIX)
            passed = await self.route.pass_on(request.method, path, body, STORE_WAIT_S)
            return web.Response(status=passed.status, body=passed.body)
        if request.path == ADVISE_PATH:
            return await self.advise(body)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    async def advise(self, body: bytes) -> web.Response:
        """Ask the advice from this VM."""
        try:
            passed = await self.advice.pass_on(body, ADVICE_WAIT_S)
        except CallUnansweredError as fault:
            return web.Response(status=HTTPStatus.BAD_GATEWAY, text=str(fault))
        return web.Response(status=passed.status, body=passed.body)
