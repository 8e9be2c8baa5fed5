"""Lease sessions of all workers of the failure domain, and who should own which."""

import asyncio
from collections.abc import Callable, Container

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.ids import FailureDomain, VmId, WorkerId
from marigoldlift.membership.table import MemberTable
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.preference import PreferredOwners
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.ownership.session import LeaseListener, LeaseSession, LeaseTimes, Wish
from marigoldlift.platform.api import WorkerApi
from marigoldlift.platform.messages import VmDescription, VmRole, VmSnapshot, VmState
from marigoldlift.util import loop_now

__all__ = ('OwnershipService',)

#: A member must be ready for this long before workers are handed over to it, so that a member
#: that comes and goes does not move them about.
STABLE_S = 3.0

#: Time between looks at leases that lapsed, labels that changed and workers that came or went.
REFRESH_INTERVAL_S = 0.5

LEAVE_POLL_S = 0.05

WorkerFactory = Callable[[VmDescription], WorkerApi]


class OwnershipService:
    """Runs one lease session for each worker of the failure domain.

    Attributes:
        workers: API of each worker.
        sessions: lease session of each worker, with the task that runs it.
        claiming: workers that a claimed key waits for; set by the daemon.
        leaving: whether this entry gives up all its workers.
    """

    def __init__(
        self,
        holder: str,
        failure_domain: FailureDomain,
        ledger: WorkerLedger,
        reservations: Reservations,
        members: MemberTable,
        configuration: ConfigurationState,
        connect: WorkerFactory,
        times: LeaseTimes,
    ) -> None:
        """Keep the collaborators; `connect` returns the API of a worker."""
        self.holder = holder
        self.failure_domain = failure_domain
        self.ledger = ledger
        self.reservations = reservations
        self.members = members
        self.configuration = configuration
        self.connect = connect
        self.times = times
        self.listener: LeaseListener | None = None
        self.workers: dict[WorkerId, WorkerApi] = {}
        self.addresses: dict[WorkerId, str] = {}
        self.sessions: dict[WorkerId, tuple[LeaseSession, asyncio.Task[None]]] = {}
        self.listed: list[VmDescription] = []
        self.preference = PreferredOwners(members, loop_now, self.is_departing)
        self.taken: tuple[object, int] = (None, 0)
        self.claiming: Container[WorkerId] = ()
        self.leaving = False

    def take_list(self, snapshot: VmSnapshot) -> None:
        """Take in the VM list; an empty one is kept out, since it is more likely a fault."""
        workers = [
            vm
            for vm in snapshot.vms
            if vm.role is VmRole.worker and vm.failure_domain == self.failure_domain
        ]
        if workers:
            self.listed = workers

    async def run(self) -> None:
        """Keep sessions, labels and index up to date for ever."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def refresh(self) -> None:
        """Bring sessions, labels and index in line with list and configuration."""
        self.reservations.expire()
        newest = (self.listed, self.configuration.version)
        # A worker that left the list stays as long as it is owned here.
        if newest != self.taken or len(self.ledger.workers) > len(self.listed):
            self.taken = newest
            self.take_descriptions()
        self.ledger.refresh_rotation()
        self.end_sessions()
        self.start_sessions()

    def take_descriptions(self) -> None:
        """Bring labels and drains of all workers in line with list and configuration."""
        published = {vm.vm_id: self.configuration.labels_of(vm.vm_id, {}) for vm in self.listed}
        self.ledger.list_workers(self.listed, published)
        for worker in self.ledger.workers.values():
            worker.draining = self.configuration.is_draining(VmId(worker.worker_id))
            self.ledger.refresh(worker)

    def start_sessions(self) -> None:
        """Start sessions of workers without one."""
        for worker_id, worker in self.ledger.workers.items():
            if worker_id not in self.sessions:
                self.workers[worker_id] = self.connect(worker.vm)
                self.addresses[worker_id] = worker.vm.address
                self.sessions[worker_id] = self.new_session(worker_id)

    def end_sessions(self) -> None:
        """End sessions of workers that are gone or have another address."""
        for worker_id in tuple(self.sessions):
            worker = self.ledger.workers.get(worker_id)
            if worker is None or worker.vm.address != self.addresses[worker_id]:
                _, task = self.sessions.pop(worker_id)
                task.cancel()
                self.workers.pop(worker_id)

    def new_session(self, worker_id: WorkerId) -> tuple[LeaseSession, asyncio.Task[None]]:
        """Start the session of a worker.

        Raises:
            RuntimeError: the listener is not set yet.
        """
        if self.listener is None:
            raise RuntimeError('the listener of the leases is not set')
        session = LeaseSession(
            worker_id,
            self.holder,
            self.workers[worker_id],
            self.ledger,
            self,
            self.listener,
            self.times,
        )
        return session, asyncio.create_task(session.run())

    def wish(self, worker_id: WorkerId, *, owned: bool) -> Wish:
        """Tell whether this entry should own a worker.

        An owner keeps a worker until the preferred member has been ready for some time; another
        entry claims only what it is preferred for. A departing entry is not preferred while
        there are others, since they forward nothing to it.
        """
        if self.leaving:
            return Wish.leave
        first = self.preference.owner(worker_id)
        if first is None:
            return Wish.own
        stable = loop_now() - first.ready_since_s >= STABLE_S
        return Wish.own if owned and not stable else Wish.leave

    def is_departing(self) -> bool:
        """Tell whether operators or the VM list want this entry to take nothing new."""
        vm_id = self.members.vm_id
        listed = self.members.listed.get(vm_id)
        is_listed = listed is not None and listed.state is VmState.leaving
        return is_listed or self.configuration.is_draining(vm_id)

    def may_release(self, worker_id: WorkerId) -> bool:
        """Tell whether no claimed key waits for its dispatch to a worker."""
        return worker_id not in self.claiming

    def resolve_doubt(self, worker_id: WorkerId) -> None:
        """Claim a worker anew soon, since the answer to a command was lost."""
        found = self.sessions.get(worker_id)
        if found is not None:
            found[0].resolve_doubt()

    def renew_soon(self, worker_id: WorkerId) -> None:
        """Renew the lease of a worker now instead of at the next regular time."""
        found = self.sessions.get(worker_id)
        if found is not None:
            found[0].wake.set()

    async def leave(self) -> None:
        """Release all workers."""
        self.leaving = True
        for session, _ in self.sessions.values():
            session.wake.set()
        while self.ledger.owned_ids():
            await asyncio.sleep(LEAVE_POLL_S)

    def stop(self) -> None:
        """End all sessions without a release."""
        for _, task in self.sessions.values():
            task.cancel()
