"""Handlers of the gRPC calls from other entries."""

from collections.abc import Callable

from marigoldlift.membership.table import MemberTable
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.peers import messages
from marigoldlift.peers.relay import RelayHandlers
from marigoldlift.peers.service import PeerHandlers
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import loop_now
from marigoldlift.wiring.jobs import JobsPart
from marigoldlift.wiring.requests import RequestsPart
from marigoldlift.wiring.streams import StreamsPart

__all__ = ('EntryHandlers',)


class EntryHandlers:
    """Maps each gRPC method to its handler.

    Contains the handlers for which no other class has a coroutine method with a matching signature.
    """

    def __init__(
        self,
        members: MemberTable,
        reservations: Reservations,
        tracing: Tracing,
        describe: Callable[[], messages.Heartbeat],
    ) -> None:
        """Create the handlers; `describe` returns this entry's current heartbeat."""
        self.members = members
        self.reservations = reservations
        self.tracing = tracing
        self.describe = describe

    def methods(
        self,
        streams: StreamsPart,
        requests: RequestsPart,
        jobs: JobsPart,
    ) -> PeerHandlers:
        """Return the handler of each gRPC method, by the method's name."""
        relay = RelayHandlers(streams.replicas)
        return {
            'Heartbeat': self.handle_heartbeat,
            'Execute': requests.router.execute,
            'Submit': jobs.submission.submit,
            'Cancel': jobs.submission.cancel,
            'Query': jobs.queries.query,
            'ListJobs': jobs.queries.list_jobs,
            'Reserve': self.reserve,
            'Release': self.release,
            'ReadRecords': relay.read_records,
            'ReadSnapshot': relay.read_snapshot,
            'ReadSpans': self.read_spans,
        }

    async def handle_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Apply a peer's heartbeat and return this entry's own."""
        self.members.observe(heartbeat, loop_now())
        return self.describe()

    async def reserve(self, request: messages.ReserveRequest) -> messages.ReserveReply:
        """Reserve capacity for the job keeper of a peer."""
        return self.reservations.reserve(request)

    async def release(self, request: messages.ReleaseReservation) -> messages.Empty:
        """Release the capacity of a reservation that a job keeper does not use."""
        self.reservations.release(request.reservation_id)
        return messages.Empty()

    async def read_spans(self, request: messages.SpansRequest) -> messages.SpansReply:
        """Return the spans of one trace that this entry keeps."""
        return messages.SpansReply(list(self.tracing.spans_of(request.trace_id)))
