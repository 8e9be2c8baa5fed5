"""HTTP server with graceful shutdown: each request that was read is answered before its connection is closed."""

import asyncio
import contextlib

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from marigoldlift.util import loop_now

__all__ = ('DrainingServer', 'TrackedConnection', 'has_pipelined_request')

#: How long an entry keeps serving after a stop request, in s; the balancer needs two failed checks of 1 s each.
SERVE_AFTER_STOP_S = 3.0

#: Part of the grace time reserved for requests that are still in progress after that, in s: a caller waits for the
#: store for at most 1.2 s.
PENDING_REQUESTS_S = 1.5

#: Part of the grace time reserved for the exit of the process, in s: it has to exit before SIGKILL comes.
EXIT_RESERVE_S = 0.5

#: Pause between two checks of the connections that are left, in s.
POLL_INTERVAL_S = 0.02


class TrackedConnection(RequestHandler):
    """One connection that exposes whether requests are waiting on it."""

    __slots__ = ()

    def is_idle(self) -> bool:
        """Return whether every request that was read is answered; answers may still be in the send buffer."""
        return self._waiter is not None and not self._waiter.done()

    def has_next_request(self) -> bool:
        """Return whether another request was read after the one that is being answered."""
        return bool(self._messages)


class DrainingServer(web.Server):
    """Serves the connections of callers or of other entries, and closes them when the entry stops.

    Attributes:
        listener: accepts new connections; set once the server listens.
    """

    listener: asyncio.Server

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return TrackedConnection(self, loop=self._loop, **self._kwargs)

    async def drain(self, grace_s: float) -> float:
        """Serve until callers use other entries, then answer the requests that were read and close all connections.

        New connections are refused after a fixed time. Otherwise callers that keep connecting would delay the stop
        until the process is killed, with their requests unanswered.

        Args:
            grace_s: time from the stop request until the process is killed, in s.

        Returns:
            Time of the event loop's clock at which the requests left on other servers have to be cut off.
        """
        deadline = loop_now() + grace_s - EXIT_RESERVE_S
        await asyncio.sleep(
            min(SERVE_AFTER_STOP_S, max(0, grace_s - EXIT_RESERVE_S - PENDING_REQUESTS_S))
        )
        await self.close_gracefully(deadline)
        return deadline

    async def close_gracefully(self, deadline: float) -> None:
        """Refuse new connections, answer the requests that were read, and close all connections.

        Args:
            deadline: time of the event loop's clock at which unanswered requests are cut off.
        """
        started_at = loop_now()
        self.listener.close()
        opened = len(self.connections)
        busy = opened - sum(map(is_idle, self.connections))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self.close_idle_connections()
        took_s = loop_now() - started_at
        cut = len(self.connections)
        logger.info('drained: took_s={:.3f} open={} busy={} cut={}', took_s, opened, busy, cut)

    async def close_idle_connections(self) -> None:
        """Close idle connections until none is left and all answers are sent.

        A connection is closed once two checks in a row find it idle, because at the first check a request may have
        arrived that is not read yet.
        """
        idle: set[RequestHandler] = set()
        await asyncio.sleep(POLL_INTERVAL_S)
        while self.connections:
            still_idle = set(filter(is_idle, self.connections))
            for connection in idle & still_idle:
                connection.force_close()
            idle = still_idle
            await asyncio.sleep(POLL_INTERVAL_S)


def is_idle(connection: RequestHandler) -> bool:
    """Return whether every request that was read on a connection is answered."""
    return isinstance(connection, TrackedConnection) and connection.is_idle()


def has_pipelined_request(request: web.BaseRequest) -> bool:
    """Return whether another request was read after this one on its connection."""
    connection = request.protocol
    return isinstance(connection, TrackedConnection) and connection.has_next_request()
