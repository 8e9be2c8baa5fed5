"""Reservations of capacity for tasks of jobs, until the log has accepted their assignment."""

from collections.abc import Callable, Iterable

import msgspec

from marigoldlift.ids import JobId, TaskId, WorkerId
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.peers.messages import ReservedTask, ReserveReply, ReserveRequest
from marigoldlift.placement.index import Demand
from marigoldlift.util import MS_PER_S

__all__ = ('Reservations',)

#: Reservations held at once; a keeper asks again when there are too many.
MAX_RESERVATIONS = 10_000


class Reservation(msgspec.Struct):
    """Holds on workers for one job.

    Attributes:
        holds: worker and hold id of each task not yet started.
        until_s: loop time when it lapses.
    """

    job_id: JobId
    holds: list[tuple[WorkerId, TaskId]]
    until_s: float


class Reservations:
    """Reservations on the workers of one owner; pure, the clock is passed in."""

    def __init__(self, ledger: WorkerLedger, clock: Callable[[], float]) -> None:
        """Start without reservations."""
        self.ledger = ledger
        self.clock = clock
        self.by_id: dict[str, Reservation] = {}

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Hold capacity for as many tasks as fit; a repeated request changes nothing."""
        self.expire()
        if request.reservation_id in self.by_id or len(self.by_id) >= MAX_RESERVATIONS:
            return ReserveReply([], feasible=True, reason='too many reservations')
        demand = Demand(
            resources=request.resources,
            count=request.count,
            selector=request.selector,
            spread=request.spread,
            rack_use=request.rack_use,
        )
        reservation = Reservation(
            request.job_id,
            [],
            self.clock() + request.ttl_ms / MS_PER_S,
        )
        reserved = []
        for number, worker_id in enumerate(self.place(demand, request.avoid)):
            hold_id = TaskId(f'{request.reservation_id}/{number}')
            if self.ledger.hold(worker_id, hold_id, request.resources):
                reservation.holds.append((worker_id, hold_id))
                reserved.append(self.describe(worker_id))
        if reserved:
            self.by_id[request.reservation_id] = reservation
            return ReserveReply(reserved, feasible=True)
        reason = self.ledger.catalog.infeasible_reason(request.resources, request.selector)
        return ReserveReply([], feasible=not reason, reason=reason)

    def place(self, demand: Demand, avoid: Iterable[WorkerId]) -> list[WorkerId]:
        """Return a worker for each task that fits, none of them one to avoid."""
        avoided = [self.ledger.workers[name] for name in avoid if name in self.ledger.workers]
        for worker in avoided:
            self.ledger.index.remove(worker.worker_id)
        chosen = self.ledger.index.place(demand)
        for kept in avoided:
            self.ledger.refresh(kept)
        return chosen

    def describe(self, worker_id: WorkerId) -> ReservedTask:
        """Return what an assignment to a worker must name."""
        worker = self.ledger.workers[worker_id]
        return ReservedTask(worker_id, worker.incarnation, worker.epoch, worker.vm.rack)

    def use(self, job_id: JobId, worker_id: WorkerId, task_id: TaskId) -> bool:
        """Turn a reservation of a job on a worker into the hold of a task; false if none is left."""
        for reservation in self.by_id.values():
            if reservation.job_id == job_id and self.turn(reservation, worker_id, task_id):
                return True
        return False

    def turn(self, reservation: Reservation, worker_id: WorkerId, task_id: TaskId) -> bool:
        """Turn one hold of a reservation on a worker into the hold of a task."""
        for place in reservation.holds:
            if place[0] == worker_id and self.ledger.rename(worker_id, place[1], task_id):
                reservation.holds.remove(place)
                return True
        return False

    def release(self, reservation_id: str) -> None:
        """Give back what a reservation still holds."""
        reservation = self.by_id.pop(reservation_id, None)
        if reservation is not None:
            for worker_id, hold_id in reservation.holds:
                self.ledger.release(worker_id, hold_id)

    def expire(self) -> None:
        """Give back reservations that lapsed."""
        now_s = self.clock()
        lapsed = [name for name, held in self.by_id.items() if held.until_s <= now_s]
        for reservation_id in lapsed:
            self.release(reservation_id)
