"""Random faults one after the other, each followed by a fault-free time in which all tasks have to progress."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from marigoldlift.submissions.model import AdvicePolicy, Step
from standins.cell.workers import MemoryWorker
from tests.cell.model import ModelCell, ModelEntry
from tests.cell.standstill import LOST_WORKER_IDLE_S, StandstillChecker

__all__ = ('FAULTS', 'change_leaders', 'inject_all_faults')

ELECTION_S = 1.5
SPAN_S = 70.0
RECOVERY_LIMIT_S = 60.0
MAX_OPEN = 12

#: Time between two faults, in s: long enough for a standstill to show, or so short that effects of faults overlap.
FAULT_GAP_S = (9.0, 0.5, 2.5)

Fault = Callable[[ModelCell, StandstillChecker], Coroutine[Any, Any, None]]


def pick_worker(cell: ModelCell) -> MemoryWorker | None:
    """Return a worker that is up, half of the time the one with the most tasks; None if half of them are down."""
    running = [worker for worker in cell.workers.values() if worker.up]
    if len(running) * 2 <= len(cell.workers):
        return None
    if cell.rng.choice((True, False)):
        return max(running, key=lambda worker: len(worker.held))
    return cell.rng.choice(running)


async def lose_worker(cell: ModelCell, checker: StandstillChecker) -> None:
    """Crash a worker and restart it under the same id after 5 to 25 s."""
    worker = pick_worker(cell)
    if worker is None:
        return
    worker.crash()
    checker.worker_lost(worker.name)
    cell.loop.call_later(cell.rng.uniform(5, 25), restart_crashed_worker, cell, worker.name)


def restart_crashed_worker(cell: ModelCell, name: str) -> None:
    """Restart a worker that is down."""
    worker = cell.workers[name]
    worker.held = {}
    worker.begin_incarnation()
    worker.up = True


async def restart_worker_at_once(cell: ModelCell, checker: StandstillChecker) -> None:
    """Restart a worker at once; half of the time it crashes again before it has answered a call."""
    worker = pick_worker(cell)
    if worker is None:
        return
    worker.begin_incarnation()
    checker.worker_lost(worker.name)
    if cell.rng.choice((True, False)):
        cell.list_workers()
        worker.crash()
        checker.worker_restarted(worker.name)
        cell.loop.call_later(cell.rng.uniform(12, 25), restart_crashed_worker, cell, worker.name)


async def cut_workers(cell: ModelCell, checker: StandstillChecker) -> None:
    """Make one or two workers unreachable from some entries for 5 to 12 s."""
    affected = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    names = set(cell.rng.sample(sorted(cell.workers), cell.rng.randint(1, 2)))
    for entry in affected:
        entry.calls.unreachable |= names
    with checker.lasting_fault():
        await asyncio.sleep(cell.rng.uniform(5, 12))
    for healed in affected:
        healed.calls.unreachable -= names


async def disrupt_calls(cell: ModelCell, checker: StandstillChecker) -> None:
    """Let workers execute some orders late, lose some answers, or send unreadable ones, for 1 to 6 s."""
    for entry in cell.entries:
        entry.calls.faults.late = cell.rng.choice((0, 0.1, 0.3))
        entry.calls.faults.lost = cell.rng.choice((0, 0.1, 0.3))
        entry.calls.faults.unreadable = cell.rng.choice((0, 0.1, 0.3))
    with checker.lasting_fault():
        await asyncio.sleep(cell.rng.uniform(1, 6))
    for healed in cell.entries:
        healed.calls.faults.late = 0
        healed.calls.faults.lost = 0
        healed.calls.faults.unreadable = 0


async def retire_leader(cell: ModelCell, checker: StandstillChecker) -> None:
    """Let the leader hand over, stop it, and restart it."""
    leader = cell.leader()
    if leader is None:
        return
    await asyncio.wait((leader.gate.spawn(leader.node.election.retire()),))
    checker.leader_retired()
    await restart_later(cell, leader)


async def kill_leader(cell: ModelCell, checker: StandstillChecker) -> None:
    """Kill the leader and restart it."""
    leader = cell.leader()
    if leader is None:
        return
    checker.leader_killed()
    await restart_later(cell, leader)


async def restart_later(cell: ModelCell, entry: ModelEntry) -> None:
    """Stop an entry and restart it after 0.3 to 2 s."""
    entry.kill()
    cell.loop.call_later(cell.rng.uniform(0.3, 2), entry.start)


FAULTS: tuple[Fault, ...] = (
    lose_worker,
    restart_worker_at_once,
    cut_workers,
    disrupt_calls,
    retire_leader,
    kill_leader,
)


async def load(cell: ModelCell, names: list[str], advice: AdvicePolicy | None) -> None:
    """Keep at most `MAX_OPEN` submissions open, so that the workers have twice the capacity that they need."""
    number = 0
    while True:
        await asyncio.sleep(cell.rng.uniform(0.2, 1.2))
        entry = cell.rng.choice(cell.entries)
        open_names = [name for name in names if cell.is_open(name)]
        if entry.gate.stopped or len(open_names) >= MAX_OPEN:
            continue
        steps = [Step(count=cell.rng.randint(1, 3), cpu_m=cell.rng.choice((100, 500)))]
        if cell.rng.choice((True, False)):
            steps.append(Step(count=cell.rng.randint(1, 2), cpu_m=200, after=(0,)))
        name = f'job{number:03}'
        number += 1
        submitting = entry.gate.spawn(
            cell.submit(entry, name, steps, max_attempts=50, advice=advice)
        )
        await asyncio.wait((submitting,), timeout=0.5)
        names.append(name)


async def inject_faults(
    cell: ModelCell, kinds: tuple[Fault, ...], advice: AdvicePolicy | None
) -> None:
    """Load a queue of the cell, inject faults of some kinds one after the other, and wait for all outcomes."""
    cell.advice.policy = advice or cell.advice.policy
    checker = StandstillChecker(cell)
    await asyncio.sleep(ELECTION_S)
    names: list[str] = []
    loading = cell.loop.create_task(load(cell, names, advice))
    until = cell.loop.time() + SPAN_S
    while cell.loop.time() < until:
        await cell.rng.choice(kinds)(cell, checker)
        await asyncio.sleep(cell.rng.choice(FAULT_GAP_S))
    loading.cancel()
    await asyncio.sleep(LOST_WORKER_IDLE_S)
    accepted = cell.accepted(names)
    assert any(map(cell.outcome, names))
    await cell.wait_for_outcomes(accepted, RECOVERY_LIMIT_S)
    assert not checker.violations, checker.violations[:3]


async def inject_all_faults(cell: ModelCell, advice: AdvicePolicy | None = None) -> None:
    """Inject faults of all kinds."""
    await inject_faults(cell, FAULTS, advice)


async def change_leaders(cell: ModelCell, advice: AdvicePolicy | None = None) -> None:
    """Inject changes of the leader and losses of workers."""
    kinds = (lose_worker, restart_worker_at_once, retire_leader, kill_leader)
    await inject_faults(cell, kinds, advice)
