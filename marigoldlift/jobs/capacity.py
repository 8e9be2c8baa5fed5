"""Search for capacity among the owners of a failure domain."""

import asyncio
import secrets
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from marigoldlift.configuration.selectors import matches
from marigoldlift.errors import PeerUnavailableError
from marigoldlift.ids import FailureDomain, WorkerId
from marigoldlift.membership.table import Member, MemberTable
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.messages import (
    ReleaseReservation,
    ReservedTask,
    ReserveReply,
    ReserveRequest,
)
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.util import loop_now

__all__ = ('CapacityFinder', 'Found')

#: Longest wait for one owner's answer.
CALL_TIMEOUT_S = 0.5

RESERVATION_ID_BYTES = 8


class Found(msgspec.Struct):
    """Capacity held by reservations.

    Attributes:
        reservation_id: same at each owner.
        owners: addresses of the peers that hold part of it.
        reason: why there is not more, empty when there is enough.
    """

    reservation_id: str
    tasks: list[ReservedTask] = []
    owners: list[str] = []
    reason: str = ''


class CapacityFinder:
    """Asks the own ledger first, then the other owners one after the other."""

    def __init__(
        self,
        failure_domain: FailureDomain,
        ledger: WorkerLedger,
        reservations: Reservations,
        members: MemberTable,
        clients: PeerClients,
    ) -> None:
        """Keep the collaborators."""
        self.failure_domain = failure_domain
        self.ledger = ledger
        self.reservations = reservations
        self.members = members
        self.clients = clients

    async def find(self, wanted: ReserveRequest) -> Found:
        """Reserve capacity for as many tasks as there is room for."""
        found = Found(secrets.token_hex(RESERVATION_ID_BYTES))
        feasible = self.take(found, self.reservations.reserve(self.rest(wanted, found)))
        for member in self.owners():
            if len(found.tasks) >= wanted.count:
                break
            reply = await self.ask(member, found, wanted)
            if reply is not None:
                feasible |= self.take(found, reply)
        if len(found.tasks) < wanted.count and feasible:
            found.reason = f'no room now, found for {len(found.tasks)} of {wanted.count} tasks'
        return found

    def owners(self) -> list[Member]:
        """Return the other owners of the failure domain, the one with most workers first."""
        ready = self.members.ready_in(self.failure_domain, loop_now())
        return sorted(ready, key=owned_workers, reverse=True)

    async def ask(
        self,
        member: Member,
        found: Found,
        wanted: ReserveRequest,
    ) -> ReserveReply | None:
        """Reserve at one peer; None when it does not answer.

        Its address is kept before the call, so that a reservation whose answer was lost is
        released too.
        """
        address = member.heartbeat.address
        found.owners.append(address)
        try:
            return await self.clients.call(
                address,
                'Reserve',
                self.rest(wanted, found),
                CALL_TIMEOUT_S,
            )
        except PeerUnavailableError:
            return None

    def rest(self, wanted: ReserveRequest, found: Found) -> ReserveRequest:
        """Return what is still to be found."""
        rack_use = Counter(wanted.rack_use)
        rack_use.update(task.rack for task in found.tasks)
        return msgspec.structs.replace(
            wanted,
            reservation_id=found.reservation_id,
            count=wanted.count - len(found.tasks),
            rack_use=dict(rack_use),
        )

    def take(self, found: Found, reply: ReserveReply) -> bool:
        """Add what an owner reserved; return whether its workers could ever hold a task."""
        found.tasks.extend(reply.reserved)
        if not reply.reserved:
            found.reason = reply.reason
        return reply.feasible

    async def release(self, found: Found) -> None:
        """Give back all reservations; what cannot be reached lapses by itself."""
        self.reservations.release(found.reservation_id)
        request = ReleaseReservation(found.reservation_id)
        await asyncio.gather(
            *(
                self.clients.call(address, 'Release', request, CALL_TIMEOUT_S)
                for address in found.owners
            ),
            return_exceptions=True,
        )

    def candidates(self, selector: Mapping[str, str]) -> list[WorkerView]:
        """Return the known workers that a selector accepts and that do not leave."""
        return [
            self.ledger.view(worker, worker.free)
            for worker in self.ledger.workers.values()
            if matches(selector, worker.labels) and not worker.departing
        ]

    def rack_use(self, worker_ids: Iterable[WorkerId]) -> dict[str, int]:
        """Count tasks by rack."""
        known = (self.ledger.workers.get(worker_id) for worker_id in worker_ids)
        return dict(Counter(worker.vm.rack for worker in known if worker is not None))


def owned_workers(member: Member) -> int:
    """Return how many workers a member owns."""
    return member.heartbeat.owned_workers
