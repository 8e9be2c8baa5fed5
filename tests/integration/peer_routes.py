"""Routes of the connections between entries, which a test may cut, and of counted requests."""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from standins.link import Endpoint
from standins.messages import RouteMode, RouteSettings
from standins.route import Route
from standins.serving import HOST

__all__ = ('CountedRoute', 'PeerListener')


class Arrival(asyncio.Protocol):
    """New connection to an entry, until it is known which failure domain it comes from."""

    def __init__(self, listener: 'PeerListener') -> None:
        """Keep the listener."""
        self.listener = listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to the route of its caller; a cut route aborts it."""
        accepted = cast(asyncio.Transport, transport)
        route = self.listener.route_from(
            accepted.get_extra_info('peername')[1],
            accepted.get_extra_info('sockname')[1],
        )
        if route is None or route.view.mode is RouteMode.cut:
            accepted.abort()
            return
        endpoint: Endpoint = route.accept()
        accepted.set_protocol(endpoint)
        endpoint.connection_made(accepted)


class PeerListener:
    """Address at which other entries reach one entry, with a route for each calling domain.

    Attributes:
        routes: route by the failure domain of the caller.
        caller_of: returns the failure domain whose entry opened the connection between a local and
            a remote port, None for none.
    """

    def __init__(
        self,
        domains: Iterable[str],
        target: str,
        caller_of: Callable[[int, int], str | None],
    ) -> None:
        """Make the routes to `target`."""
        self.routes = {domain: Route(RouteSettings(target)) for domain in domains}
        self.caller_of = caller_of
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen, and return the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Arrival(self), HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        return f'{HOST}:{port}'

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        await asyncio.gather(*(route.stop() for route in self.routes.values()))

    def route_from(self, local_port: int, remote_port: int) -> Route | None:
        """Return the route of the entry that opened the connection between two ports."""
        caller = self.caller_of(local_port, remote_port)
        return None if caller is None else self.routes[caller]


class CountedRoute(Route):
    """Route that counts what clients send, in which each small request is one chunk.

    Attributes:
        requests: chunks so far.
    """

    def __init__(self, settings: RouteSettings) -> None:
        """Take the settings."""
        super().__init__(settings)
        self.requests = 0

    def accept(self) -> Endpoint:
        """Make a link whose chunks from the client are counted."""
        endpoint = super().accept()
        pass_on = endpoint.data_received

        def count(chunk: bytes) -> None:
            self.requests += 1
            pass_on(chunk)

        endpoint.data_received = count
        return endpoint
