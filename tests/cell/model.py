"""A cell of several entries and workers on a virtual clock."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextvars import Context
from typing import Any

import msgspec

from marigoldlift.cell_node import CellNode, NodeLimits, NodeParts
from marigoldlift.errors import AppendRefusedError, PlatformError
from marigoldlift.ids import WorkspaceId
from marigoldlift.leadership.election import Candidate
from marigoldlift.orders.api import Worker
from marigoldlift.platform.workers import decode_worker
from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.access import Caller
from marigoldlift.submissions.model import (
    AdvicePolicy,
    Policy,
    Step,
    Submission,
    SubmissionId,
    TaskRef,
)
from marigoldlift.submissions.records import Accepted, Outcome
from marigoldlift.submissions.record_codec import acceptance_name, decode_record
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.model import NO_WORKSPACE, ResourceCap, Workspace
from standins.cell.gangs import GangTable
from standins.cell.invariants import InvariantChecker
from standins.cell.log import LogClient, MemoryLog
from standins.cell.workers import MemoryWorker, MemoryWorkers, ticket_text
from tests.model.clock import Gate, ModelLoop, spawn_outside

__all__ = ('ModelCell', 'ModelEntry', 'policy')

LEASE_S = 6.0
GANG_WAIT_S = 3.0
OUTCOME_KEPT_S = 120.0
HEARTBEAT_S = 0.5

#: Time without a heartbeat after which a worker is removed from the list, in s.
EXPIRY_S = 4.5

WORK_TICK_S = 0.02
MS_PER_S = 1000


def policy(priority: int = 1, max_attempts: int = 3, advice: AdvicePolicy | None = None) -> Policy:
    """Return the policy of a queue, by default without advice."""
    return Policy('queue', 'service', priority, max_attempts, 2.0, 1000, advice)


def registry_entry(worker: Worker) -> bytes:
    """Return the entry that a worker writes into the platform's registry."""
    return msgspec.json.encode(
        {
            'service': worker.service,
            'addr': worker.address,
            'zone': worker.failure_domain,
            'state': 'ready' if worker.ready else 'draining',
            'capacity': {'cpu': worker.cpu_m, 'mem_mb': worker.mem_mb, 'gpu': worker.gpus},
            'labels': worker.labels,
            'born': worker.born_ms,
            'remaining_ms': worker.leaving_ms,
        }
    )


def always(one: str, other: str) -> bool:
    """Return that one name goes with another, where a test sets no other rule."""
    return True


class ModelAdvice:
    """Placement advice that serves one call at a time for each relay.

    Attributes:
        policy: time that a call takes, in ms.
        allowed: workers that may run tasks; None for all.
        asked: number of calls by step name.
        allows: returns whether a worker may run a step, by their names.
    """

    def __init__(self, workers: Mapping[str, MemoryWorker]) -> None:
        """Allow all workers."""
        self.workers = workers
        self.policy = AdvicePolicy(450, 6.5, 2000)
        self.allowed: set[str] | None = None
        self.allows: Callable[[str, str], bool] = always
        self.asked: Counter[str] = Counter()
        self.locks: dict[str, asyncio.Lock] = {}

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Return tickets for the allowed workers among those asked for, after the time of a call.

        The call is served outside of the caller's process, whose end must not hold up the calls that follow.
        """
        self.asked[step] += 1
        return await spawn_outside(self.serve(relay, step, workers))

    async def serve(self, relay: str, step: str, workers: Sequence[str]) -> dict[str, str]:
        """Serve a call after those of the same relay that came before."""
        async with self.locks.setdefault(relay, asyncio.Lock()):
            await asyncio.sleep(
                (self.policy.decide_ms + self.policy.worker_ms * len(workers)) / MS_PER_S
            )
        return {
            worker: ticket_text(step, self.workers[worker], self.policy.valid_ms)
            for worker in workers
            if (self.allowed is None or worker in self.allowed) and self.allows(step, worker)
        }


class EntryAdvice:
    """Calls of one entry to the placement advice, directly or through another entry."""

    def __init__(self, cell: 'ModelCell', caller: str) -> None:
        """Call the advice of a cell."""
        self.cell = cell
        self.caller = caller

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Return the tickets of the workers that may run a step, unless the caller does not reach the relay."""
        if not self.cell.reaches_relay(self.caller, relay):
            await asyncio.sleep(wait_s)
            raise PlatformError('the relay does not answer')
        return await self.cell.advice.advise(relay, step, workers, wait_s)


class ModelLeaderCalls:
    """Appends records through another entry of the cell."""

    def __init__(self, cell: 'ModelCell') -> None:
        """Call the entries of a cell."""
        self.cell = cell

    async def append_at(
        self, address: str, content: bytes, wait_s: float, doubt_s: float
    ) -> float:
        """Append a record through the entry at an address and return the time of its last response, in s."""
        for entry in self.cell.entries:
            if entry.name == address and not entry.gate.stopped:
                appender = entry.node.appender
                await appender.append(decode_record(content), wait_s, doubt_s)
                return appender.last_response_s
        raise AppendRefusedError('no running entry at this address')


class ModelEntry:
    """One entry: a process that can be paused, killed and started again."""

    def __init__(self, cell: 'ModelCell', name: str) -> None:
        """Start the first incarnation."""
        self.cell = cell
        self.name = name
        self.calls = MemoryWorkers(cell.workers, cell.duration_of, cell.rng)
        self.log = LogClient(cell.log, cell.rng)
        self.workers_log = LogClient(cell.workers_log, cell.rng)
        self.failure_domain = 'a'
        self.incarnation_count = 0
        self.start()

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation_count += 1
        self.gate = Gate(self.cell.loop)
        candidate = Candidate(
            self.name, f'{self.name}-{self.incarnation_count}', self.failure_domain, self.name, 1.0
        )
        parts = NodeParts(
            log=self.log,
            workers_log=self.workers_log,
            decode_worker=decode_worker,
            calls=self.calls,
            advice=EntryAdvice(self.cell, self.name),
            metrics=Metrics(),
            is_indirect=bool,
            leader_calls=ModelLeaderCalls(self.cell),
        )
        self.node = self.gate.context.run(
            CellNode, candidate, parts, self.cell.limits, self.cell.loop.time
        )
        for work in self.node.loops():
            self.gate.spawn(work)
        self.read_configuration()

    def read_configuration(self) -> None:
        """Read the newest configuration."""
        self.node.workspaces.replace(
            self.cell.configuration_version, self.cell.workspaces.values()
        )

    def kill(self) -> None:
        """End the current incarnation at once."""
        self.gate.kill()


class ModelCell:
    """Entries, workers and the two logs of a cell.

    Attributes:
        workspaces: workspaces of the newest configuration, by name.
        configuration_version: its version.
        is_listing: whether heartbeats of workers update the list of workers.
        list_lag_s: time until an entry that a worker writes is in the list of workers, in s.
        last_heartbeat_at: loop time of the last heartbeat of each listed worker, in s.
        silent_workers: workers whose heartbeats do not reach the list of workers.
        reaches_relay: returns whether an entry reaches another one that calls the advice for it, by their names.
    """

    def __init__(
        self,
        loop: ModelLoop,
        seed: int,
        entries: int = 3,
        workers: int = 4,
        outcome_kept_s: float = OUTCOME_KEPT_S,
    ) -> None:
        """Build the cell within a running loop."""
        self.loop = loop
        self.limits = NodeLimits(LEASE_S, GANG_WAIT_S, outcome_kept_s)
        self.rng = random.Random(seed)
        self.checker = InvariantChecker()
        self.log = MemoryLog()
        self.workers_log = MemoryLog()
        self.durations: dict[TaskRef, float] = {}
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self.configuration_version = 0
        names = [f'w{number}' for number in range(workers)]
        gangs = GangTable()
        self.workers = {
            name: MemoryWorker(name, 8000, self.checker, self.rng, gangs=gangs) for name in names
        }
        self.advice = ModelAdvice(self.workers)
        self.is_listing = True
        self.list_lag_s: float = 0
        self.last_heartbeat_at: dict[str, float] = {}
        self.silent_workers: set[str] = set()
        self.reaches_relay: Callable[[str, str], bool] = always
        self.list_workers()
        self.entries = [ModelEntry(self, f'e{number}') for number in range(entries)]
        self.ticking = loop.create_task(self.tick())

    def duration_of(self, task: TaskRef) -> float:
        """Return how long a task takes, in s."""
        return self.durations.setdefault(task, self.rng.uniform(0.2, 2.5))

    def set_cap(self, name: str, lag_s: float = 0, **limits: int) -> None:
        """Change the cap of a workspace, which the entries read within the lag."""
        workspace = Workspace(WorkspaceId(name), cap=ResourceCap(**limits))
        self.workspaces[workspace.name] = workspace
        self.configuration_version += 1
        self.checker.caps.replace(workspace.name, workspace.cap, self.loop.time())
        for entry in self.entries:
            delay_s = self.rng.uniform(0, lag_s) if lag_s else 0
            self.loop.call_later(delay_s, entry.read_configuration, context=Context())

    def list_workers(self) -> None:
        """List the workers that are up and remove those without a heartbeat for `EXPIRY_S`."""
        if not self.is_listing:
            return
        now = self.loop.time()
        for worker in self.workers.values():
            if worker.up and worker.name not in self.silent_workers:
                self.write_entry(worker.name, registry_entry(worker.describe()))
                self.last_heartbeat_at[worker.name] = now
            elif now - self.last_heartbeat_at.get(worker.name, now) > EXPIRY_S:
                self.write_entry(worker.name, b'')
                self.last_heartbeat_at.pop(worker.name)

    def add_worker(self, name: str, cpu_m: int, failure_domain: str) -> None:
        """Start a worker under a new id and list it."""
        gangs = next(iter(self.workers.values())).gangs
        started = MemoryWorker(name, cpu_m, self.checker, self.rng, gangs=gangs)
        started.failure_domain = failure_domain
        self.workers[name] = started
        self.list_workers()

    def remove_worker(self, name: str) -> None:
        """Let a worker exit, with which its runs end, and remove its entry."""
        self.workers[name].crash()
        self.last_heartbeat_at.pop(name, None)
        self.write_entry(name, b'')

    def write_entry(self, name: str, content: bytes) -> None:
        """Write the entry of a worker into the list of workers, at once or after the lag."""
        if self.list_lag_s:
            self.loop.call_later(self.list_lag_s, self.workers_log.store, [(name, content)])
        else:
            self.workers_log.store([(name, content)])

    async def tick(self) -> None:
        """Advance the workers every `WORK_TICK_S` and list them every `HEARTBEAT_S`."""
        listed_at = self.loop.time()
        while True:
            await asyncio.sleep(WORK_TICK_S)
            for worker in self.workers.values():
                if worker.up:
                    worker.work()
            if self.loop.time() - listed_at > HEARTBEAT_S:
                listed_at = self.loop.time()
                self.list_workers()

    async def submit(
        self,
        entry: ModelEntry,
        name: str,
        steps: Sequence[Step],
        workspace: WorkspaceId = NO_WORKSPACE,
        **policy_fields: Any,
    ) -> AcceptanceResult:
        """Submit steps at an entry and return the result."""
        submission = Submission(
            SubmissionId(name),
            'content',
            tuple(steps),
            policy(**policy_fields),
            entry.name,
            workspace=workspace,
        )
        self.checker.submissions[name] = submission
        return await entry.node.acceptance.submit(submission, 3.0, Caller(workspace))

    def accepted(self, names: Iterable[str]) -> list[str]:
        """Return the submissions whose acceptance the log holds."""
        submissions = self.checker.submissions
        return [
            name
            for name in names
            if f's/{acceptance_name(Accepted(submissions[name]))}' in self.log.newest
        ]

    def outcome(self, name: str) -> Outcome | None:
        """Return the state of a submission at the first running entry that has one."""
        for entry in self.entries:
            state = entry.node.state.state_of(SubmissionId(name))
            if not entry.gate.stopped and state is not None:
                return state
        return None

    def leader(self) -> ModelEntry | None:
        """Return the running entry that leads in its own view, None if there is none."""
        for entry in self.entries:
            if not entry.gate.stopped and entry.node.election.tenure is not None:
                return entry
        return None

    async def wait_for_outcomes(self, names: Sequence[str], limit_s: float) -> None:
        """Wait until all submissions have an outcome.

        Raises:
            TimeoutError: a submission has no outcome within the limit.
        """
        async with asyncio.timeout(limit_s):
            while any(self.is_open(name) for name in names):
                await asyncio.sleep(0.1)

    def is_open(self, name: str) -> bool:
        """Return whether a submission has no outcome yet."""
        return self.outcome(name) not in {Outcome.complete, Outcome.failed, Outcome.cancelled}
