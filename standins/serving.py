"""HTTP server on loopback and helpers that all stand-ins share."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any, Protocol, TypeVar

import msgspec
from aiohttp import web

from standins.messages import Refusal

__all__ = (
    'HttpListener',
    'StandIn',
    'drop_connection',
    'json_answer',
    'loop_now',
    'merge',
    'pause_ms',
    'read_body',
    'running',
)

HOST = '127.0.0.1'
MS_PER_S = 1000
MAX_BODY_BYTES = 67_108_864
#: Long enough that the stand-in never closes an idle connection, which would be a fault that no test injected.
KEEPALIVE_S = 3600
#: Stand-ins do not drain: calls that are unanswered when one stops are aborted.
SHUTDOWN_S = 0.1

HTTP_BAD_REQUEST = 400

Body = TypeVar('Body')


class StandIn(Protocol):
    """A stand-in that can be started and stopped on the running event loop."""

    async def start(self) -> dict[str, str]:
        """Start to listen, and return `host:port` by name."""

    async def stop(self) -> None:
        """Close the listeners and all connections."""


@asynccontextmanager
async def running(stand_in: StandIn) -> AsyncIterator[dict[str, str]]:
    """Run a stand-in while the context is open; yields its addresses by name."""
    try:
        yield await stand_in.start()
    finally:
        await stand_in.stop()


class HttpListener:
    """One HTTP server on a loopback port.

    Attributes:
        address: `host:port`, empty before `start`.
    """

    def __init__(self, routes: Iterable[web.RouteDef], port: int = 0) -> None:
        """Create the server; port 0 requests a free port from the OS."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(routes)
        self.address = ''
        self.port = port
        self.runner = web.AppRunner(
            app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=SHUTDOWN_S,
        )

    async def start(self) -> str:
        """Start to listen, and return the address."""
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.port).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f'{host}:{port}'
        return self.address

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.runner.cleanup()

    def connections(self) -> list[web.RequestHandler]:
        """Return the open connections."""
        return [] if self.runner.server is None else self.runner.server.connections


def loop_now() -> float:
    """Return the time of the event loop in seconds; all processes of a machine share this clock."""
    return asyncio.get_running_loop().time()


async def pause_ms(delay_ms: float) -> None:
    """Sleep; a delay of 0 returns without yielding to the event loop."""
    if delay_ms:
        await asyncio.sleep(delay_ms / MS_PER_S)


async def read_body(request: web.Request, body_type: type[Body]) -> Body:
    """Decode a JSON body; an invalid body is answered with 400."""
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise bad_request(error) from error


async def merge(request: web.Request, current: Body) -> Body:
    """Return `current` with the fields of a JSON body replaced; an invalid body is answered with 400."""
    changes = await read_body(request, dict[str, Any])
    try:
        return msgspec.convert(msgspec.to_builtins(current) | changes, type(current))
    except msgspec.ValidationError as error:
        raise bad_request(error) from error


def bad_request(error: Exception) -> web.HTTPBadRequest:
    """Return a 400 answer with the error as its reason."""
    refusal = Refusal('invalid', str(error))
    return web.HTTPBadRequest(
        text=msgspec.json.encode(refusal).decode(),
        content_type='application/json',
    )


def json_answer(content: Any, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type='application/json',
    )


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection without an answer; the returned response is never sent."""
    if request.transport is not None:
        request.transport.close()
    return web.Response()
