"""HTTP server that stops in order: each request that was read gets its answer first."""

import asyncio
import contextlib

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from marigoldlift.util import loop_now

__all__ = ('DrainingServer', 'TrackedConnection', 'has_pipelined_request')

#: How long an entry goes on serving after it was asked to stop, in s; the balancer needs two misses of 1 s.
SERVE_S = 3.0

#: Part of the grace time that is kept for requests still under way after that, in s: a caller waits for the store for
#: 1.2 s at most.
PENDING_REQUESTS_S = 1.5

#: Part of the grace time that is kept for the end of the process, in s: SIGKILL must not come before it.
EXIT_S = 0.5

#: Pause between two looks at the connections that are left, in s.
POLL_INTERVAL_S = 0.02


class TrackedConnection(RequestHandler):
    """One connection; it tells whether requests wait on it."""

    __slots__ = ()

    def is_idle(self) -> bool:
        """Tell whether every request that was read is answered; the answers may still be on their way."""
        return self._waiter is not None and not self._waiter.done()

    def has_next_request(self) -> bool:
        """Tell whether another request was read behind the one that is answered now."""
        return bool(self._messages)


class DrainingServer(web.Server):
    """Makes the connections of callers or of other entries, and closes them when the entry stops.

    Attributes:
        listener: takes new connections; set once the server listens.
    """

    listener: asyncio.Server

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return TrackedConnection(self, loop=self._loop, **self._kwargs)

    async def drain(self, grace_s: float) -> float:
        """Serve until callers have gone elsewhere, then answer what was read and close all connections.

        New connections end after a fixed time, since callers who keep coming would hold up the stop until the process
        is killed with their requests under way.

        Args:
            grace_s: time from the request to stop until the process is killed.

        Returns:
            Time of the loop's clock at which requests that are still under way elsewhere have to be cut.
        """
        until = loop_now() + grace_s - EXIT_S
        await asyncio.sleep(min(SERVE_S, max(0, grace_s - EXIT_S - PENDING_REQUESTS_S)))
        await self.close_gracefully(until)
        return until

    async def close_gracefully(self, until: float) -> None:
        """Take no new connections, answer what was read, and close all connections.

        Args:
            until: time of the loop's clock at which requests are cut.
        """
        began_at = loop_now()
        self.listener.close()
        opened = len(self.connections)
        busy = opened - sum(map(is_idle, self.connections))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await self.close_idle_connections()
        took_s = loop_now() - began_at
        cut = len(self.connections)
        logger.info('drained: took_s={:.3f} open={} busy={} cut={}', took_s, opened, busy, cut)

    async def close_idle_connections(self) -> None:
        """Close connections that stay idle, until none is left and all answers are sent.

        A connection is closed at the second look that finds it idle, since a request may be there that is not read yet.
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
    """Tell whether every request that was read on a connection is answered."""
    return isinstance(connection, TrackedConnection) and connection.is_idle()


def has_pipelined_request(request: web.BaseRequest) -> bool:
    """Tell whether another request was read behind this one on its connection."""
    connection = request.protocol
    return isinstance(connection, TrackedConnection) and connection.has_next_request()
