"""HTTP server for callers that stops in order: each request that was read gets its answer first."""

import asyncio
import contextlib

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from marigoldlift.util import loop_now

__all__ = ('CallerConnection', 'CallerServer', 'more_follow')

#: How long an entry goes on serving after it was asked to stop, in s; the balancer needs two misses of 1 s.
SERVE_S = 3.0

#: Part of the grace time that is kept for requests still under way after that, in s: a caller waits for the store for
#: 1.2 s at most.
ANSWERS_S = 1.5

#: Part of the grace time that is kept for the end of the process, in s: SIGKILL must not come before it.
EXIT_S = 0.5

#: Pause between two looks at the connections that are left, in s.
TICK_S = 0.02


class CallerConnection(RequestHandler):
    """One connection; it tells whether requests wait on it."""

    __slots__ = ()

    def is_idle(self) -> bool:
        """Tell whether every request that was read is answered; the answers may still be on their way."""
        return self._waiter is not None and not self._waiter.done()

    def has_more(self) -> bool:
        """Tell whether another request was read behind the one that is answered now."""
        return bool(self._messages)


class CallerServer(web.Server):
    """Makes the connections and closes them when the entry stops.

    Attributes:
        listener: takes new connections; set once the server listens.
    """

    listener: asyncio.Server

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    async def drain(self, grace_s: float) -> None:
        """Serve until callers have gone elsewhere, then answer what was read and close all connections.

        New connections end after a fixed time, since callers who keep coming would hold up the stop until the process
        is killed with their requests under way.

        Args:
            grace_s: time from the request to stop until the process is killed.
        """
        asked_at = loop_now()
        await asyncio.sleep(min(SERVE_S, max(0, grace_s - EXIT_S - ANSWERS_S)))
        self.listener.close()
        opened = len(self.connections)
        busy = opened - sum(map(is_idle, self.connections))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asked_at + grace_s - EXIT_S):
                await self.close_all()
        took_s = loop_now() - asked_at
        cut = len(self.connections)
        logger.info('drained: took_s={:.3f} open={} busy={} cut={}', took_s, opened, busy, cut)

    async def close_all(self) -> None:
        """Close connections that stay idle, until none is left and all answers are sent.

        A connection is closed at the second look that finds it idle, since a request may be there that is not read yet.
        """
        idle: set[RequestHandler] = set()
        await asyncio.sleep(TICK_S)
        while self.connections:
            still_idle = set(filter(is_idle, self.connections))
            for connection in idle & still_idle:
                connection.force_close()
            idle = still_idle
            await asyncio.sleep(TICK_S)


def is_idle(connection: RequestHandler) -> bool:
    """Tell whether every request that was read on a connection is answered."""
    return isinstance(connection, CallerConnection) and connection.is_idle()


def more_follow(request: web.BaseRequest) -> bool:
    """Tell whether another request was read behind this one on its connection."""
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.has_more()
