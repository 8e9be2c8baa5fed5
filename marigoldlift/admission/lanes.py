"""Data structures of the request queue: lanes, and the order of workspaces within each service."""

import math

from sortedcontainers import SortedList

from marigoldlift.admission.messages import QueuedRequest
from marigoldlift.ids import WorkspaceId

__all__ = ('Entry', 'Lane', 'ServiceQueue', 'WorkspaceQueue')

#: Deadline in seconds, sequence number of arrival, request. The sequence number is unique, so the
#: requests themselves are never compared.
Entry = tuple[float, int, QueuedRequest]


class WorkspaceQueue:
    """The waiting requests of one workspace, and its turn in the round robin.

    Attributes:
        turn: position in the round robin; the lowest is served first.
        remaining: number of requests that may still be taken from it in this turn.
        lanes: its lanes by service name.
    """

    __slots__ = ('lanes', 'remaining', 'name', 'turn', 'waiting', 'weight')

    def __init__(self, name: WorkspaceId, turn: int, weight: int) -> None:
        """Start without requests, at the given position in the round robin."""
        self.name = name
        self.waiting = 0
        self.lanes: dict[str, Lane] = {}
        self.begin_turn(turn, weight)

    def begin_turn(self, turn: int, weight: int) -> None:
        """Start a turn at a new position in the round robin, with the full weight."""
        self.turn = turn
        self.weight = weight
        self.remaining = weight

    def waiting_for(self, service: str) -> int:
        """Count its waiting requests for one service."""
        lane = self.lanes.get(service)
        return 0 if lane is None else len(lane.entries)


class Lane:
    """Requests of one workspace for one service, earliest deadline first."""

    __slots__ = ('entries', 'service')

    def __init__(self, service: 'ServiceQueue') -> None:
        """Start empty."""
        self.service = service
        self.entries: SortedList[Entry] = SortedList()


class ServiceQueue:
    """The waiting requests of one service, and the order of their workspaces.

    Attributes:
        turns: (turn, workspace) of each workspace with waiting requests for this service.
        weight: sum of the weights of these workspaces.
    """

    __slots__ = ('lanes', 'name', 'turns', 'waiting', 'weight')

    def __init__(self, name: str) -> None:
        """Start empty."""
        self.name = name
        self.waiting = 0
        self.weight = 0
        self.lanes: dict[WorkspaceId, Lane] = {}
        self.turns: SortedList[tuple[int, WorkspaceId]] = SortedList()

    def lane_of(self, workspace: WorkspaceQueue) -> Lane:
        """Return the lane of the workspace; create it when there is none."""
        lane = self.lanes.get(workspace.name)
        if lane is None:
            lane = Lane(self)
            self.lanes[workspace.name] = lane
            workspace.lanes[self.name] = lane
            self.weight += workspace.weight
            self.turns.add((workspace.turn, workspace.name))
        return lane

    def drop(self, workspace: WorkspaceQueue, entry: Entry) -> None:
        """Remove a request, and its lane when that becomes empty."""
        lane = self.lanes[workspace.name]
        lane.entries.remove(entry)
        self.waiting -= 1
        if not lane.entries:
            self.lanes.pop(workspace.name)
            workspace.lanes.pop(self.name)
            self.weight -= workspace.weight
            self.turns.remove((workspace.turn, workspace.name))

    def move(self, workspace: WorkspaceQueue, turn: int, weight: int) -> None:
        """Move the workspace to another position in the round robin and apply its current weight."""
        self.turns.remove((workspace.turn, workspace.name))
        self.turns.add((turn, workspace.name))
        self.weight += weight - workspace.weight

    def min_requests_ahead(self, item: QueuedRequest, weight: int) -> int:
        """Return a lower bound on the requests of the service that are served before this one.

        These are the requests of the same workspace whose deadline is not later, and the requests
        that the other workspaces may send in the full rounds until those are served.
        """
        lane = self.lanes.get(item.workspace)
        if lane is None:
            return 0
        own = lane.entries.bisect((item.deadline_s, math.inf))
        others = self.waiting - len(lane.entries)
        return own + min(others, own // weight * (self.weight - weight))
