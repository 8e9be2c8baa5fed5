"""Bounded queue of requests, fair between workspaces.

Deficit round robin over workspaces with a cost of one per request; earliest deadline first within a
workspace. Services without a free slot are skipped, so they never block other services. All
operations are logarithmic in the number of requests and workspaces; `take` also checks each service
with waiting requests once for a free slot.
"""

from collections import OrderedDict
from collections.abc import Callable

from sortedcontainers import SortedList

from marigoldlift.admission.lanes import Entry, ServiceQueue, WorkspaceQueue
from marigoldlift.admission.messages import QueuedRequest, QueueLimits, ServiceView
from marigoldlift.errors import ConflictError, OverloadedError
from marigoldlift.ids import WorkspaceId

__all__ = ('RequestQueue',)

#: Placeholder for a workspace without waiting requests.
EMPTY_WORKSPACE = WorkspaceQueue(WorkspaceId(''), turn=0, weight=1)


class RequestQueue:
    """Requests that wait for a free slot.

    Attributes:
        entries: waiting requests, oldest first.
        expired: requests whose deadline passed, until `expire` returns them.
    """

    def __init__(
        self,
        limits: QueueLimits,
        services: ServiceView,
        weight_of: Callable[[WorkspaceId], int],
    ) -> None:
        """Start empty.

        Args:
            limits: bounds of the queue.
            services: current state of the services.
            weight_of: returns how many requests may be taken from a workspace per turn; values below 1 count
                as 1.
        """
        self.limits = limits
        self.view = services
        self.configured_weight = weight_of
        self.entries: OrderedDict[QueuedRequest, Entry] = OrderedDict()
        self.expired: OrderedDict[QueuedRequest, None] = OrderedDict()
        self.by_deadline: SortedList[Entry] = SortedList()
        self.workspaces: dict[WorkspaceId, WorkspaceQueue] = {}
        self.services: dict[str, ServiceQueue] = {}
        self.sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests, without expired ones."""
        return len(self.entries)

    def oldest_wait_s(self, now_s: float) -> float:
        """Return how long the oldest request has waited, in seconds; 0 when none is waiting."""
        oldest = next(iter(self.entries), None)
        return 0 if oldest is None else now_s - oldest.offered_s

    def offer(self, item: QueuedRequest, now_s: float) -> None:
        """Accept a request.

        Raises:
            OverloadedError: a bound is reached or the deadline cannot be met; the request is not
                added to the queue.
            ConflictError: the same object is already in the queue.
        """
        if item in self.entries or item in self.expired:
            raise ConflictError('the request is in the queue already')
        self.expire_due(now_s)
        self.check_bounds(item)
        self.check_deadline(item, now_s)
        item.offered_s = now_s
        self.insert(item)

    def take(self, now_s: float) -> QueuedRequest | None:
        """Remove and return the next unexpired request whose service has a free slot, or None."""
        self.expire_due(now_s)
        ready = [
            service_queue
            for service_queue in self.services.values()
            if self.view.has_free_slot(service_queue.name)
        ]
        if not ready:
            return None
        first = min(service_queue.turns[0] for service_queue in ready)
        workspace = self.workspaces[first[1]]
        lanes = (service_queue.lanes.get(workspace.name) for service_queue in ready)
        entry = min(lane.entries[0] for lane in lanes if lane is not None)
        self.remove_entry(entry)
        self.consume_turn(workspace)
        return entry[-1]

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return all requests whose deadline has passed."""
        self.expire_due(now_s)
        expired = list(self.expired)
        self.expired.clear()
        return expired

    def remove(self, item: QueuedRequest) -> bool:
        """Remove a request, e.g. when its caller disconnects; return whether it was still in the queue."""
        if item in self.expired:
            self.expired.pop(item)
            return True
        entry = self.entries.get(item)
        if entry is None:
            return False
        self.remove_entry(entry)
        return True

    def weight_of(self, workspace: WorkspaceId) -> int:
        """Return the current weight of a workspace, at least 1."""
        return max(1, self.configured_weight(workspace))

    def check_bounds(self, item: QueuedRequest) -> None:
        """Refuse a request that would exceed a bound.

        The share of a workspace shrinks with the free capacity, so that some capacity always remains for
        workspaces with few requests. At weight 1, a single workspace may fill half of the queue, and
        two workspaces a third each.
        """
        free = self.limits.total - len(self.entries) - len(self.expired)
        workspace = self.workspaces.get(item.workspace, EMPTY_WORKSPACE)
        if workspace.waiting >= free * self.weight_of(item.workspace):
            raise OverloadedError(f'{free} places are free, {workspace.waiting} are in use')
        limit = self.view.queue_limit(item.service)
        if workspace.waiting_for(item.service) >= limit:
            raise OverloadedError(f'{limit} requests of {item.service} wait already')

    def check_deadline(self, item: QueuedRequest, now_s: float) -> None:
        """Refuse a request that is expected to expire while it waits or runs."""
        if item.deadline_s <= now_s:
            raise OverloadedError('the deadline has passed')
        needed_s = self.expected_s(item)
        left_s = item.deadline_s - now_s
        if needed_s > left_s:
            raise OverloadedError(f'needs about {needed_s:.3f} s, has {left_s:.3f} s')

    def expected_s(self, item: QueuedRequest) -> float:
        """Return the minimum expected time in seconds until the request completes; 0 when unknown.

        The result is also 0 when no request is ahead: one request must always be admitted, so that
        its service time can correct an estimate that is too high.
        """
        service_queue = self.services.get(item.service)
        slots = self.view.slots(item.service)
        if service_queue is None or not slots:
            return 0
        ahead = service_queue.min_requests_ahead(item, self.weight_of(item.workspace))
        if not ahead:
            return 0
        observed = self.view.service_time(item.service)
        return ahead // slots * observed.mean_s + observed.median_s

    def insert(self, item: QueuedRequest) -> None:
        """Add a request to its lane; a new workspace starts at the end of the round robin."""
        self.sequence += 1
        entry = (item.deadline_s, self.sequence, item)
        workspace = self.workspaces.get(item.workspace)
        if workspace is None:
            weight = self.weight_of(item.workspace)
            workspace = WorkspaceQueue(item.workspace, turn=self.sequence, weight=weight)
            self.workspaces[item.workspace] = workspace
        service = self.services.setdefault(item.service, ServiceQueue(item.service))
        service.lane_of(workspace).entries.add(entry)
        service.waiting += 1
        workspace.waiting += 1
        self.entries[item] = entry
        self.by_deadline.add(entry)

    def remove_entry(self, entry: Entry) -> None:
        """Remove a request from all indexes, and its service and workspace when they become empty."""
        item = entry[-1]
        workspace = self.workspaces[item.workspace]
        service = self.services[item.service]
        self.entries.pop(item)
        self.by_deadline.remove(entry)
        service.drop(workspace, entry)
        workspace.waiting -= 1
        if not service.waiting:
            self.services.pop(service.name)
        if not workspace.waiting:
            self.workspaces.pop(workspace.name)

    def consume_turn(self, workspace: WorkspaceQueue) -> None:
        """Count one request against the workspace's turn; when none remain, move it to the end of the round."""
        workspace.remaining -= 1
        if workspace.remaining or not workspace.waiting:
            return
        self.sequence += 1
        weight = self.weight_of(workspace.name)
        for lane in workspace.lanes.values():
            lane.service.move(workspace, self.sequence, weight)
        workspace.begin_turn(self.sequence, weight)

    def expire_due(self, now_s: float) -> None:
        """Move all requests whose deadline has passed from the queue to `expired`."""
        while self.by_deadline and self.by_deadline[0][0] <= now_s:
            entry = self.by_deadline[0]
            self.remove_entry(entry)
            self.expired[entry[-1]] = None
