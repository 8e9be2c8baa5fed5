"""Creation and connection of the objects that handle the ownership of workers."""

from marigoldlift.ids import KeyId
from marigoldlift.membership.heartbeats import VmListReader
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.reconciler import TaskReconciler
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.ownership.service import OwnershipService
from marigoldlift.ownership.session import LeaseTimes
from marigoldlift.platform.http_vm_directory import HttpVmDirectory
from marigoldlift.platform.http_worker import HttpWorkerApi
from marigoldlift.platform.messages import VmDescription, VmSnapshot
from marigoldlift.settings.settings import LeaseSettings
from marigoldlift.util import MS_PER_S, loop_now
from marigoldlift.wiring.identity import Common
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.streams import StreamsPart

__all__ = ('WorkersPart',)


class WorkersPart:
    """Leases and capacity of the failure domain's workers, and reconciliation of their tasks.

    Reconciliation brings the tasks that the workers run in line with the failure domain's stream.
    """

    def __init__(
        self,
        common: Common,
        membership: MembershipPart,
        streams: StreamsPart,
        dispatching: set[KeyId],
    ) -> None:
        """Create the objects and connect them with those of the other parts.

        Args:
            common: identity and objects that all parts share.
            membership: the other entries, which share the ownership of workers.
            streams: the configuration, and the stream that stores tasks and keys.
            dispatching: keys whose requests this entry may dispatch, or has dispatched with an
                unknown outcome.
        """
        self.common = common
        self.membership = membership
        self.ledger = WorkerLedger(loop_now)
        self.reservations = Reservations(self.ledger, loop_now)
        self.ownership = OwnershipService(
            common.holder,
            common.failure_domain,
            self.ledger,
            self.reservations,
            membership.members,
            streams.configuration,
            self.connect,
            lease_times(common.settings.lease),
        )
        self.reconciler = TaskReconciler(
            common.holder,
            streams.domain_replica,
            streams.domain,
            self.ledger,
            self.reservations,
            self.ownership.workers,
            dispatching,
            common.metrics,
        )
        self.reconciler.resolve_doubt = self.ownership.resolve_doubt
        self.reconciler.renew_soon = self.ownership.renew_soon
        self.ownership.listener = self.reconciler
        self.vm_list = VmListReader(
            HttpVmDirectory(common.session, common.settings.vm_list_address),
            (self.take_vm_list,),
            membership.heartbeats.times.list_s,
        )

    def connect(self, vm: VmDescription) -> HttpWorkerApi:
        """Return a client of a worker's API."""
        return HttpWorkerApi(self.common.session, vm.address)

    def take_vm_list(self, snapshot: VmSnapshot) -> None:
        """Apply the VM list to the member table and to the ownership of workers."""
        self.membership.members.take_list(snapshot.vms)
        self.ownership.take_list(snapshot)


def lease_times(lease: LeaseSettings) -> LeaseTimes:
    """Return the times of leases in seconds."""
    return LeaseTimes(
        ttl_s=lease.ttl_ms / MS_PER_S,
        renew_s=lease.renew_ms / MS_PER_S,
        claim_s=lease.renew_ms / MS_PER_S,
        task_lease_s=lease.task_lease_ms / MS_PER_S,
    )
