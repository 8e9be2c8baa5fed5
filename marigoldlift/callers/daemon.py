"""Implementation of the caller operations in the entry process."""

from collections.abc import Callable

from marigoldlift.jobs.queries import JobQueries
from marigoldlift.jobs.submission import JobSubmission
from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    QueryReply,
    QueryRequest,
    SubmitRequest,
)
from marigoldlift.routing.router import RequestRouter
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('DaemonCallers',)


class DaemonCallers:
    """Delegates callers' operations to request routing and jobs, and records request metrics."""

    def __init__(
        self,
        router: RequestRouter,
        submission: JobSubmission,
        queries: JobQueries,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        refresh_metrics: Callable[[], None],
    ) -> None:
        """Create the operations.

        Args:
            router: runs interactive requests.
            submission: submits and cancels jobs.
            queries: reads jobs and keys.
            metrics: registry of the entry's metrics.
            is_ready: returns whether the entry is ready for callers.
            refresh_metrics: sets the gauges; called before the metrics are rendered.
        """
        self.router = router
        self.submission = submission
        self.queries = queries
        self.metrics = metrics
        self.ready = is_ready
        self.refresh_metrics = refresh_metrics

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run an interactive request; count its outcome and measure its duration."""
        started_s = loop_now()
        reply = await self.router.execute(request)
        elapsed_s = loop_now() - started_s
        self.metrics.add(
            Metric.requests,
            workspace=request.workspace,
            status=reply.code or reply.status.value,
        )
        self.metrics.observe(Metric.request, elapsed_s, service=request.service)
        return reply

    async def submit(self, request: SubmitRequest) -> ExecuteReply:
        """Submit a job."""
        return await self.submission.submit(request)

    async def cancel(self, request: CancelRequest) -> ExecuteReply:
        """Cancel a job."""
        return await self.submission.cancel(request)

    async def query(self, request: QueryRequest) -> QueryReply:
        """Read a job or the outcome of a non-repeatable request."""
        return await self.queries.query(request)

    def is_ready(self) -> bool:
        """Return whether the load balancer may route callers to this entry."""
        return self.ready()

    def render_metrics(self) -> str:
        """Refresh the gauges and return all metrics in the text exposition format."""
        self.refresh_metrics()
        return self.metrics.render()
