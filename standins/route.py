"""One route of the proxy: a listening port, its target, and the links between them."""

import asyncio
import socket
from types import MappingProxyType

import msgspec

from standins.flow import FlowMode
from standins.link import Endpoint, Link
from standins.messages import RouteMode, RouteSettings, RouteView
from standins.serving import HOST, MS_PER_S

__all__ = ('Route', 'parse_target')

#: Modes of the flows to the server and to the client; a cut route has no links.
FLOW_MODES = MappingProxyType(
    {
        RouteMode.pass_through: (FlowMode.deliver, FlowMode.deliver),
        RouteMode.freeze: (FlowMode.hold, FlowMode.hold),
        RouteMode.half_open: (FlowMode.deliver, FlowMode.lose),
        RouteMode.to_server_only: (FlowMode.deliver, FlowMode.hold),
        RouteMode.to_client_only: (FlowMode.hold, FlowMode.deliver),
    }
)


class Route:
    """Forwards connections from one loopback port to a target.

    Attributes:
        view: current target, mode and delay.
        address: `host:port`, empty before `start`.
        links: open links.
        changing: lock held during a change, so that concurrent changes do not both open the listener.
    """

    def __init__(self, settings: RouteSettings) -> None:
        """Validate and store the settings.

        Raises:
            ValueError: the target is not on loopback.
        """
        parse_target(settings.target)
        self.view = RouteView(settings.target, settings.mode, settings.delay_ms)
        self.port = settings.port
        self.address = ''
        self.links: set[Link] = set()
        self.reserved: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.changing = asyncio.Lock()

    async def start(self) -> str:
        """Reserve the port and listen on it unless the route is cut; return the address."""
        self.reserved = bind(self.port)
        self.port = self.reserved.getsockname()[1]
        self.address = f'{HOST}:{self.port}'
        await self.listen_or_cut()
        return self.address

    async def stop(self) -> None:
        """Close the listener and all links."""
        self.close()
        if self.reserved is not None:
            self.reserved.close()

    async def change(self, **changes: object) -> RouteView:
        """Change `mode`, `delay_ms` or `target`, and return the resulting settings.

        Raises:
            ValueError: the target is not on loopback.
        """
        view = msgspec.structs.replace(self.view, **changes)
        parse_target(view.target)
        async with self.changing:
            self.view = view
            await self.listen_or_cut()
        return self.view

    async def listen_or_cut(self) -> None:
        """Apply the current mode and delay to the listener and the links."""
        if self.view.mode is RouteMode.cut:
            self.close()
            return
        for link in tuple(self.links):
            link.change(FLOW_MODES[self.view.mode], self.view.delay_ms / MS_PER_S)
        if self.server is None:
            listening = bind(self.port)
            self.server = await asyncio.get_running_loop().create_server(
                self.accept,
                sock=listening,
            )

    def accept(self) -> Endpoint:
        """Create a link for a new connection."""
        link = Link(
            FLOW_MODES[self.view.mode],
            self.view.delay_ms / MS_PER_S,
            parse_target(self.view.target),
            self.links.discard,
        )
        self.links.add(link)
        return link.client

    def close(self) -> None:
        """Close the listener and all links; the port stays reserved."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for link in tuple(self.links):
            link.abort()


def bind(port: int) -> socket.socket:
    """Return a bound socket that does not listen.

    Two sockets of a route share its port. One of them never listens and only reserves the port: while
    the listening socket is closed, connections are refused and no other process can bind the port.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind((HOST, port))
    return bound


def parse_target(target: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        ValueError: the port is not a number, or the host is not the loopback address.
    """
    host, _, port = target.rpartition(':')
    if host != HOST:
        raise ValueError(f'{target} is not on {HOST}')
    return host, int(port)
