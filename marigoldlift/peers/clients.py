"""gRPC client for calls to other entries, with one channel for each peer."""

import asyncio
from typing import Any

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from marigoldlift.errors import PeerUnavailableError
from marigoldlift.peers.codec import MsgpackCodec
from marigoldlift.peers.service import METHODS, method_path
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('PeerClients',)

#: Longest time for opening a connection, in seconds; after it the peer counts as unreachable.
CONNECT_TIMEOUT_S = 1.0

#: HTTP/2 flow control window of a connection, in bytes; large enough that a snapshot of a stream does not stall.
WINDOW_BYTES = 1048576

#: Errors after which it is unknown whether the peer handled the call.
LOST_CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
)


class PeerClients:
    """Calls other entries by address; a channel is created on first use."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the clients without any channel."""
        self.metrics = metrics
        self.channels: dict[str, Channel] = {}
        self.codec = MsgpackCodec()

    async def call(self, address: str, name: str, request: Any, timeout_s: float) -> Any:
        """Call a method of a peer.

        Args:
            address: `host:port` of the peer.
            name: a name of `METHODS`.
            request: message of the method's request type.
            timeout_s: longest time to wait for the reply, in seconds; opening a connection before that
                takes up to `CONNECT_TIMEOUT_S` more, but no longer than `timeout_s`.

        Raises:
            PeerUnavailableError: no reply; `may_have_run` is false if no connection could be opened.
        """
        started_s = loop_now()
        try:
            reply = await self.exchange(address, name, request, timeout_s)
        except PeerUnavailableError as error:
            self.metrics.add(Metric.peer_errors, code=error.code)
            raise
        self.metrics.observe(Metric.peer_call, loop_now() - started_s, method=name)
        return reply

    async def exchange(self, address: str, name: str, request: Any, timeout_s: float) -> Any:
        """Connect if necessary, send the request and wait for the reply.

        Raises:
            PeerUnavailableError: as for `call`.
        """
        channel = self.channel(address)
        await self.connect(channel, address, min(timeout_s, CONNECT_TIMEOUT_S))
        method = METHODS[name]
        caller: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            channel,
            method_path(name),
            method.request,
            method.reply,
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await caller(request)
        except LOST_CALL_ERRORS as error:
            reason = f'{name} at {address}: {error!r}'
            raise PeerUnavailableError(reason, may_have_run=True) from error

    async def connect(self, channel: Channel, address: str, timeout_s: float) -> None:
        """Open the connection of a channel if it has none; nothing is sent yet.

        Raises:
            PeerUnavailableError: the connection could not be opened; nothing was sent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await channel.__connect__()
        except (TimeoutError, OSError) as error:
            reason = f'no connection to {address}: {error!r}'
            raise PeerUnavailableError(reason, may_have_run=False) from error

    def channel(self, address: str) -> Channel:
        """Return the channel of an address; create it if there is none."""
        known = self.channels.get(address)
        if known is None:
            host, _, port = address.rpartition(':')
            config = Configuration(http2_connection_window_size=WINDOW_BYTES)
            known = Channel(host, int(port), codec=self.codec, config=config)
            self.channels[address] = known
        return known

    def reset(self, address: str) -> None:
        """Close the connection to a peer; calls in progress on it raise `PeerUnavailableError`.

        Called after missed heartbeats, because TCP alone does not detect a half-open connection.
        """
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all connections."""
        for address in tuple(self.channels):
            self.reset(address)
