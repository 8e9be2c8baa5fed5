"""Reads of streams from the replicas of other entries, for an entry that cannot reach the log."""

import asyncio
from collections.abc import Mapping
from typing import Any

from marigoldlift.errors import PeerUnavailableError
from marigoldlift.ids import Offset, StreamId
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.state import StreamSnapshot
from marigoldlift.membership.table import MemberTable
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.messages import (
    RecordsReply,
    RecordsRequest,
    SnapshotReply,
    SnapshotRequest,
)
from marigoldlift.platform.messages import RecordPage

__all__ = ('MemberRelay', 'RelayHandlers')

#: Longest time to wait for the reply of a peer, in seconds.
CALL_TIMEOUT_S = 2.0

#: Most peers called for one read; those with the highest applied offsets suffice.
MAX_PEERS = 3


class MemberRelay:
    """Reads a stream from the members with the highest applied offsets of it."""

    def __init__(self, members: MemberTable, clients: PeerClients) -> None:
        """Create the relay."""
        self.members = members
        self.clients = clients

    async def read_records(self, stream: StreamId, first: Offset, limit: int) -> RecordPage:
        """Return the page with the highest `next` offset of those that the peers returned.

        Raises:
            PeerUnavailableError: no peer replied.
        """
        replies = await self.ask(stream, 'ReadRecords', RecordsRequest(stream, first, limit))
        best: RecordsReply = max(replies, key=lambda reply: reply.next)
        return RecordPage(best.oldest, best.next, best.records)

    async def read_snapshot(self, stream: StreamId) -> StreamSnapshot | None:
        """Return the newest snapshot of any peer, None when no peer has one.

        Raises:
            PeerUnavailableError: no peer replied.
        """
        replies = await self.ask(stream, 'ReadSnapshot', SnapshotRequest(stream))
        best: SnapshotReply = max(replies, key=lambda reply: reply.as_of)
        return StreamSnapshot(best.as_of, best.body) if best.as_of else None

    async def ask(self, stream: StreamId, name: str, request: Any) -> list[Any]:
        """Call up to `MAX_PEERS` members at once and return the replies that arrived.

        Raises:
            PeerUnavailableError: none replied.
        """
        answers = await asyncio.gather(
            *(
                self.clients.call(address, name, request, CALL_TIMEOUT_S)
                for address in self.best_addresses(stream)
            ),
            return_exceptions=True,
        )
        replies = [answer for answer in answers if not isinstance(answer, BaseException)]
        if not replies:
            raise PeerUnavailableError(f'no peer has stream {stream}', may_have_run=False)
        return replies

    def best_addresses(self, stream: StreamId) -> list[str]:
        """Return the addresses of up to `MAX_PEERS` members that replicate a stream.

        They are in descending order of their applied offset.
        """
        replicating = [
            member.heartbeat
            for member in self.members.members.values()
            if stream in member.heartbeat.applied
        ]
        replicating.sort(key=lambda heartbeat: heartbeat.applied[stream], reverse=True)
        return [heartbeat.address for heartbeat in replicating[:MAX_PEERS]]


class RelayHandlers:
    """Serves reads of other entries from this entry's replicas."""

    def __init__(self, replicas: Mapping[StreamId, StreamReplica]) -> None:
        """Create the handlers of the replicas by stream."""
        self.replicas = replicas

    async def read_records(self, request: RecordsRequest) -> RecordsReply:
        """Return records that the replica keeps in memory; none if the stream is not replicated here."""
        replica = self.replicas.get(request.stream)
        if replica is None:
            return RecordsReply(Offset(1), Offset(1), [])
        page = replica.tail(request.first, request.limit)
        return RecordsReply(page.oldest, page.next, page.records)

    async def read_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Return a snapshot of the complete state; offset 0 until this entry's replica has caught up."""
        replica = self.replicas.get(request.stream)
        if replica is None or not replica.caught_up:
            return SnapshotReply(Offset(0), b'')
        snapshot = replica.snapshot()
        return SnapshotReply(snapshot.as_of, snapshot.body)
