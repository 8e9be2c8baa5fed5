"""In-memory workers: capacity, leases on their own clocks, fencing, ends of runs, late orders."""

import asyncio
import math
import random
from collections.abc import Callable
from contextvars import Context

import msgspec

from marigoldlift.errors import (
    OrderWithdrawnError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun, WorkerStatus, StartOrder, Worker
from marigoldlift.submissions.model import Step, TaskRef
from standins.cell.gangs import GangTable, HeldTask
from standins.cell.invariants import InvariantChecker
from standins.cell.kinds import MEMORY_MB, WorkerKind

__all__ = ('CallFaults', 'MemoryWorker', 'MemoryWorkers', 'ticket_text')

ANSWER_S = 0.002
CALL_TIMEOUT_S = 0.4
LATE_S = (2.0, 6.0)
TICK_S = 0.05
LONGEST_LEASE_MS = 6000
MS_PER_S = 1000
SLOWEST_CLOCK = 0.98
LONGEST_STOP_S = 0.8

#: Largest number of ends in one status.
ENDS_PAGE = 500

#: Address in the list of workers; calls find a worker by its id.
WORKER_ADDRESS = '10.0.0.1:80'


class ListedEnds(msgspec.Struct):
    """Ends that an incarnation of a worker lists.

    Attributes:
        entries: the ends that are not acknowledged.
        last_number: number of the newest end.
        void: number of the last end before the lease lapsed; the ends up to it count as never acknowledged.
        arrived: set at the next end.
    """

    entries: list[EndedRun] = []
    last_number: int = 0
    void: int = 0
    arrived: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    def add(self, task: TaskRef, run: int, kind: EndKind) -> None:
        """List an end under the next number."""
        self.last_number += 1
        self.entries.append(EndedRun(self.last_number, task, run, kind, ''))
        self.arrived.set()
        self.arrived = asyncio.Event()

    def acknowledge(self, last_acknowledged: int) -> list[EndedRun]:
        """Remove and return the acknowledged ends."""
        acknowledged = [ended for ended in self.entries if ended.number <= last_acknowledged]
        self.entries = [ended for ended in self.entries if ended.number > last_acknowledged]
        return acknowledged


class CallFaults(msgspec.Struct):
    """Shares of the calls that are affected by each fault, from 0 to 1.

    Attributes:
        late: executed seconds later, without an answer.
        lost: executed, without an answer.
        unreadable: executed, with an answer that cannot be decoded.
        late_s: bounds of the delay of a late call, in s.
        is_lease_renewed: whether the lease of a start that reaches a later incarnation than the one it was sent to
            counts from its arrival, as far as the start granted one.
    """

    late: float = 0
    lost: float = 0
    unreadable: float = 0
    late_s: tuple[float, float] = LATE_S
    is_lease_renewed: bool = False


class MemoryWorker:
    """Worker that runs tasks.

    Attributes:
        kind: its resources and labels.
        gangs: gangs on all workers of the cell.
        up: whether it answers calls and runs tasks.
        hangs: whether its tasks make no progress.
        fails: whether its tasks end as failed.
        slowness: how many times as long its tasks take.
        ends_page: largest number of ends in one status.
        leaving_ms: time left that it reports while it drains, in ms; None if it does not.
    """

    slowness: float = 1
    failure_domain: str = 'a'
    leaving_ms: float | None = None

    def __init__(
        self,
        name: str,
        cpu_m: int,
        checker: InvariantChecker,
        rng: random.Random,
        mem_mb: int = MEMORY_MB,
        gpus: int = 0,
        labels: tuple[str, ...] | None = None,
        gangs: GangTable | None = None,
    ) -> None:
        """Start the first incarnation; by default, its labels are a kind and a rack of its own."""
        self.name = name
        own_labels = ('kind', f'rack-{name}') if labels is None else labels
        self.kind = WorkerKind(cpu_m, mem_mb, gpus, own_labels)
        self.gangs = GangTable() if gangs is None else gangs
        self.checker = checker
        self.rng = rng
        self.rate = rng.uniform(SLOWEST_CLOCK, 1)
        self.up = True
        self.hangs = False
        self.fails = False
        self.draining = False
        self.ends_page = ENDS_PAGE
        self.born_ms = 0
        self.begin_incarnation()

    @property
    def cpu_m(self) -> int:
        """Return the CPU capacity, in thousandths of a core."""
        return self.kind.cpu_m

    @cpu_m.setter
    def cpu_m(self, cpu_m: int) -> None:
        self.kind = msgspec.structs.replace(self.kind, cpu_m=cpu_m)

    def begin_incarnation(self) -> None:
        """Start a new incarnation without any state of the one before; its runs are lost."""
        if self.born_ms:
            self.lose_runs()
        self.born_ms += 1
        self.incarnation_started_at = asyncio.get_running_loop().time()
        self.held: dict[TaskRef, HeldTask] = {}
        self.ends = ListedEnds()
        self.highest_ended_runs: dict[TaskRef, int] = {}
        self.token = 0
        self.lease_ms: float = 0

    def crash(self) -> None:
        """Go down; all its runs are lost."""
        self.up = False
        self.lose_runs()

    def lose_runs(self) -> None:
        """Report all runs as lost; gangs break."""
        for task, held in self.held.items():
            self.checker.end(task, self.name, 'lost', 0)
            if held.gang is not None:
                held.gang.leave(task.index, None)

    def change_kind(self, kind: WorkerKind) -> None:
        """Start a new incarnation under the same id, which is of another kind."""
        now = asyncio.get_running_loop().time()
        self.kind = msgspec.structs.replace(kind, changed_at=now)
        self.begin_incarnation()

    def describe(self) -> Worker:
        """Return the worker's record in the list of workers."""
        return Worker(
            id=self.name,
            address=WORKER_ADDRESS,
            failure_domain=self.failure_domain,
            service='service',
            ready=not self.draining,
            born_ms=self.born_ms,
            cpu_m=self.kind.cpu_m,
            mem_mb=self.kind.mem_mb,
            gpus=self.kind.gpus,
            labels=self.kind.labels,
            leaving_ms=self.leaving_ms,
        )

    def clock_ms(self) -> float:
        """Return the worker's own clock, which runs up to 2% slow, in ms since the start of its incarnation."""
        return (
            (asyncio.get_running_loop().time() - self.incarnation_started_at)
            * MS_PER_S
            * self.rate
        )

    def extend_lease(self, until_ms: float | None) -> None:
        """Extend the lease, by at most `LONGEST_LEASE_MS` from now."""
        if until_ms is not None:
            bounded = min(until_ms, self.clock_ms() + LONGEST_LEASE_MS)
            self.lease_ms = max(self.lease_ms, bounded)

    def check_token(self, token: int) -> None:
        """Refuse an order whose fencing token is lower than an earlier one."""
        if token < self.token:
            raise WorkerRefusedError('fence', 'an order with a higher token has arrived')
        self.token = token

    def start(
        self,
        token: int,
        order: StartOrder,
        step: Step,
        duration_s: float,
        sent_at: float = math.inf,
    ) -> float:
        """Start a run, or repeat the answer for one that runs, and return the worker's clock in ms.

        Another run of the same task does not keep it from starting, as on the platform: the checker records that the task runs
        twice, and the worker goes on with the later start only.

        Args:
            token: fencing token.
            order: the run to start.
            step: step of its task.
            duration_s: how long it works, in s.
            sent_at: loop time at which the order was sent, in s; by default, for the present kind of the worker.

        Raises:
            WorkerRefusedError: the token, the ticket, the run number or the lease is out of date.
        """
        self.expire()
        self.check_token(token)
        check_ticket(self, order)
        held_task = self.held.get(order.task)
        if held_task is not None and held_task.run == order.run:
            return self.clock_ms()
        if order.run <= self.highest_ended_runs.get(order.task, 0):
            raise WorkerRefusedError('old', 'a run with this or a higher number has ended')
        if order.until_ms <= self.clock_ms():
            raise WorkerRefusedError('late', 'the lease has expired')
        self.extend_lease(order.until_ms)
        now = asyncio.get_running_loop().time()
        held = HeldTask(order.run, step, now + duration_s, now)
        held.for_earlier_kind = self.kind.was_unnoticed(sent_at)
        if step.gang:
            self.gangs.join(order.task, held, duration_s)
        self.held[order.task] = held
        self.checker.begin(order.task, order.run, self.name, self.free(step))
        check_route(self, order.task)
        return self.clock_ms()

    def free(self, started: Step) -> dict[str, int]:
        """Return the free amount of each resource that a run which has just started uses.

        There is none to check if all runs were ordered for another kind of worker: no leader can have known what they
        need together.
        """
        if all(held.for_earlier_kind for held in self.held.values()):
            return {}
        free = self.kind.free(held.step for held in self.held.values())
        used = {'cpu_m': 0 if started.fills else started.cpu_m, 'mem_mb': started.mem_mb}
        used['gpus'] = started.gpus
        return {resource: left for resource, left in free.items() if used[resource]}

    def stop(self, token: int, task: TaskRef, run: int) -> None:
        """Stop a run within `LONGEST_STOP_S`, and refuse later starts of this or a lower run number."""
        self.check_token(token)
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), run)
        held_task = self.held.get(task)
        if held_task is not None and held_task.run <= run and held_task.stop_at is None:
            held_task.stop_at = asyncio.get_running_loop().time() + self.rng.uniform(
                0, LONGEST_STOP_S
            )

    def poll(self, token: int, last_acknowledged: int, until_ms: int | None) -> None:
        """Extend the lease and drop the acknowledged ends."""
        self.expire()
        self.check_token(token)
        self.extend_lease(until_ms)
        for dropped in self.ends.acknowledge(last_acknowledged):
            self.checker.acknowledge(
                dropped.task,
                dropped.run,
                dropped.kind.value,
                is_void=dropped.number <= self.ends.void,
            )

    def status(self) -> WorkerStatus:
        """Return the status: runs that are held, and the first page of the ends that are not acknowledged."""
        now = asyncio.get_running_loop().time()
        more_ends = len(self.ends.entries) >= self.ends_page
        running = [
            HeldRun(task, held.run, '', 0 if self.hangs else percent(held, now))
            for task, held in self.held.items()
        ]
        return WorkerStatus(
            self.clock_ms(),
            self.born_ms,
            running,
            self.ends.entries[: self.ends_page],
            whole=not more_ends,
            more_ends=more_ends,
        )

    def finish(self, task: TaskRef, kind: EndKind) -> None:
        """End a run and list its end."""
        held = self.held.pop(task)
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), held.run)
        self.ends.add(task, held.run, kind)
        self.checker.end(task, self.name, kind.value, held.run)
        if held.gang is not None:
            held.gang.leave(task.index, kind)

    def expire(self) -> None:
        """End all runs when the lease has expired; ends that are not acknowledged by then are void."""
        if self.clock_ms() > self.lease_ms:
            for task in list(self.held):
                self.finish(task, EndKind.lapsed)
            self.ends.void = self.ends.last_number

    def work(self) -> None:
        """End the runs that are due."""
        self.expire()
        now = asyncio.get_running_loop().time()
        for task, held in list(self.held.items()):
            kind = self.due_end(held, now)
            if kind is EndKind.done and self.checker.takes_fault(task):
                kind = EndKind.failed
            if kind is not None:
                self.finish(task, kind)

    def due_end(self, held: HeldTask, now: float) -> EndKind | None:
        """Return how a run ends now, None while it continues."""
        if held.stop_at is not None and now >= held.stop_at:
            return EndKind.stopped
        forced = held.gang.forced_end(held, now) if held.gang else None
        is_due = not self.hangs and now >= held.ends_at
        if is_due and self.fails and forced is not EndKind.done:
            return EndKind.failed
        if forced is not None:
            return forced
        return EndKind.done if is_due else None


class SentOrder(msgspec.Struct, frozen=True):
    """Start that is under way.

    Attributes:
        born_ms: incarnation of the worker when it was sent.
        lease_ms: time left until the lease deadline when it was sent, in ms.
    """

    order: StartOrder
    born_ms: int
    lease_ms: float


class MemoryWorkers:
    """Calls of one entry to all workers, with injected faults.

    Attributes:
        unreachable: workers that this entry cannot reach.
        faults: shares of the calls with faults.
        connecting_s: how long a start waits for a connection, in s.
    """

    connecting_s: float = 0

    def __init__(
        self,
        workers: dict[str, MemoryWorker],
        duration_of: Callable[[TaskRef], float],
        rng: random.Random,
    ) -> None:
        """Start without faults."""
        self.workers = workers
        self.duration_of = duration_of
        self.rng = rng
        self.unreachable: set[str] = set()
        self.faults = CallFaults()

    async def execute(self, worker: Worker, command: Callable[[MemoryWorker], object]) -> object:
        """Execute an order at a worker, with the faults in force.

        Raises:
            WorkerUnavailableError: there is no answer, or none that can be decoded.
        """
        target = self.workers[worker.id]
        if worker.id in self.unreachable or not target.up:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('no answer', may_have_run=True)
        await asyncio.sleep(self.rng.uniform(0, 2 * ANSWER_S))
        if self.rng.random() < self.faults.late:
            loop = asyncio.get_running_loop()
            delay_s = self.rng.uniform(*self.faults.late_s)
            loop.call_later(delay_s, execute_late, target, command, context=Context())
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('no answer', may_have_run=True)
        if not target.up:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('went down meanwhile', may_have_run=True)
        answer = command(target)
        if self.rng.random() < self.faults.lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('the answer was lost', may_have_run=True)
        await asyncio.sleep(self.rng.uniform(0, 2 * ANSWER_S))
        if self.rng.random() < self.faults.unreadable:
            raise WorkerUnavailableError('the answer cannot be decoded', may_have_run=True)
        return answer

    def forget(self, worker: str) -> None:
        """Forget nothing, since nothing is kept."""

    async def start(
        self, worker: Worker, token: int, order: StartOrder, may_send: Callable[[], bool]
    ) -> float:
        """Start a run and return the worker's clock in ms; the order leaves once there is a connection.

        Raises:
            OrderWithdrawnError: it must not leave any more.
        """
        if self.connecting_s:
            await asyncio.sleep(self.connecting_s)
        if not may_send():
            raise OrderWithdrawnError('withdrawn before it was sent')
        addressed = self.workers[worker.id]
        step = addressed.checker.submissions[order.task.submission].steps[order.task.step]
        duration_s = self.duration_of(order.task) * addressed.slowness
        sent_at = asyncio.get_running_loop().time()
        sent = SentOrder(order, addressed.born_ms, order.until_ms - addressed.clock_ms())
        unanswered = addressed.checker.unanswered
        unanswered[order.task] = sent_at
        try:
            answer = await self.execute(
                worker,
                lambda target: target.start(
                    token,
                    self.arriving(sent, target),
                    step,
                    duration_s,
                    sent_at if worker.born_ms < target.born_ms else math.inf,
                ),
            )
        except WorkerRefusedError:
            unanswered.pop(order.task, None)
            raise
        unanswered.pop(order.task, None)
        return float(str(answer))

    def arriving(self, sent: SentOrder, target: MemoryWorker) -> StartOrder:
        """Return an order as it arrives: its lease may count from the arrival at a later incarnation."""
        if not self.faults.is_lease_renewed or target.born_ms == sent.born_ms:
            return sent.order
        return msgspec.structs.replace(sent.order, until_ms=int(target.clock_ms() + sent.lease_ms))

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Request the stop of a run."""
        await self.execute(worker, lambda target: target.stop(token, task, run))

    async def poll(
        self,
        worker: Worker,
        token: int,
        last_acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus:
        """Extend the lease, drop the ends up to `last_acknowledged`, and return the status.

        Waits up to `wait_ms` for an end if none is listed.
        """
        await self.execute(worker, lambda target: target.poll(token, last_acknowledged, until_ms))
        target = self.workers[worker.id]
        if wait_ms and not target.ends.entries:
            arrived = target.ends.arrived
            try:
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await arrived.wait()
            except TimeoutError:
                return status_if_up(target)
        return status_if_up(target)


def check_ticket(worker: MemoryWorker, order: StartOrder) -> None:
    """Refuse a start on a queue with placement advice unless its ticket was granted to this incarnation and is valid."""
    submission = worker.checker.submissions.get(order.task.submission)
    if submission is None or submission.policy.advice is None:
        return
    granted, _, until = order.ticket.rpartition(':')
    step = f'{order.task.submission}.{order.task.occurrence}.{order.task.step}'
    now = asyncio.get_running_loop().time()
    if granted != f'{step}:{worker.name}:{worker.born_ms}' or now > float(until):
        raise WorkerRefusedError('ticket', 'the ticket is not valid')


def check_route(worker: MemoryWorker, task: TaskRef) -> None:
    """Check that a run that has started may be on its worker, unless it was ordered for another kind of worker."""
    if not worker.held[task].for_earlier_kind:
        beside = sum(is_same_step(task, held) for held in worker.held)
        worker.checker.check_route(task, worker.name, worker.kind.labels, beside)


def percent(held: HeldTask, now: float) -> float:
    """Return the progress of a run, in whole percent as workers report it."""
    return (now - held.started_at) * 100 // max(held.ends_at - held.started_at, TICK_S)


def is_same_step(one: TaskRef, other: TaskRef) -> bool:
    """Return whether two tasks belong to the same occurrence of a step."""
    return (one.submission, one.occurrence, one.step) == (
        other.submission,
        other.occurrence,
        other.step,
    )


def ticket_text(step: str, worker: MemoryWorker, valid_ms: float) -> str:
    """Return a ticket for the tasks of a step on the present incarnation of a worker."""
    until = asyncio.get_running_loop().time() + valid_ms / MS_PER_S
    return f'{step}:{worker.name}:{worker.born_ms}:{until}'


def status_if_up(target: MemoryWorker) -> WorkerStatus:
    """Return the status, unless the worker has gone down meanwhile."""
    if not target.up:
        raise WorkerUnavailableError('no answer', may_have_run=True)
    status = target.status()
    for listed in (*status.running, *status.ended):
        target.checker.unanswered.pop(listed.task, None)
    return status


def execute_late(target: MemoryWorker, command: Callable[[MemoryWorker], object]) -> None:
    """Execute an order whose sender has timed out."""
    if target.up:
        try:
            command(target)
        except WorkerRefusedError:
            return
