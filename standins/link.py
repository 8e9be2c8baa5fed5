"""One proxied connection: the client socket, the server socket, and the flows between them."""

import asyncio
from collections.abc import Callable
from typing import Any

from standins.flow import END_OF_STREAM, LOST, Flow, FlowMode

__all__ = ('Endpoint', 'FlowModes', 'Link')

#: Modes of the flows to the server and to the client.
FlowModes = tuple[FlowMode, FlowMode]


class Endpoint(asyncio.Protocol):
    """One socket of a link.

    Attributes:
        outgoing: flow of the bytes received from this socket.
        incoming: flow of the bytes written to this socket.
        lost: whether the socket is closed or the attempt to connect it has failed.
    """

    def __init__(self, outgoing: Flow, incoming: Flow, on_lost: Callable[[], None]) -> None:
        """Store the flows, and the callback for the loss of the socket."""
        self.outgoing = outgoing
        self.incoming = incoming
        self.on_lost = on_lost
        self.lost = False

    def connection_made(self, transport: Any) -> None:
        """Attach the socket to both flows."""
        self.outgoing.source = transport
        self.incoming.connect(transport)

    def data_received(self, chunk: bytes) -> None:
        """Queue received bytes."""
        self.outgoing.push(chunk)

    def eof_received(self) -> bool:
        """Queue the end of the stream; the other direction stays open."""
        self.outgoing.push(END_OF_STREAM)
        return True

    def pause_writing(self) -> None:
        """Hold bytes while the write buffer of the socket is full."""
        self.incoming.mark_full(is_full=True)

    def resume_writing(self) -> None:
        """Resume the delivery of bytes."""
        self.incoming.mark_full(is_full=False)

    def connection_lost(self, error: Exception | None) -> None:
        """Queue the loss of the connection behind the bytes received before it."""
        self.lost = True
        self.outgoing.push(LOST)
        self.on_lost()


class Link:
    """A client connection and the one to the server, which is opened once bytes may pass to it.

    The loss of one socket is passed to the other in order with the bytes, so the modes can delay or
    discard it as well.

    Attributes:
        to_server: flow from the client to the server.
        to_client: flow from the server to the client.
        client: socket of the client.
        server: socket of the server.
    """

    def __init__(
        self,
        modes: FlowModes,
        delay_s: float,
        target: tuple[str, int],
        on_closed: Callable[['Link'], None],
    ) -> None:
        """Create the flows, and start to connect to the server if bytes may pass to it."""
        self.to_server = Flow(modes[0], delay_s, self.close_if_ended)
        self.to_client = Flow(modes[1], delay_s, self.close_if_ended)
        self.target = target
        self.on_closed = on_closed
        self.client = Endpoint(self.to_server, self.to_client, self.close_if_lost)
        self.server = Endpoint(self.to_client, self.to_server, self.close_if_lost)
        self.connecting: asyncio.Task[None] | None = None
        self.connect_if_open()

    def change(self, modes: FlowModes, delay_s: float) -> None:
        """Apply modes and delay; abort the link if a flow that lost bytes would have to deliver again."""
        for flow, mode in zip((self.to_server, self.to_client), modes, strict=True):
            flow.delay_s = delay_s
            flow.change_mode(mode)
            if flow.damaged and mode is FlowMode.deliver:
                self.abort()
        self.connect_if_open()

    def connect_if_open(self) -> None:
        """Start to connect to the server if bytes may pass to it and no attempt was made yet."""
        if self.to_server.mode is FlowMode.deliver and self.connecting is None:
            self.connecting = asyncio.create_task(self.connect())

    async def connect(self) -> None:
        """Connect to the server; a failure is reported to the client as a lost connection."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.server, *self.target)
        except OSError as error:
            self.server.connection_lost(error)

    def abort(self) -> None:
        """Close both sockets at once and discard the queued bytes."""
        if self.connecting is not None:
            self.connecting.cancel()
        self.to_server.abort()
        self.to_client.abort()
        self.on_closed(self)

    def close_if_ended(self) -> None:
        """Close both sockets when both streams have ended."""
        if self.to_server.ended and self.to_client.ended:
            for flow in (self.to_server, self.to_client):
                flow.sink.close()

    def close_if_lost(self) -> None:
        """Report the link as closed when both sockets are lost."""
        if self.client.lost and self.server.lost:
            self.on_closed(self)
