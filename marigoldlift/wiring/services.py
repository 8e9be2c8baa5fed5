"""All parts of one entry, created and connected with each other."""

from collections.abc import Coroutine
from typing import Any

from marigoldlift.admission.connection_limit import ConnectionLimit
from marigoldlift.callers.daemon import DaemonCallers
from marigoldlift.ids import KeyId
from marigoldlift.operators.daemon import DaemonOperators
from marigoldlift.peers.messages import Heartbeat, MemberState
from marigoldlift.peers.service import PeerHandlers
from marigoldlift.util import MS_PER_S, loop_now
from marigoldlift.wiring.gauges import Gauges
from marigoldlift.wiring.handlers import EntryHandlers
from marigoldlift.wiring.identity import Common
from marigoldlift.wiring.jobs import JobsPart
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.requests import RequestsPart
from marigoldlift.wiring.streams import StreamsPart
from marigoldlift.wiring.workers import WorkersPart

__all__ = ('EntryServices',)


class EntryServices:
    """State and services of one entry.

    Attributes:
        leaving: whether the entry is shutting down and accepts no new work.
    """

    def __init__(self, common: Common) -> None:
        """Create the parts; nothing runs before the coroutines of `background` are started."""
        self.common = common
        self.leaving = False
        self.connection_limit = ConnectionLimit(common.settings.limits.max_connections)
        dispatching: set[KeyId] = set()
        self.membership = self.new_membership()
        self.streams = self.new_streams()
        self.workers = self.new_workers(dispatching)
        self.requests = RequestsPart(
            common,
            self.membership,
            self.streams,
            self.workers,
            dispatching,
        )
        self.jobs = JobsPart(common, self.membership, self.streams, self.workers)
        self.gauges = Gauges(
            common.metrics,
            self.membership,
            self.streams,
            self.workers,
            self.requests,
            self.connection_limit,
        )

    def new_membership(self) -> MembershipPart:
        """Create the part that calls other entries; the model of the tests overrides this method."""
        return MembershipPart(self.common, self.describe)

    def new_streams(self) -> StreamsPart:
        """Create the part that replicates the streams of the log."""
        return StreamsPart(self.common, self.membership)

    def new_workers(self, dispatching: set[KeyId]) -> WorkersPart:
        """Create the part that calls workers and polls the VM list."""
        return WorkersPart(self.common, self.membership, self.streams, dispatching)

    def callers(self) -> DaemonCallers:
        """Create the operations offered to callers."""
        return DaemonCallers(
            self.requests.router,
            self.jobs.submission,
            self.jobs.queries,
            self.common.metrics,
            self.is_ready,
            self.gauges.refresh,
        )

    def operators(self) -> DaemonOperators:
        """Create the operations offered to operators."""
        return DaemonOperators(
            self.streams.configuration,
            self.streams.configuration_replica,
            self.membership.members,
            self.membership.clients,
            self.jobs.queries,
            self.jobs.submission,
            self.common.tracing,
            self.describe,
        )

    def peer_handlers(self) -> PeerHandlers:
        """Return the handler of each gRPC method, by the method's name."""
        handlers = EntryHandlers(
            self.membership.members,
            self.workers.reservations,
            self.common.tracing,
            self.describe,
        )
        return handlers.methods(self.streams, self.requests, self.jobs)

    def background(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the entry stops."""
        return [
            self.streams.configuration_replica.run(),
            self.streams.domain_replica.run(),
            self.streams.write_snapshots(),
            self.membership.heartbeats.run(),
            self.workers.vm_list.run(),
            self.workers.ownership.run(),
            self.requests.dispatcher.run(),
            self.jobs.keeper.run(),
            self.gauges.rotate(),
            self.gauges.watch_loop(),
        ]

    def describe(self) -> Heartbeat:
        """Return this entry's current heartbeat."""
        totals = self.workers.ledger.totals()
        queue = self.requests.queue
        return Heartbeat(
            vm_id=self.common.vm_id,
            incarnation=self.common.incarnation,
            failure_domain=self.common.failure_domain,
            state=self.state(),
            address=self.common.grpc_address,
            http_address=self.common.http_address,
            applied=self.streams.applied(),
            configuration_version=self.streams.configuration.version,
            free_slots=totals.free_slots,
            owned_workers=totals.owned,
            queue_length=len(queue),
            queue_delay_ms=queue.oldest_wait_s(loop_now()) * MS_PER_S,
        )

    def state(self) -> MemberState:
        """Return the state for heartbeats: leaving when drained, ready only with a configuration."""
        if self.leaving or self.workers.ownership.is_departing():
            return MemberState.leaving
        if self.streams.is_configured():
            return MemberState.ready
        return MemberState.starting

    def is_ready(self) -> bool:
        """Return whether the load balancer may route callers to this entry."""
        return self.state() is MemberState.ready

    def in_progress(self) -> int:
        """Return the number of requests and actions in progress, which a graceful stop waits for."""
        return (
            len(self.requests.queue)
            + len(self.requests.dispatcher.tasks)
            + len(self.requests.runner.running)
            + len(self.workers.reconciler.actions.tasks)
        )

    def close(self) -> None:
        """Stop the lease sessions and close the connections to other entries."""
        self.workers.ownership.stop()
        self.membership.clients.close()
