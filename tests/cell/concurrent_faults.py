"""Random load with concurrent random faults, drawn from a seed."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from marigoldlift.submissions.model import Step
from marigoldlift.workspaces.model import NO_WORKSPACE
from standins.cell.log import LogFault
from tests.cell.model import ModelCell, ModelEntry

__all__ = ('GANG_CPU_M', 'inject_concurrent_faults')

ELECTION_S = 1.5
FAULTS_S = 25.0
RECOVERY_LIMIT_S = 90.0

#: Processor time that the gangs of workspaces need at most, in thousandths of a core.
GANG_CPU_M = 8000

Fault = Callable[[ModelCell], Coroutine[Any, Any, None]]


def pick_entry(cell: ModelCell) -> ModelEntry:
    """Return the leader half of the time, else any entry."""
    leader = cell.leader()
    if leader is not None and cell.rng.choice((True, False)):
        return leader
    return cell.rng.choice(cell.entries)


async def kill_entry(cell: ModelCell) -> None:
    """Kill an entry and restart it after 0.2 to 4 s."""
    entry = pick_entry(cell)
    entry.kill()
    await asyncio.sleep(cell.rng.uniform(0.2, 4))
    entry.start()


async def kill_all(cell: ModelCell) -> None:
    """Kill all entries and restart them after 1 s."""
    for entry in cell.entries:
        entry.kill()
    await asyncio.sleep(1)
    for started in cell.entries:
        started.start()


async def pause_entry(cell: ModelCell) -> None:
    """Pause an entry for 0.5 to 8 s."""
    gate = pick_entry(cell).gate
    gate.pause()
    await asyncio.sleep(cell.rng.uniform(0.5, 8))
    gate.resume()


async def fail_log(cell: ModelCell) -> None:
    """Inject one kind of log fault at some or all entries for 0.5 to 8 s."""
    fault = cell.rng.choice(list(LogFault))
    affected = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    for entry in affected:
        entry.log.fault = fault
    await asyncio.sleep(cell.rng.uniform(0.5, 8))
    for healed in affected:
        healed.log.fault = None


async def drop_history(cell: ModelCell) -> None:
    """Drop all but the newest record of each key from both logs."""
    cell.log.drop_history()
    cell.workers_log.drop_history()


async def cut_workers(cell: ModelCell) -> None:
    """Make one or two workers unreachable from some entries for 0.5 to 9 s."""
    affected = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    names = set(cell.rng.sample(sorted(cell.workers), cell.rng.randint(1, 2)))
    for entry in affected:
        entry.calls.unreachable |= names
    await asyncio.sleep(cell.rng.uniform(0.5, 9))
    for healed in affected:
        healed.calls.unreachable -= names


async def disrupt_calls(cell: ModelCell) -> None:
    """Let workers execute some orders late or lose some answers, for 1 to 6 s."""
    for entry in cell.entries:
        entry.calls.faults.late = cell.rng.choice((0, 0.1, 0.3))
        entry.calls.faults.lost = cell.rng.choice((0, 0.1, 0.3))
    await asyncio.sleep(cell.rng.uniform(1, 6))
    for healed in cell.entries:
        healed.calls.faults.late = 0
        healed.calls.faults.lost = 0


async def restart_worker(cell: ModelCell) -> None:
    """Take a worker down and restart it under the same id."""
    worker = cell.rng.choice(list(cell.workers.values()))
    worker.up = False
    await asyncio.sleep(cell.rng.choice((0.05, 1, 5)))
    worker.begin_incarnation()
    worker.up = True


async def hang_worker(cell: ModelCell) -> None:
    """Let the tasks of a worker make no progress for 1 to 6 s."""
    worker = cell.rng.choice(list(cell.workers.values()))
    worker.hangs = True
    await asyncio.sleep(cell.rng.uniform(1, 6))
    worker.hangs = False


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_all,
    pause_entry,
    fail_log,
    drop_history,
    cut_workers,
    disrupt_calls,
    restart_worker,
    hang_worker,
)


async def load(cell: ModelCell, names: list[str]) -> None:
    """Submit 40 submissions at random entries and random times, those of the cell's workspaces by turns.

    In workspaces, every third submission that is narrow enough for all caps is a gang.
    """
    workspaces = tuple(cell.workspaces) or (NO_WORKSPACE,)
    for number in range(40):
        await asyncio.sleep(cell.rng.expovariate(40 / FAULTS_S))
        entry = cell.rng.choice(cell.entries)
        if entry.gate.stopped:
            continue
        steps = [Step(count=cell.rng.randint(1, 6), cpu_m=cell.rng.choice((500, 2000, 4000)))]
        if cell.rng.choice((True, False)):
            steps.append(Step(count=cell.rng.randint(1, 3), cpu_m=1000, after=(0,)))
        if cell.workspaces and not number % 3 and steps[0].count * steps[0].cpu_m <= GANG_CPU_M:
            steps[0] = msgspec.structs.replace(steps[0], gang=True)
        name = f'job{number:02}'
        workspace = workspaces[number % len(workspaces)]
        submitting = entry.gate.spawn(cell.submit(entry, name, steps, workspace, max_attempts=5))
        names.append(name)
        await asyncio.wait((submitting,), timeout=0.5)


async def inject_concurrent_faults(cell: ModelCell) -> None:
    """Load the cell under random faults, wait until they have ended, then wait for all outcomes."""
    await asyncio.sleep(ELECTION_S)
    names: list[str] = []
    loading = cell.loop.create_task(load(cell, names))
    injecting = [
        cell.loop.create_task(inject_fault(cell, cell.rng.uniform(0, FAULTS_S)))
        for _ in range(cell.rng.randint(1, 6))
    ]
    await asyncio.wait((loading, *injecting))
    await asyncio.sleep(8)
    accepted = cell.accepted(names)
    assert any(map(cell.outcome, names))
    await cell.wait_for_outcomes(accepted, RECOVERY_LIMIT_S)


async def inject_fault(cell: ModelCell, after_s: float) -> None:
    """Inject one random fault after a delay."""
    await asyncio.sleep(after_s)
    await cell.rng.choice(FAULTS)(cell)
