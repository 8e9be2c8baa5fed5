"""gRPC methods between entries, and the server that dispatches their calls."""

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from socket import socket
from types import MappingProxyType
from typing import Any, Final, NamedTuple, TypeAlias

from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream
from loguru import logger

from marigoldlift.peers import messages
from marigoldlift.peers.codec import MsgpackCodec

__all__ = ('METHODS', 'Method', 'PeerHandlers', 'PeerServer', 'method_path')


class Method(NamedTuple):
    """Request and reply type of a unary method."""

    request: type
    reply: type


METHODS: Final = MappingProxyType(
    {
        'Heartbeat': Method(messages.Heartbeat, messages.Heartbeat),
        'Execute': Method(messages.ExecuteRequest, messages.ExecuteReply),
        'Submit': Method(messages.SubmitRequest, messages.ExecuteReply),
        'Cancel': Method(messages.CancelRequest, messages.ExecuteReply),
        'Query': Method(messages.QueryRequest, messages.QueryReply),
        'ListJobs': Method(messages.ListJobsRequest, messages.ListJobsReply),
        'Reserve': Method(messages.ReserveRequest, messages.ReserveReply),
        'Release': Method(messages.ReleaseReservation, messages.Empty),
        'ReadRecords': Method(messages.RecordsRequest, messages.RecordsReply),
        'ReadSnapshot': Method(messages.SnapshotRequest, messages.SnapshotReply),
        'ReadSpans': Method(messages.SpansRequest, messages.SpansReply),
    }
)

#: Methods that do work for callers. A graceful stop waits for their calls, because closing the server cancels them.
WORK_METHODS = ('Execute', 'Submit', 'Cancel', 'Query')

#: Coroutine function that handles each method of `METHODS`, by the method's name.
PeerHandlers: TypeAlias = dict[str, Callable[[Any], Awaitable[Any]]]


def method_path(name: str) -> str:
    """Return the HTTP/2 path of a method."""
    return f'/marigoldlift.Peer/{name}'


class PeerServer:
    """gRPC server of one entry.

    Attributes:
        active: number of calls in progress, by method.
    """

    def __init__(self, handlers: PeerHandlers) -> None:
        """Create the server with one handler for each method.

        Raises:
            KeyError: a method has no handler.
        """
        self.handlers = {name: handlers[name] for name in METHODS}
        self.server = Server([self], codec=MsgpackCodec())
        self.active: Counter[str] = Counter()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by HTTP/2 path, as grpclib requires of a service."""
        return {
            method_path(name): Handler(
                partial(self.dispatch, name),
                Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
            for name, method in METHODS.items()
        }

    async def dispatch(self, name: str, stream: Stream) -> None:
        """Receive the request of a call, run its handler and send the reply."""
        request = await stream.recv_message()
        self.active[name] += 1
        try:
            await stream.send_message(await self.handlers[name](request))
        except Exception:
            logger.exception('handler of a peer call failed', method=name)
            raise
        finally:
            self.active[name] -= 1

    def in_progress(self) -> int:
        """Return the number of calls of `WORK_METHODS` in progress, which a graceful stop waits for."""
        return sum(self.active[name] for name in WORK_METHODS)

    async def start(self, listener: socket) -> None:
        """Start to serve on a bound socket."""
        await self.server.start(sock=listener)

    async def stop(self) -> None:
        """Close the listener and cancel the calls in progress."""
        self.server.close()
        await self.server.wait_closed()
