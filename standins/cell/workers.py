"""In-memory workers: capacity, leases on their own clocks, fencing, ends of runs, late orders."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from marigoldlift.errors import WorkerRefusedError, WorkerUnavailableError
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun, WorkerStatus, StartOrder, Worker
from marigoldlift.submissions.model import Step, TaskRef
from standins.cell.invariants import InvariantChecker

__all__ = ('CallFaults', 'MemoryWorker', 'MemoryWorkers', 'ticket_text')

ANSWER_S = 0.002
CALL_TIMEOUT_S = 0.4
LATE_S = (2.0, 6.0)
TICK_S = 0.05
LONGEST_LEASE_MS = 6000
MS_PER_S = 1000
SLOWEST_CLOCK = 0.98
MEMORY_MB = 1_000_000
LONGEST_STOP_S = 0.8

#: Largest number of ends in one status.
ENDS_PAGE = 500

#: Address in the list of workers; calls find a worker by its id.
WORKER_ADDRESS = '10.0.0.1:80'


class HeldTask:
    """Run that a worker holds."""

    def __init__(self, run: int, step: Step, ends_at: float, now: float) -> None:
        """Start the run; it ends by itself at `ends_at`."""
        self.run = run
        self.step = step
        self.started_at = now
        self.ends_at = ends_at
        self.stop_at: float | None = None


class ListedEnds(msgspec.Struct):
    """Ends that an incarnation of a worker lists.

    Attributes:
        entries: the ends that are not acknowledged.
        last_number: number of the newest end.
        void: number of the last end before the lease lapsed; the ends up to it count as never acknowledged.
    """

    entries: list[EndedRun] = []
    last_number: int = 0
    void: int = 0

    def add(self, task: TaskRef, run: int, kind: EndKind) -> None:
        """List an end under the next number."""
        self.last_number += 1
        self.entries.append(EndedRun(self.last_number, task, run, kind, ''))

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
    """

    late: float = 0
    lost: float = 0
    unreadable: float = 0


class MemoryWorker:
    """Worker that runs tasks.

    Attributes:
        up: whether it answers calls and runs tasks.
        hangs: whether its tasks make no progress.
        fails: whether its tasks end as failed.
        ends_page: largest number of ends in one status.
    """

    def __init__(
        self, name: str, cpu_m: int, checker: InvariantChecker, rng: random.Random
    ) -> None:
        """Start the first incarnation."""
        self.name = name
        self.cpu_m = cpu_m
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

    def begin_incarnation(self) -> None:
        """Start a new incarnation without any state of the one before; its runs are lost."""
        for task in list(getattr(self, 'held', {})):
            self.checker.end(task, self.name, 'lost', 0)
        self.born_ms += 1
        self.incarnation_started_at = asyncio.get_running_loop().time()
        self.held: dict[TaskRef, HeldTask] = {}
        self.ends = ListedEnds()
        self.highest_ended_runs: dict[TaskRef, int] = {}
        self.token = 0
        self.lease_ms: float = 0
        self.end_event = asyncio.Event()

    def crash(self) -> None:
        """Go down; all its runs are lost."""
        self.up = False
        for task in self.held:
            self.checker.end(task, self.name, 'lost', 0)

    def describe(self) -> Worker:
        """Return the worker's record in the list of workers."""
        return Worker(
            id=self.name,
            address=WORKER_ADDRESS,
            failure_domain='a',
            service='service',
            ready=not self.draining,
            born_ms=self.born_ms,
            cpu_m=self.cpu_m,
            mem_mb=MEMORY_MB,
            gpus=0,
            labels=('kind', f'rack-{self.name}'),
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

    def check_ticket(self, order: StartOrder) -> None:
        """Refuse a start on a queue with placement advice unless its ticket was granted to this incarnation and is valid."""
        submission = self.checker.submissions.get(order.task.submission)
        if submission is None or submission.policy.advice is None:
            return
        granted, _, until = order.ticket.rpartition(':')
        step = f'{order.task.submission}.{order.task.occurrence}.{order.task.step}'
        now = asyncio.get_running_loop().time()
        if granted != f'{step}:{self.name}:{self.born_ms}' or now > float(until):
            raise WorkerRefusedError('ticket', 'the ticket is not valid')

    def free_cpu_m(self) -> int:
        """Return the free CPU capacity, in thousandths of a core."""
        return self.cpu_m - sum(held.step.cpu_m for held in self.held.values())

    def start(self, token: int, order: StartOrder, step: Step, duration_s: float) -> float:
        """Start a run, or repeat the answer for one that runs, and return the worker's clock in ms.

        Raises:
            WorkerRefusedError: the token, the ticket, the run number or the lease is out of date.
        """
        self.expire()
        self.check_token(token)
        self.check_ticket(order)
        held_task = self.held.get(order.task)
        if held_task is not None and held_task.run == order.run:
            return self.clock_ms()
        if order.run <= self.highest_ended_runs.get(order.task, 0) or held_task is not None:
            raise WorkerRefusedError(
                'old', 'a run with this or a higher number has ended or is held'
            )
        if order.until_ms <= self.clock_ms():
            raise WorkerRefusedError('late', 'the lease has expired')
        self.extend_lease(order.until_ms)
        now = asyncio.get_running_loop().time()
        self.held[order.task] = HeldTask(order.run, step, now + duration_s, now)
        self.checker.begin(order.task, order.run, self.name, self.free_cpu_m())
        return self.clock_ms()

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
            HeldRun(task, held.run, '', self.percent(held, now))
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

    def percent(self, held: HeldTask, now: float) -> float:
        """Return the progress of a run, in percent."""
        if self.hangs:
            return 0
        return (now - held.started_at) / max(held.ends_at - held.started_at, TICK_S) * 100

    def finish(self, task: TaskRef, kind: EndKind) -> None:
        """End a run and list its end."""
        held = self.held.pop(task)
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), held.run)
        self.ends.add(task, held.run, kind)
        self.checker.end(task, self.name, kind.value, held.run)
        self.end_event.set()
        self.end_event = asyncio.Event()

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
            if kind is not None:
                self.finish(task, kind)

    def due_end(self, held: HeldTask, now: float) -> EndKind | None:
        """Return how a run ends now, None while it continues."""
        if held.stop_at is not None and now >= held.stop_at:
            return EndKind.stopped
        if self.hangs or now < held.ends_at:
            return None
        return EndKind.failed if self.fails else EndKind.done


class MemoryWorkers:
    """Calls of one entry to all workers, with injected faults.

    Attributes:
        unreachable: workers that this entry cannot reach.
        faults: shares of the calls with faults.
    """

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
            loop.call_later(self.rng.uniform(*LATE_S), execute_late, target, command)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('no answer', may_have_run=True)
        answer = command(target)
        if self.rng.random() < self.faults.lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('the answer was lost', may_have_run=True)
        await asyncio.sleep(self.rng.uniform(0, 2 * ANSWER_S))
        if self.rng.random() < self.faults.unreadable:
            raise WorkerUnavailableError('the answer cannot be decoded', may_have_run=True)
        return answer

    async def start(self, worker: Worker, token: int, order: StartOrder) -> float:
        """Start a run and return the worker's clock in ms."""
        checker = self.workers[worker.id].checker
        step = checker.submissions[order.task.submission].steps[order.task.step]
        duration_s = self.duration_of(order.task)
        checker.unanswered[order.task] = asyncio.get_running_loop().time()
        try:
            answer = await self.execute(
                worker, lambda target: target.start(token, order, step, duration_s)
            )
        except WorkerRefusedError:
            checker.unanswered.pop(order.task, None)
            raise
        checker.unanswered.pop(order.task, None)
        return float(str(answer))

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
            end_event = target.end_event
            try:
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await end_event.wait()
            except TimeoutError:
                return status_if_up(target)
        return status_if_up(target)


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
