"""Random faults of workers, of their entries in the registry and of leaders near them, drawn from a seed."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import msgspec

from standins.cell.kinds import WorkerKind
from standins.cell.workers import CallFaults, MemoryWorker
from tests.cell.concurrent_faults import pick_entry
from tests.cell.model import ModelCell, ModelEntry, registry_entry
from tests.cell.worker_load import KINDS, Load

__all__ = ('FAULTS', 'inject_worker_faults')

ELECTION_S = 1.5
FAULTS_S = 25.0

#: Delay of calls that are executed late, in s.
LATE_S = (2.0, 12.0)

#: Time from the last fault within which all accepted submissions have to reach an outcome, in s.
RECOVERY_LIMIT_S = 120.0

#: Ends in one page of a worker.
PAGE = 2

MS_PER_S = 1000

Fault = Callable[[ModelCell, Load], Coroutine[Any, Any, None]]


def pick_worker(cell: ModelCell) -> MemoryWorker:
    """Return the worker with the most tasks half of the time, else any."""
    workers = list(cell.workers.values())
    if cell.rng.choice((True, False)):
        return max(workers, key=lambda worker: len(worker.held))
    return cell.rng.choice(workers)


def restart(worker: MemoryWorker, kind: WorkerKind | None = None) -> None:
    """Start a new incarnation of a worker, which may be of another kind."""
    if kind is None:
        worker.begin_incarnation()
    else:
        worker.change_kind(kind)
    worker.up = True


@contextlib.contextmanager
def cut_off(cell: ModelCell, worker: MemoryWorker) -> Iterator[None]:
    """Let no entry reach a worker until the context ends."""
    for entry in cell.entries:
        entry.calls.unreachable.add(worker.name)
    try:
        yield
    finally:
        for healed in cell.entries:
            healed.calls.unreachable.discard(worker.name)


@contextlib.contextmanager
def disturbed_calls(cell: ModelCell, late: float, lost: float) -> Iterator[None]:
    """Let a share of all calls be executed late, and another get no answer, until the context ends."""
    for entry in cell.entries:
        entry.calls.faults = CallFaults(late, lost, late_s=LATE_S, is_lease_renewed=True)
    try:
        yield
    finally:
        for healed in cell.entries:
            healed.calls.faults = CallFaults(late_s=LATE_S, is_lease_renewed=True)


@contextlib.contextmanager
def stale_list(cell: ModelCell) -> Iterator[None]:
    """Let the list of workers lag, stop, or neither, until the context ends."""
    cell.is_listing = cell.rng.choice((True, True, False))
    cell.list_lag_s = cell.rng.choice((0, 0, 0.5, 2))
    try:
        yield
    finally:
        cell.is_listing = True
        cell.list_lag_s = 0


async def restart_after_late_orders(cell: ModelCell, load: Load) -> None:
    """Restart a worker once or twice while some of its orders are executed late."""
    with disturbed_calls(cell, cell.rng.choice((0.3, 0.6, 1)), cell.rng.choice((0, 0.3))):
        await asyncio.sleep(cell.rng.uniform(0.3, 2))
    worker = pick_worker(cell)
    with stale_list(cell):
        for _ in range(cell.rng.randint(1, 2)):
            await asyncio.sleep(cell.rng.uniform(0, 4))
            worker.crash()
            await asyncio.sleep(cell.rng.choice((0.05, 0.5, 3)))
            restart(worker)
        await asyncio.sleep(cell.rng.uniform(0, 3))


async def restart_as_other_kind(cell: ModelCell, load: Load) -> None:
    """Restart a worker as a smaller or larger kind, and later as the kind that it was."""
    worker = pick_worker(cell)
    usual = usual_kind(cell, worker)
    other = cell.rng.choice([kind for kind in KINDS if kind.cpu_m != usual.cpu_m])
    labels = (*other.labels, *usual.labels[1:])
    with stale_list(cell):
        worker.crash()
        await asyncio.sleep(cell.rng.choice((0.05, 0.5, 3)))
        restart(worker, msgspec.structs.replace(other, labels=labels))
        await asyncio.sleep(cell.rng.uniform(0.5, 8))
    worker.crash()
    await asyncio.sleep(cell.rng.choice((0.05, 1)))
    restart(worker, usual)


async def overwrite_entries(cell: ModelCell, load: Load) -> None:
    """Overwrite the entries of one or more workers a few times, as another writer does."""
    names = cell.rng.sample(sorted(cell.workers), cell.rng.randint(1, len(cell.workers)))
    for _ in range(cell.rng.randint(1, 6)):
        for name in names:
            cell.write_entry(name, odd_entry(cell, cell.workers[name]))
        await asyncio.sleep(cell.rng.choice((0.05, 0.2, 0.6)))


def odd_entry(cell: ModelCell, worker: MemoryWorker) -> bytes:
    """Return a worker's entry in which a field is missing or has another value."""
    entry = msgspec.json.decode(registry_entry(worker.describe()))
    field, other = cell.rng.choice(
        (
            ('capacity', None),
            ('capacity', {}),
            ('capacity', {'cpu': entry['capacity']['cpu']}),
            ('capacity', 'much'),
            ('service', 'other'),
            ('service', None),
            ('state', 'resting'),
            ('addr', None),
            ('addr', ''),
            ('labels', None),
            ('born', None),
        )
    )
    entry[field] = other
    return msgspec.json.encode({name: left for name, left in entry.items() if left is not None})


async def restart_behind_cut(cell: ModelCell, load: Load) -> None:
    """Cut a worker off, restart it behind the cut, and let it be reached again later."""
    worker = pick_worker(cell)
    late = cell.rng.choice((0, 0.5))
    with disturbed_calls(cell, late, 0):
        await asyncio.sleep(cell.rng.uniform(0, 1))
    with cut_off(cell, worker), stale_list(cell):
        await asyncio.sleep(cell.rng.uniform(0, 7))
        restart(worker)
        await asyncio.sleep(cell.rng.uniform(0, 7))


async def change_leader_near_restart(cell: ModelCell, load: Load) -> None:
    """Kill, pause or retire the leader shortly before or after a worker restarts."""
    worker = pick_worker(cell)
    with disturbed_calls(cell, cell.rng.choice((0, 0.3, 0.6)), cell.rng.choice((0, 0.3))):
        await asyncio.sleep(cell.rng.uniform(0, 1.5))
    restarts = [cell.loop.create_task(restart_later(cell, worker, cell.rng.uniform(0, 3)))]
    change = cell.rng.choice((kill, pause, retire))
    for _ in range(cell.rng.randint(1, 2)):
        await change(cell, pick_entry(cell))
    await asyncio.wait(restarts)


async def restart_later(cell: ModelCell, worker: MemoryWorker, after_s: float) -> None:
    """Restart a worker after a delay."""
    await asyncio.sleep(after_s)
    worker.crash()
    await asyncio.sleep(cell.rng.choice((0.05, 1, 5)))
    restart(worker)


async def kill(cell: ModelCell, entry: ModelEntry) -> None:
    """Kill an entry and start it again after a while."""
    entry.kill()
    await asyncio.sleep(cell.rng.uniform(0.2, 4))
    start_if_dead(entry)


async def pause(cell: ModelCell, entry: ModelEntry) -> None:
    """Pause an entry for up to 8 s."""
    gate = entry.gate
    gate.pause()
    await asyncio.sleep(cell.rng.uniform(0.5, 8))
    gate.resume()


async def retire(cell: ModelCell, entry: ModelEntry) -> None:
    """Let an entry hand over its leadership, if it leads, and start it again."""
    if not entry.gate.stopped:
        await asyncio.wait((entry.gate.spawn(entry.node.election.retire()),), timeout=2)
    await kill(cell, entry)


async def kill_all_after_acceptance(cell: ModelCell, load: Load) -> None:
    """Kill all entries right after one has accepted a submission, and start them again."""
    await asyncio.wait((cell.loop.create_task(load.accepted.wait()),), timeout=3)
    await asyncio.sleep(cell.rng.choice((0, 0.01, 0.1)))
    for entry in cell.entries:
        entry.kill()
    await asyncio.sleep(cell.rng.uniform(0.1, 2))
    for started in cell.entries:
        start_if_dead(started)


def start_if_dead(entry: ModelEntry) -> None:
    """Start an entry unless another fault has; a second start would leave two processes of it running."""
    if entry.gate.dead:
        entry.start()


async def fail_tasks(cell: ModelCell, load: Load) -> None:
    """Let the tasks of a worker fail or make no progress for up to 4 s."""
    worker = pick_worker(cell)
    worker.fails = cell.rng.choice((True, False))
    worker.hangs = not worker.fails
    await asyncio.sleep(cell.rng.uniform(0.5, 4))
    worker.fails = False
    worker.hangs = False


async def disturb_calls(cell: ModelCell, load: Load) -> None:
    """Let workers execute some orders and polls late, or lose some answers, for up to 6 s."""
    with disturbed_calls(cell, cell.rng.choice((0, 0.1, 0.3)), cell.rng.choice((0, 0.1, 0.3))):
        await asyncio.sleep(cell.rng.uniform(1, 6))


async def delay_list(cell: ModelCell, load: Load) -> None:
    """Let the list of workers lag or stop for up to 6 s."""
    with stale_list(cell):
        await asyncio.sleep(cell.rng.uniform(1, 6))


#: Faults by the name of the search that injects them.
FAULTS: dict[str, tuple[Fault, ...]] = {
    'late_orders': (restart_after_late_orders,),
    'other_kind': (restart_as_other_kind,),
    'odd_entries': (overwrite_entries,),
    'leaders': (change_leader_near_restart,),
    'cuts': (restart_behind_cut,),
    'acceptances': (kill_all_after_acceptance,),
}

#: Faults of every search.
USUAL = (fail_tasks, disturb_calls, delay_list)

FAULTS['mix'] = tuple(fault for kind in FAULTS.values() for fault in kind)


async def inject_worker_faults(cell: ModelCell, kind: str) -> None:
    """Load the cell under random faults of a kind, wait until they have ended, then for all outcomes."""
    set_up(cell)
    await asyncio.sleep(ELECTION_S)
    load = Load(cell)
    loading = cell.loop.create_task(load.run(FAULTS_S))
    faults = [cell.rng.choice(FAULTS[kind]) for _ in range(cell.rng.randint(1, 5))]
    faults += [cell.rng.choice(USUAL) for _ in range(cell.rng.randint(0, 3))]
    injecting = [cell.loop.create_task(inject(cell, load, fault)) for fault in faults]
    await asyncio.wait((loading, *injecting))
    for done in injecting:
        done.result()
    await asyncio.sleep(LATE_S[1])
    await cell.wait_for_outcomes(load.stored(), RECOVERY_LIMIT_S)
    load.check_complete()


def usual_kind(cell: ModelCell, worker: MemoryWorker) -> WorkerKind:
    """Return the kind of a worker at the beginning and the end of a scenario."""
    number = list(cell.workers).index(worker.name)
    kind = KINDS[number % len(KINDS)]
    return msgspec.structs.replace(kind, labels=(*kind.labels, f'rack-{number // len(KINDS)}'))


def set_up(cell: ModelCell) -> None:
    """Give the workers their kinds, and let them list their ends in small pages."""
    for worker in cell.workers.values():
        worker.kind = usual_kind(cell, worker)
        worker.ends_page = PAGE
    cell.list_workers()


async def inject(cell: ModelCell, load: Load, fault: Fault) -> None:
    """Inject a fault after a delay."""
    await asyncio.sleep(cell.rng.uniform(0, FAULTS_S))
    await fault(cell, load)
