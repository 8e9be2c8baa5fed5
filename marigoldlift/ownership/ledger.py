"""Capacity ledger of an owner: what each of its workers has, holds and may still take."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from marigoldlift.configuration.selectors import PatternMatcher
from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import Epoch, Incarnation, JobId, TaskId, VmId, WorkerId
from marigoldlift.jobs.task_ids import parse_task_id
from marigoldlift.ownership.breaker import Breaker
from marigoldlift.placement.index import CapacityIndex
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.platform.messages import (
    LeaseGrant,
    TaskInventory,
    TaskState,
    VmDescription,
    VmState,
)
from marigoldlift.resources import ZERO_RESOURCES, Resources

__all__ = ('LedgerTotals', 'LedgerWorker', 'WorkerLedger')

#: Weight of the newest sample in the average of a worker's service time.
SERVICE_TIME_WEIGHT = 0.2

#: Age up to which sums over all workers are used again, in seconds.
TOTALS_AGE_S = 0.1


class LedgerWorker(msgspec.Struct):
    """A worker of this failure domain, owned by this entry or not.

    Attributes:
        labels: labels of the VM list, overlaid by those that operators published.
        until_s: loop time until which this entry may act as owner; 0 when it does not own it.
        holds: resources by task id; a reservation stands under an id of its own until it is used.
        adopted: running repeatable requests that an earlier owner, or an earlier epoch, sent; no
            event tells of their end.
        indexed: whether the capacity index has it at the moment.
        draining: whether operators want the worker to take nothing new.
        leaving: whether the worker itself, or the VM list, says that it leaves.
        closing: whether this entry is about to release the worker.
    """

    vm: VmDescription
    labels: dict[str, str]
    incarnation: Incarnation = Incarnation('')
    epoch: Epoch = Epoch(0)
    until_s: float = 0
    holds: dict[TaskId, Resources] = {}
    adopted: set[TaskId] = set()
    free: Resources = ZERO_RESOURCES
    draining: bool = False
    leaving: bool = False
    closing: bool = False
    breaker: Breaker = msgspec.field(default_factory=Breaker)
    observed_ms: float = 0
    indexed: bool = False

    @property
    def worker_id(self) -> WorkerId:
        """Return the VM id as a worker id."""
        return WorkerId(self.vm.vm_id)

    def owned(self, now_s: float) -> bool:
        """Tell whether this entry may act as owner now."""
        return now_s < self.until_s

    def takes_work(self, now_s: float) -> bool:
        """Tell whether new work may be placed here now."""
        taking = not self.departing and not self.closing
        return self.owned(now_s) and taking and self.breaker.allows(now_s)

    @property
    def departing(self) -> bool:
        """Tell whether the worker leaves or is drained, as far as is known here."""
        return self.draining or self.leaving or self.vm.state is VmState.leaving


class LedgerTotals(msgspec.Struct, frozen=True):
    """Sums over the workers of a ledger.

    Attributes:
        summed_s: loop time at which they were taken.
        owned: workers that this entry owns.
        free_slots: request slots free on workers that take work.
        owned_slots: all request slots of those.
    """

    summed_s: float = float('-inf')
    owned: int = 0
    free_slots: int = 0
    owned_slots: int = 0


class WorkerLedger:
    """Workers of the failure domain; pure, the clock is passed in.

    Attributes:
        index: owned workers that take work, with their free capacity.
        catalog: all known workers as if empty, to tell what could ever fit.

    A hold is taken before anything is sent to a worker and given back only when the work is known
    to be over, so the sum of holds is never below what the worker really carries.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without workers; `clock` returns the loop's time in seconds."""
        self.clock = clock
        self.workers: dict[WorkerId, LedgerWorker] = {}
        self.summed = LedgerTotals()
        matcher = PatternMatcher()
        self.index = CapacityIndex(matcher)
        self.catalog = CapacityIndex(matcher)

    def list_workers(
        self,
        vms: Iterable[VmDescription],
        published: Mapping[VmId, dict[str, str]],
    ) -> None:
        """Take in the workers of the VM list, with labels published by operators.

        A worker that left the list is dropped only when this entry does not own it: a wrong list
        must not hide a worker that still answers.
        """
        listed = {WorkerId(vm.vm_id): vm for vm in vms}
        for vm in listed.values():
            self.describe(vm, published.get(vm.vm_id, {}))
        for worker_id in tuple(self.workers):
            if worker_id not in listed and not self.workers[worker_id].until_s:
                self.workers.pop(worker_id)
                self.catalog.remove(worker_id)

    def describe(self, vm: VmDescription, published: Mapping[str, str]) -> None:
        """Take in the description of one worker."""
        labels = {**listed_labels(vm), **published}
        worker = self.workers.get(WorkerId(vm.vm_id))
        if worker is None:
            worker = LedgerWorker(vm, labels)
            self.workers[worker.worker_id] = worker
        elif worker.vm == vm and worker.labels == labels:
            return
        worker.vm = vm
        worker.labels = labels
        self.catalog.update(self.view(worker, vm.capacity))

    def view(self, worker: LedgerWorker, free: Resources) -> WorkerView:
        """Return a worker as the index wants it."""
        return WorkerView(
            worker_id=worker.worker_id,
            rack=worker.vm.rack,
            labels=worker.labels,
            capacity=worker.vm.capacity,
            free=free,
            observed_ms=worker.observed_ms,
        )

    def granted(
        self,
        worker_id: WorkerId,
        grant: LeaseGrant,
        until_s: float,
    ) -> None:
        """Take in a granted claim: capacity less the inventory is free."""
        worker = self.workers[worker_id]
        worker.incarnation = grant.incarnation
        worker.epoch = grant.epoch
        worker.until_s = until_s
        worker.leaving = grant.leaving
        running = running_tasks(grant.inventory)
        worker.holds = running
        worker.adopted = {task_id for task_id in running if not has_events(task_id)}
        worker.free = worker.vm.capacity - total(running.values())
        self.refresh(worker)

    def renewed(self, worker_id: WorkerId, grant: LeaseGrant, until_s: float) -> None:
        """Take in a granted renewal."""
        worker = self.workers[worker_id]
        worker.until_s = until_s
        worker.leaving = grant.leaving
        self.refresh(worker)

    def drop_ended(self, worker_id: WorkerId, inventory: Iterable[TaskInventory]) -> None:
        """Give back adopted holds that a renewal's inventory no longer lists as running.

        Adopted work was on the worker at the claim, so its absence means that it ended. Work sent
        under the current epoch may still be on its way and is not touched.
        """
        worker = self.workers[worker_id]
        running = running_tasks(inventory)
        for task_id in worker.adopted - running.keys():
            self.release(worker_id, task_id)

    def close(self, worker_id: WorkerId, *, closing: bool) -> None:
        """Note whether an owned worker is about to be released, and takes nothing new."""
        worker = self.workers[worker_id]
        if worker.closing != closing:
            worker.closing = closing
            self.refresh(worker)

    def lost(self, worker_id: WorkerId) -> None:
        """Note that this entry is not the owner any more."""
        worker = self.workers[worker_id]
        worker.until_s = 0
        worker.closing = False
        worker.holds = {}
        worker.adopted = set()
        self.refresh(worker)

    def hold(self, worker_id: WorkerId, hold_id: TaskId, resources: Resources) -> bool:
        """Hold resources on a worker; false if it takes no work or they do not fit."""
        worker = self.workers.get(worker_id)
        if worker is None or not worker.takes_work(self.clock()) or hold_id in worker.holds:
            return False
        if not resources.fits_into(worker.free):
            return False
        worker.holds[hold_id] = resources
        worker.free -= resources
        self.refresh(worker)
        return True

    def rename(self, worker_id: WorkerId, hold_id: TaskId, task_id: TaskId) -> bool:
        """Turn a reservation into the hold of a task; false if it is gone."""
        worker = self.workers.get(worker_id)
        if worker is None or hold_id not in worker.holds or task_id in worker.holds:
            return False
        worker.holds[task_id] = worker.holds.pop(hold_id)
        return True

    def release(self, worker_id: WorkerId, hold_id: TaskId) -> None:
        """Give back a hold; unknown ones are ignored, since a claim starts the ledger anew."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        resources = worker.holds.pop(hold_id, None)
        worker.adopted.discard(hold_id)
        if resources is not None:
            worker.free += resources
            self.refresh(worker)

    def observe(self, worker_id: WorkerId, service_ms: float, *, ok: bool) -> None:
        """Note how work on a worker went and how long it took, in milliseconds."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if ok:
            worker.breaker.on_success()
            worker.observed_ms += SERVICE_TIME_WEIGHT * (service_ms - worker.observed_ms)
        else:
            worker.breaker.on_failure(self.clock(), may_open=can_spare_one(self))
        self.refresh(worker)

    def note_task_end(self, worker_id: WorkerId, job_id: JobId, state: TaskState) -> None:
        """Note how a task of a job ended on a worker."""
        worker = self.workers[worker_id]
        if state is TaskState.finished:
            worker.breaker.on_success()
        elif state is TaskState.failed:
            worker.breaker.on_failure(self.clock(), job_id, may_open=can_spare_one(self))
        else:
            worker.breaker.on_refused()
        self.refresh(worker)

    def refresh_rotation(self) -> None:
        """Bring the index in line with leases that lapsed and breakers whose pause is over."""
        now_s = self.clock()
        for worker in self.workers.values():
            if worker.indexed != worker.takes_work(now_s):
                self.refresh(worker)

    def refresh(self, worker: LedgerWorker) -> None:
        """Bring the index in line with one worker."""
        worker.indexed = worker.takes_work(self.clock())
        if not worker.indexed:
            self.index.remove(worker.worker_id)
            return
        self.index.update(self.view(worker, worker.free))

    def owned_ids(self) -> list[WorkerId]:
        """Return the workers that this entry owns now."""
        now_s = self.clock()
        return [worker.worker_id for worker in self.workers.values() if worker.owned(now_s)]

    def totals(self) -> LedgerTotals:
        """Return sums over all workers, at most `TOTALS_AGE_S` old; each sum takes a scan."""
        now_s = self.clock()
        if now_s - self.summed.summed_s >= TOTALS_AGE_S:
            self.summed = LedgerTotals(
                now_s,
                len(self.owned_ids()),
                self.free_slots(),
                self.owned_slots(),
            )
        return self.summed

    def owned_slots(self) -> int:
        """Return all request slots of workers that take work now, free or not."""
        now_s = self.clock()
        return sum(
            worker.vm.capacity.slots
            for worker in self.workers.values()
            if worker.takes_work(now_s)
        )

    def free_slots(self) -> int:
        """Return the request slots free on workers that take work now."""
        now_s = self.clock()
        return sum(
            max(worker.free.slots, 0)
            for worker in self.workers.values()
            if worker.takes_work(now_s)
        )


def can_spare_one(ledger: WorkerLedger) -> bool:
    """Tell whether one more owned worker may leave the rotation because of failures.

    At most half of them may, since work that fails everywhere would take all of them out.
    """
    now_s = ledger.clock()
    owned = [worker for worker in ledger.workers.values() if worker.owned(now_s)]
    out = sum(1 for worker in owned if worker.breaker.open_until_s)
    return out < max(len(owned) // 2, 1)


def listed_labels(vm: VmDescription) -> dict[str, str]:
    """Return the labels that every worker has, and those of the VM list."""
    built_in = {'vm': vm.vm_id, 'failure_domain': vm.failure_domain, 'rack': vm.rack}
    return vm.labels | built_in


def running_tasks(inventory: Iterable[TaskInventory]) -> dict[TaskId, Resources]:
    """Return the resources of the running tasks of an inventory by task id."""
    return {task.task_id: task.resources for task in inventory if task.state is TaskState.running}


def has_events(task_id: TaskId) -> bool:
    """Tell whether the worker reports the end of a task; that of a repeatable request it does not."""
    try:
        parse_task_id(task_id)
    except InvalidInputError:
        return False
    return True


def total(amounts: Iterable[Resources]) -> Resources:
    """Sum amounts."""
    return sum(amounts, start=ZERO_RESOURCES)
