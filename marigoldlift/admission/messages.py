"""Data types and protocols of request admission."""

from typing import Any, Protocol

import msgspec

from marigoldlift.ids import WorkspaceId

__all__ = (
    'NO_OBSERVATION',
    'QueueLimits',
    'QueuedRequest',
    'ServiceTime',
    'ServiceView',
)


class QueuedRequest(msgspec.Struct, eq=False):
    """A request in the queue, compared and hashed by identity.

    Attributes:
        deadline_s: deadline in seconds, on the clock that the callers of the queue pass as `now_s`.
        content: data that the caller of the queue needs to dispatch the request.
        offered_s: time in seconds at which the queue accepted it, on the same clock; set by the queue.
    """

    request_id: str
    workspace: WorkspaceId
    service: str
    deadline_s: float
    content: Any = None
    offered_s: float = 0


class ServiceTime(msgspec.Struct, frozen=True):
    """Observed service times of a service or worker, in seconds.

    Attributes:
        count: number of observations behind the estimates; 0 when there are none.
    """

    mean_s: float
    median_s: float
    tail_s: float
    count: int


NO_OBSERVATION = ServiceTime(mean_s=0, median_s=0, tail_s=0, count=0)


class QueueLimits(msgspec.Struct, frozen=True):
    """Bounds of the queue.

    Attributes:
        total: maximum number of waiting requests over all workspaces; expired requests count until
            they are fetched.
    """

    total: int


class ServiceView(Protocol):
    """State of the services that the queue reads; each method must be cheap."""

    def has_free_slot(self, service: str) -> bool:
        """Return whether a request of the service could be dispatched now."""

    def slots(self, service: str) -> int:
        """Return the number of slots that serve it, free or busy; 0 when unknown."""

    def queue_limit(self, service: str) -> int:
        """Return how many of its requests may wait per workspace."""

    def service_time(self, service: str) -> ServiceTime:
        """Return its observed service time."""
