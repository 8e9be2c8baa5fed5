"""What the request queue may know about services, from ledger, peers and configuration."""

from marigoldlift.admission.messages import ServiceTime
from marigoldlift.admission.service_times import ServiceTimes
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.ids import WorkspaceId
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.resources import Resources
from marigoldlift.routing.forwarding import PeerForwarder

__all__ = ('CellServices',)


class CellServices:
    """Answers the queue's questions about services."""

    def __init__(
        self,
        configuration: ConfigurationState,
        ledger: WorkerLedger,
        forwarder: PeerForwarder,
        times: ServiceTimes,
    ) -> None:
        """Keep the collaborators."""
        self.configuration = configuration
        self.ledger = ledger
        self.forwarder = forwarder
        self.times = times

    def has_free_slot(self, service: str) -> bool:
        """Tell whether a request of the service could be dispatched or forwarded now."""
        configured = self.configuration.service(service)
        if configured is None:
            return True
        needs = Resources(slots=configured.slots)
        if self.ledger.index.choose_for_request(needs, configured.selector) is not None:
            return True
        return self.forwarder.spare_peer(anywhere=configured.repeatable) is not None

    def slots(self, service: str) -> int:
        """Return the slots of the owned workers, as a lower bound of what serves it."""
        return self.ledger.totals().owned_slots

    def queue_limit(self, service: str) -> int:
        """Return how many of its requests may wait for each workspace."""
        configured = self.configuration.service(service)
        return configured.queue_limit if configured else 0

    def service_time(self, service: str) -> ServiceTime:
        """Return its observed service time."""
        return self.times.estimate(service)

    def weight_of(self, workspace: WorkspaceId) -> int:
        """Return the share of a workspace relative to others."""
        configured = self.configuration.workspace(workspace)
        return configured.weight if configured else 1
