"""Creation and connection of the objects that handle interactive requests."""

from marigoldlift.admission.messages import QueueLimits
from marigoldlift.admission.queue import RequestQueue
from marigoldlift.admission.retry_budget import RetryBudget
from marigoldlift.admission.service_times import ServiceTimes
from marigoldlift.ids import KeyId
from marigoldlift.routing.dispatcher import RequestDispatcher
from marigoldlift.routing.forwarding import PeerForwarder
from marigoldlift.routing.once import OnceExecutor
from marigoldlift.routing.router import RequestRouter
from marigoldlift.routing.runner import WorkerRunner
from marigoldlift.routing.service_view import CellServices
from marigoldlift.wiring.identity import Common
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.streams import StreamsPart
from marigoldlift.wiring.workers import WorkersPart

__all__ = ('RequestsPart',)

#: Percent in a ratio of 1.
PERCENT = 100


class RequestsPart:
    """Queueing, dispatch and routing of interactive requests."""

    def __init__(
        self,
        common: Common,
        membership: MembershipPart,
        streams: StreamsPart,
        workers: WorkersPart,
        dispatching: set[KeyId],
    ) -> None:
        """Create the objects and connect them with those of the other parts.

        Args:
            common: identity and objects that all parts share.
            membership: used to forward requests to other entries.
            streams: the configuration, and the stream that stores the keys.
            workers: used to run requests on workers.
            dispatching: keys whose requests this entry may dispatch, or has dispatched with an
                unknown outcome; shared with the reconciler of `workers`.
        """
        limits = common.settings.limits
        times = ServiceTimes()
        self.runner = WorkerRunner(
            workers.ledger,
            workers.ownership.workers,
            workers.ownership.resolve_doubt,
            common.tracing,
            common.metrics,
        )
        forwarder = PeerForwarder(membership.members, membership.clients, common.tracing)
        services = CellServices(streams.configuration, workers.ledger, forwarder, times)
        self.queue = RequestQueue(QueueLimits(limits.max_queue), services, services.weight_of)
        self.dispatcher = RequestDispatcher(
            self.queue,
            self.runner,
            forwarder,
            RetryBudget(limits.retry_budget_percent / PERCENT),
            times,
            common.metrics,
            limits.max_forwards,
        )
        self.once = OnceExecutor(
            common.holder,
            streams.domain_replica,
            streams.domain,
            self.runner,
            dispatching,
        )
        self.dispatcher.run_once = self.once.run
        workers.ownership.claiming = self.once.claiming
        workers.reconciler.on_epoch_raised = self.once.on_epoch_raised
        self.router = RequestRouter(
            common.failure_domain,
            common.settings.failure_domains,
            streams.configuration,
            self.dispatcher,
            self.once,
            forwarder,
            limits.max_forwards,
            streams.is_configured,
        )
