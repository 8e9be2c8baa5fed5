"""Calls to the home failure domain of a job or key."""

from typing import Any, Protocol

import msgspec

from marigoldlift.errors import PeerUnavailableError
from marigoldlift.ids import FailureDomain, VmId
from marigoldlift.membership.rendezvous import ranked
from marigoldlift.membership.table import MemberTable
from marigoldlift.peers.clients import PeerClients
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import MS_PER_S, loop_now

__all__ = ('HomeCalls', 'HomeRequest')

#: Time for the answer to come back after the deadline that the peer keeps to, in seconds.
ANSWER_MARGIN_S = 0.25


class HomeRequest(Protocol):
    """What a request to the home failure domain has in common with the others."""

    deadline_ms: int
    hops: int
    traceparent: str


class HomeCalls:
    """Forwards to a ready entry of a failure domain."""

    def __init__(
        self,
        members: MemberTable,
        clients: PeerClients,
        tracing: Tracing,
        max_forwards: int,
    ) -> None:
        """Keep the collaborators."""
        self.members = members
        self.clients = clients
        self.tracing = tracing
        self.max_forwards = max_forwards

    def is_here(self, home: FailureDomain) -> bool:
        """Tell whether this entry is in a failure domain."""
        return home == self.members.failure_domain

    async def call(self, home: FailureDomain, name: str, request: HomeRequest) -> Any:
        """Call an entry of the home; the next one if a connection cannot be made.

        Raises:
            PeerUnavailableError: no answer; `may_have_run` tells whether it may have taken effect.
        """
        error = PeerUnavailableError(f'no entry of {home} can be reached', may_have_run=False)
        if request.hops >= self.max_forwards:
            raise error
        ready = self.members.ready_in(home, loop_now())
        addresses = {member.vm_id: member.heartbeat.address for member in ready}
        for vm_id in ranked(request.traceparent, addresses):
            try:
                return await self.call_one(addresses[VmId(vm_id)], name, request)
            except PeerUnavailableError as lost:
                if lost.may_have_run:
                    raise
                error = lost
        raise error

    async def call_one(self, address: str, name: str, request: HomeRequest) -> Any:
        """Call one entry."""
        with self.tracing.span('home', parent=request.traceparent, method=name) as span:
            forwarded = msgspec.structs.replace(
                request,
                hops=request.hops + 1,
                traceparent=span.traceparent,
            )
            timeout_s = request.deadline_ms / MS_PER_S + ANSWER_MARGIN_S
            return await self.clients.call(address, name, forwarded, timeout_s)
