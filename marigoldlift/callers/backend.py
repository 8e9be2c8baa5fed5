"""Protocol of the operations that the HTTP interface for callers requires."""

from typing import Protocol

from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    QueryReply,
    QueryRequest,
    SubmitRequest,
)

__all__ = ('CallerBackend',)


class CallerBackend(Protocol):
    """Operations offered to callers; invalid input is reported in the reply instead of raised."""

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run an interactive request and return its outcome."""

    async def submit(self, request: SubmitRequest) -> ExecuteReply:
        """Submit a job."""

    async def cancel(self, request: CancelRequest) -> ExecuteReply:
        """Cancel a job."""

    async def query(self, request: QueryRequest) -> QueryReply:
        """Read a job or the outcome of a non-repeatable request."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may route callers to this entry."""

    def render_metrics(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
