"""Forwarding of requests to other entries."""

from collections.abc import Iterable
from contextlib import ExitStack

import msgspec

from marigoldlift.ids import FailureDomain
from marigoldlift.membership.table import Member, MemberTable
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.messages import ExecuteReply, ExecuteRequest
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import MS_PER_S, loop_now

__all__ = ('PeerForwarder',)

#: Time for the answer to come back after the deadline that the peer keeps to, in seconds.
ANSWER_MARGIN_S = 0.25


class PeerForwarder:
    """Chooses a peer and forwards to it."""

    def __init__(self, members: MemberTable, clients: PeerClients, tracing: Tracing) -> None:
        """Keep the collaborators."""
        self.members = members
        self.clients = clients
        self.tracing = tracing

    def spare_peer(self, *, anywhere: bool) -> Member | None:
        """Return the peer with most spare slots, of the own failure domain first.

        Args:
            anywhere: whether other failure domains may run it too.
        """
        now_s = loop_now()
        own = with_most_slots(self.members.ready_in(self.members.failure_domain, now_s))
        if own is not None or not anywhere:
            return own
        return with_most_slots(self.members.ready_elsewhere(now_s))

    def home_peers(self, home: FailureDomain) -> list[Member]:
        """Return the ready peers of a failure domain, the one with most spare slots first."""
        ready = self.members.ready_in(home, loop_now())
        return sorted(ready, key=spare_slots, reverse=True)

    async def execute(
        self,
        member: Member,
        request: ExecuteRequest,
        deadline_s: float,
        *,
        queue: bool = False,
    ) -> ExecuteReply:
        """Forward a request, which the peer runs at once unless it shall `queue` it.

        Raises:
            PeerUnavailableError: no answer.
        """
        with ExitStack() as cleanup:
            member.forwarded += 1
            cleanup.callback(member.take_back)
            return await self.send(member, request, deadline_s, queue=queue)

    async def send(
        self,
        member: Member,
        request: ExecuteRequest,
        deadline_s: float,
        *,
        queue: bool,
    ) -> ExecuteReply:
        """Send a request with one more hop.

        Raises:
            PeerUnavailableError: no answer.
        """
        left_s = max(deadline_s - loop_now(), 0)
        with self.tracing.span(
            'forward',
            parent=request.traceparent,
            member=member.vm_id,
        ) as span:
            forwarded = msgspec.structs.replace(
                request,
                hops=request.hops + 1,
                queue=queue,
                deadline_ms=int(left_s * MS_PER_S),
                traceparent=span.traceparent,
            )
            return await self.clients.call(
                member.heartbeat.address,
                'Execute',
                forwarded,
                left_s + ANSWER_MARGIN_S,
            )


def spare_slots(member: Member) -> int:
    """Return the spare slots of a member."""
    return member.spare_slots


def with_most_slots(members: Iterable[Member]) -> Member | None:
    """Return the member with most spare slots, None when none has any."""
    best = max(members, key=spare_slots, default=None)
    return best if best is not None and best.spare_slots > 0 else None
