"""Random troubles one after the other, each followed by a calm time in which all work has to go on."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from marigoldlift.submissions.model import Step
from standins.cell.workers import LATE_S, MemoryWorker
from tests.cell.model import ModelCell, ModelEntry
from tests.cell.standstill import LOST_WORKER_IDLE_S, StandstillChecker

__all__ = ('change_leaders', 'inject_all_faults')

ELECTION_S = 1.5
SPAN_S = 70.0
RECOVERY_LIMIT_S = 60.0
MAX_OPEN = 12

#: Calm time between two troubles, in s; long enough for a standstill to show, or short so that they meet.
FAULT_GAP_S = (9.0, 0.5, 2.5)

Fault = Callable[[ModelCell, StandstillChecker], Coroutine[Any, Any, None]]


def pick_worker(cell: ModelCell, watch: StandstillChecker) -> MemoryWorker | None:
    """Return a worker that is up, the busiest half of the time; None when half of them are down.

    None also while a late order is under way: no token keeps a worker that has lost its memory from carrying it out.
    """
    if cell.loop.time() < watch.late_until:
        return None
    sound = [worker for worker in cell.workers.values() if worker.up]
    if len(sound) * 2 <= len(cell.workers):
        return None
    if cell.rng.choice((True, False)):
        return max(sound, key=lambda worker: len(worker.held))
    return cell.rng.choice(sound)


async def lose_worker(cell: ModelCell, watch: StandstillChecker) -> None:
    """Let a worker go down, and a new life come under its id after a while."""
    worker = pick_worker(cell, watch)
    if worker is None:
        return
    worker.crash()
    watch.worker_lost(worker.name)
    cell.loop.call_later(cell.rng.uniform(5, 25), restart_crashed_worker, cell, worker.name)


def restart_crashed_worker(cell: ModelCell, name: str) -> None:
    """Start a worker again."""
    worker = cell.workers[name]
    worker.held = {}
    worker.begin_incarnation()
    worker.up = True


async def restart_worker_at_once(cell: ModelCell, watch: StandstillChecker) -> None:
    """Start a worker again at once; half of the time it goes down again before it has answered."""
    worker = pick_worker(cell, watch)
    if worker is None:
        return
    worker.begin_incarnation()
    watch.worker_lost(worker.name)
    if cell.rng.choice((True, False)):
        cell.list_workers()
        worker.crash()
        watch.worker_restarted(worker.name)
        cell.loop.call_later(cell.rng.uniform(12, 25), restart_crashed_worker, cell, worker.name)


async def cut_workers(cell: ModelCell, watch: StandstillChecker) -> None:
    """Cut some workers off from some entries for 5 to 12 s."""
    struck = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    names = set(cell.rng.sample(sorted(cell.workers), cell.rng.randint(1, 2)))
    for entry in struck:
        entry.calls.unreachable |= names
    with watch.lasting_fault():
        await asyncio.sleep(cell.rng.uniform(5, 12))
    for healed in struck:
        healed.calls.unreachable -= names


async def disrupt_calls(cell: ModelCell, watch: StandstillChecker) -> None:
    """Let orders be carried out late, their answers be lost, or be such that nobody can read them."""
    for entry in cell.entries:
        entry.calls.faults.late = cell.rng.choice((0, 0.1, 0.3))
        entry.calls.faults.lost = cell.rng.choice((0, 0.1, 0.3))
        entry.calls.faults.unreadable = cell.rng.choice((0, 0.1, 0.3))
    with watch.lasting_fault():
        await asyncio.sleep(cell.rng.uniform(1, 6))
    watch.late_until = cell.loop.time() + LATE_S[1]
    for healed in cell.entries:
        healed.calls.faults.late = 0
        healed.calls.faults.lost = 0
        healed.calls.faults.unreadable = 0


async def retire_leader(cell: ModelCell, watch: StandstillChecker) -> None:
    """Stop the leader as planned, and start it again."""
    leader = cell.leader()
    if leader is None:
        return
    await asyncio.wait((leader.gate.spawn(leader.node.election.retire()),))
    watch.leader_retired()
    await restart_later(cell, leader)


async def kill_leader(cell: ModelCell, watch: StandstillChecker) -> None:
    """Kill the leader, and start it again."""
    leader = cell.leader()
    if leader is None:
        return
    watch.leader_killed()
    await restart_later(cell, leader)


async def restart_later(cell: ModelCell, entry: ModelEntry) -> None:
    """Start an entry again that is gone."""
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


async def load(cell: ModelCell, names: list[str]) -> None:
    """Keep a few submissions open, so that there is always room for them twice over."""
    number = 0
    while True:
        await asyncio.sleep(cell.rng.uniform(0.2, 1.2))
        entry = cell.rng.choice(cell.entries)
        opened = [name for name in names if cell.is_open(name)]
        if entry.gate.stopped or len(opened) >= MAX_OPEN:
            continue
        steps = [Step(count=cell.rng.randint(1, 3), cpu_m=cell.rng.choice((100, 500)))]
        if cell.rng.choice((True, False)):
            steps.append(Step(count=cell.rng.randint(1, 2), cpu_m=200, after=(0,)))
        name = f'job{number:03}'
        number += 1
        handed_in = entry.gate.spawn(cell.submit(entry, name, steps, max_attempts=50))
        await asyncio.wait((handed_in,), timeout=0.5)
        names.append(name)


async def inject_faults(cell: ModelCell, kinds: tuple[Fault, ...]) -> None:
    """Load the cell, let troubles of some kinds come in a row, and wait for all outcomes."""
    watch = StandstillChecker(cell)
    await asyncio.sleep(ELECTION_S)
    names: list[str] = []
    loading = cell.loop.create_task(load(cell, names))
    until = cell.loop.time() + SPAN_S
    while cell.loop.time() < until:
        await cell.rng.choice(kinds)(cell, watch)
        await asyncio.sleep(cell.rng.choice(FAULT_GAP_S))
    loading.cancel()
    await asyncio.sleep(LOST_WORKER_IDLE_S)
    accepted = [name for name in names if f's/{name}' in cell.log.newest]
    await cell.wait_for_outcomes(accepted, RECOVERY_LIMIT_S)
    assert not watch.violations, watch.violations[:3]


async def inject_all_faults(cell: ModelCell) -> None:
    """Play all kinds."""
    await inject_faults(cell, FAULTS)


async def change_leaders(cell: ModelCell) -> None:
    """Play changes of the leader while workers are lost."""
    await inject_faults(cell, (lose_worker, restart_worker_at_once, retire_leader, kill_leader))
