"""Workers in memory: room, leases on a clock of their own, fencing, ends, gangs, late orders."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from marigoldlift.errors import WorkerRefusedError, WorkerUnavailableError
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun, WorkerStatus, StartOrder, Worker
from marigoldlift.submissions.model import Step, TaskRef
from standins.cell.invariants import InvariantChecker

__all__ = ('CallFaults', 'MemoryWorker', 'MemoryWorkers')

ANSWER_S = 0.002
CALL_TIMEOUT_S = 0.4
LATE_S = (2.0, 6.0)
TICK_S = 0.05
LONGEST_LEASE_MS = 6000
MS_PER_S = 1000
SLOWEST_CLOCK = 0.98
MEMORY_MB = 1_000_000
LONGEST_STOP_S = 0.8


class HeldTask:
    """A run on a worker."""

    def __init__(self, run: int, step: Step, ends_at: float, now: float) -> None:
        """Start the work."""
        self.run = run
        self.step = step
        self.started_at = now
        self.ends_at = ends_at
        self.stop_at: float | None = None


class CallFaults(msgspec.Struct):
    """Shares of the calls that are struck.

    Attributes:
        late: not carried out now but seconds later, without an answer.
        lost: carried out without an answer.
        unreadable: carried out, with an answer that cannot be read.
    """

    late: float = 0
    lost: float = 0
    unreadable: float = 0


class MemoryWorker:
    """One machine that runs tasks.

    Attributes:
        up: whether it answers and works.
        hangs: its tasks stand still.
        fails: its tasks end as failed.
    """

    def __init__(
        self, name: str, cpu_m: int, checker: InvariantChecker, rng: random.Random
    ) -> None:
        """Start the first life."""
        self.name = name
        self.cpu_m = cpu_m
        self.checker = checker
        self.rng = rng
        self.rate = rng.uniform(SLOWEST_CLOCK, 1)
        self.up = True
        self.hangs = False
        self.fails = False
        self.draining = False
        self.born_ms = 0
        self.begin_incarnation()

    def begin_incarnation(self) -> None:
        """Begin a life that knows nothing of the one before."""
        for task in list(getattr(self, 'held', {})):
            self.checker.end(task, self.name, 'lost')
        self.born_ms += 1
        self.incarnation_started_at = asyncio.get_running_loop().time()
        self.held: dict[TaskRef, HeldTask] = {}
        self.ends: list[EndedRun] = []
        self.highest_ended_runs: dict[TaskRef, int] = {}
        self.number = 0
        self.token = 0
        self.lease_ms: float = 0
        self.end_event = asyncio.Event()

    def crash(self) -> None:
        """Go down for good; all that ran there has ended."""
        self.up = False
        for task in self.held:
            self.checker.end(task, self.name, 'lost')

    def entry(self) -> Worker:
        """Return the worker's report about itself."""
        return Worker(
            id=self.name,
            address=self.name,
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
        """Return the worker's own clock."""
        return (
            (asyncio.get_running_loop().time() - self.incarnation_started_at)
            * MS_PER_S
            * self.rate
        )

    def extend(self, until_ms: float | None) -> None:
        """Renew the lease."""
        if until_ms is not None:
            bounded = min(until_ms, self.clock_ms() + LONGEST_LEASE_MS)
            self.lease_ms = max(self.lease_ms, bounded)

    def check_token(self, token: int) -> None:
        """Refuse an order of an earlier holder."""
        if token < self.token:
            raise WorkerRefusedError('fence', 'a higher token was seen')
        self.token = token

    def free_cpu_m(self) -> int:
        """Return the room that is left."""
        return self.cpu_m - sum(held.step.cpu_m for held in self.held.values())

    def start(self, token: int, order: StartOrder, step: Step, duration_s: float) -> float:
        """Carry a start out."""
        self.expire()
        self.check_token(token)
        known = self.held.get(order.task)
        if known is not None and known.run == order.run:
            return self.clock_ms()
        if order.run <= self.highest_ended_runs.get(order.task, 0) or known is not None:
            raise WorkerRefusedError('old', 'a run as high has ended')
        if order.until_ms <= self.clock_ms():
            raise WorkerRefusedError('late', 'the lease has passed')
        self.extend(order.until_ms)
        now = asyncio.get_running_loop().time()
        self.held[order.task] = HeldTask(order.run, step, now + duration_s, now)
        self.checker.begin(order.task, order.run, self.name, self.free_cpu_m())
        return self.clock_ms()

    def stop(self, token: int, task: TaskRef, run: int) -> None:
        """Carry a stop out."""
        self.check_token(token)
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), run)
        known = self.held.get(task)
        if known is not None and known.run <= run and known.stop_at is None:
            known.stop_at = asyncio.get_running_loop().time() + self.rng.uniform(0, LONGEST_STOP_S)

    def poll(self, token: int, last_acknowledged: int, until_ms: int | None) -> None:
        """Renew the lease and forget ends."""
        self.expire()
        self.check_token(token)
        self.extend(until_ms)
        forgotten = [ended for ended in self.ends if ended.number <= last_acknowledged]
        for noted in forgotten:
            self.checker.note(noted.task, noted.kind.value)
            self.ends.remove(noted)

    def listing(self) -> WorkerStatus:
        """Return both lists."""
        now = asyncio.get_running_loop().time()
        running = [
            HeldRun(task, held.run, '', self.percent(held, now))
            for task, held in self.held.items()
        ]
        return WorkerStatus(self.clock_ms(), self.born_ms, running, list(self.ends), whole=True)

    def percent(self, held: HeldTask, now: float) -> float:
        """Return the share of the work that is done."""
        if self.hangs:
            return 0
        return (now - held.started_at) / max(held.ends_at - held.started_at, TICK_S) * 100

    def finish(self, task: TaskRef, kind: EndKind) -> None:
        """End a run, and with it the other members of its gang here."""
        held = self.held.pop(task)
        self.number += 1
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), held.run)
        self.ends.append(EndedRun(self.number, task, held.run, kind, ''))
        self.checker.end(task, self.name, kind.value)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def expire(self) -> None:
        """End all runs when the lease has passed."""
        if self.held and self.clock_ms() > self.lease_ms:
            for task in list(self.held):
                self.finish(task, EndKind.lapsed)

    def work(self) -> None:
        """End what is due."""
        self.expire()
        now = asyncio.get_running_loop().time()
        for task, held in list(self.held.items()):
            kind = self.due_end(held, now)
            if kind is not None:
                self.finish(task, kind)

    def due_end(self, held: HeldTask, now: float) -> EndKind | None:
        """Return how a run ends now, None while it goes on."""
        if held.stop_at is not None and now >= held.stop_at:
            return EndKind.stopped
        if self.hangs or now < held.ends_at:
            return None
        return EndKind.failed if self.fails else EndKind.done


class MemoryWorkers:
    """All workers, as one entry reaches them.

    Attributes:
        unreachable: workers that this entry cannot reach.
        faults: what happens to calls.
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

    async def reach(self, worker: Worker, carry_out: Callable[[MemoryWorker], object]) -> object:
        """Carry an order out, with the faults in force."""
        target = self.workers[worker.id]
        if worker.id in self.unreachable or not target.up:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('no answer', may_have_run=True)
        await asyncio.sleep(self.rng.uniform(0, 2 * ANSWER_S))
        if self.rng.random() < self.faults.late:
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(*LATE_S), carry_out_late, target, carry_out)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('no answer', may_have_run=True)
        answer = carry_out(target)
        if self.rng.random() < self.faults.lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerUnavailableError('the answer was lost', may_have_run=True)
        await asyncio.sleep(self.rng.uniform(0, 2 * ANSWER_S))
        if self.rng.random() < self.faults.unreadable:
            raise WorkerUnavailableError('the answer cannot be read', may_have_run=True)
        return answer

    async def start(self, worker: Worker, token: int, order: StartOrder) -> float:
        """Start a run and return the worker's clock in ms."""
        checker = self.workers[worker.id].checker
        step = checker.submissions[order.task.submission].steps[order.task.step]
        duration_s = self.duration_of(order.task)
        answer = await self.reach(
            worker, lambda target: target.start(token, order, step, duration_s)
        )
        return float(str(answer))

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Ask a run to end."""
        await self.reach(worker, lambda target: target.stop(token, task, run))

    async def poll(
        self,
        worker: Worker,
        token: int,
        last_acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus:
        """Renew the lease, forget the ends up to `last_acknowledged`, and list what is there."""
        await self.reach(worker, lambda target: target.poll(token, last_acknowledged, until_ms))
        target = self.workers[worker.id]
        if wait_ms and not target.ends:
            end_event = target.end_event
            try:
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await end_event.wait()
            except TimeoutError:
                return listing_if_up(target)
        return listing_if_up(target)


def listing_if_up(target: MemoryWorker) -> WorkerStatus:
    """Return both lists, unless the worker has gone down meanwhile."""
    if not target.up:
        raise WorkerUnavailableError('no answer', may_have_run=True)
    return target.listing()


def carry_out_late(target: MemoryWorker, carry_out: Callable[[MemoryWorker], object]) -> None:
    """Carry an order out whose sender has given up."""
    if target.up:
        try:
            carry_out(target)
        except WorkerRefusedError:
            return
