"""Cost of an owner by number of owned workers, their tasks, workers of its peers, and listed VMs."""

import asyncio
from collections.abc import Iterator, Sequence

import msgspec

from bench.cell_meter import BenchCell, Usage, median_usage, usage_rows
from bench.fit import fit_line
from bench.output import print_rows
from bench.prefill import listed_vm
from demo.callers import publish_initial_configuration
from demo.layout import CellLayout

__all__ = ('run',)

DOMAIN = 'recife'

#: Numbers of workers owned by the only entry of the domain.
OWNED = (8, 32, 96, 160)

#: Numbers of running tasks on each of the 32 workers.
TASKS = (1, 3, 6, 12)
TASK_WORKERS = 32

#: Numbers of workers in a domain with 4 entries; each entry owns a quarter and tracks the rest.
SHARED = (40, 120, 240)
SHARED_ENTRIES = 4

#: Numbers of VMs of other failure domains in the VM list, up to the design target.
LISTED = (0, 1500, 4000, 7700)
LIST_WORKERS = 8

SETTLE_S = 4.0

#: Two polling periods of the VM list, so that all windows contain the same number of reads of it.
WINDOW_S = 4.0
WINDOWS = 3
READY_TIMEOUT_S = 60.0
MAX_TASKS_OF_JOB = 64

#: Purposes whose traffic may depend on the size.
PURPOSES = ('workers', 'vm list')


class Case(msgspec.Struct):
    """A cell to measure.

    Attributes:
        workers: workers of its only failure domain.
        tasks: running tasks on each worker.
        entries: entries of the failure domain.
        listed: additional VMs of other failure domains in the VM list.
    """

    workers: int
    tasks: int = 0
    entries: int = 1
    listed: int = 0


async def measure(case: Case) -> Usage:
    """Return the usage of one entry while the cell gets no requests."""
    layout = CellLayout(
        failure_domains=(DOMAIN,),
        entries=case.entries,
        workers=case.workers,
        cpu_milli=1_000_000,
        memory_mb=1_000_000,
    )
    listed = [listed_vm(number) for number in range(case.listed)]
    async with BenchCell(layout, listed) as cell:
        await cell.wait_ready(READY_TIMEOUT_S)
        if case.tasks:
            await start_tasks(cell, case.workers * case.tasks)
        await asyncio.sleep(SETTLE_S)
        return await median_usage(cell, WINDOW_S, WINDOWS)


async def start_tasks(cell: BenchCell, tasks: int) -> None:
    """Start tasks that run until they are stopped, and wait until all of them run."""
    await publish_initial_configuration(cell)
    entry = next(iter(cell.entries.values()))
    for number in range(-(-tasks // MAX_TASKS_OF_JOB)):
        spec = {
            'kind': 'service',
            'tasks': min(MAX_TASKS_OF_JOB, tasks - number * MAX_TASKS_OF_JOB),
            'resources': {'cpu_milli': 50_000, 'memory_mb': 1000},
        }
        body = {'key': f'service-{number}', 'spec': spec}
        await cell.post(entry.http, '/v1/workspaces/egbolt/jobs', body)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while await running_tasks(cell) < tasks:
            await asyncio.sleep(0.2)


async def running_tasks(cell: BenchCell) -> int:
    """Count the running tasks of all jobs."""
    entry = next(iter(cell.entries.values()))
    listed = await cell.get(entry.http, '/v1/operator/jobs')
    return sum(job['running'] for job in listed['jobs'])


async def measure_all(cases: Sequence[Case]) -> list[Usage]:
    """Measure several cells concurrently."""
    return await asyncio.gather(*map(measure, cases))


def rows_for(title: str, per: str, sizes: Sequence[int], usages: Sequence[Usage]) -> Iterator[str]:
    """Yield the measured usages and the fitted lines."""
    yield from usage_rows(title, sizes, usages)
    cpu_line = fit_line(sizes, [used.cpu_ms for used in usages])
    yield f'{title}: processor {cpu_line.describe("ms/s", per)}'
    for purpose in PURPOSES:
        traffic_line = fit_line(sizes, [used.traffic[purpose] for used in usages])
        yield f'{title}: traffic of the {purpose} {traffic_line.describe("B/s", per)}'


def peer_worker_row(owned: Sequence[Usage], shared: Sequence[Usage]) -> str:
    """Return the processor time that an entry spends on a worker owned by another entry.

    It follows from the slopes: with `SHARED_ENTRIES` entries, each entry owns only a share of the workers.
    """
    owned_ms = fit_line(OWNED, [used.cpu_ms for used in owned]).slope
    mixed_ms = fit_line(SHARED, [used.cpu_ms for used in shared]).slope
    share = 1 / SHARED_ENTRIES
    peer_owned_ms = (mixed_ms - owned_ms * share) / (1 - share)
    return f'worker that another entry owns: processor {peer_owned_ms:.4f} ms/s'


async def measure_rows() -> list[str]:
    """Measure all cells and return the rows."""
    # Measured concurrently, since the cost of a worker owned by a peer is computed from both.
    owned, shared = await asyncio.gather(
        measure_all([Case(workers) for workers in OWNED]),
        measure_all([Case(workers, entries=SHARED_ENTRIES) for workers in SHARED]),
    )
    tasks = await measure_all([Case(TASK_WORKERS, tasks) for tasks in TASKS])
    listed = await measure_all([Case(LIST_WORKERS, listed=vms) for vms in LISTED])
    return [
        *rows_for('owned workers', 'worker', OWNED, owned),
        *rows_for(f'{TASK_WORKERS} workers, tasks on each', 'task on each', TASKS, tasks),
        *rows_for(
            f'workers of a domain with {SHARED_ENTRIES} entries',
            'worker of the domain',
            SHARED,
            shared,
        ),
        peer_worker_row(owned, shared),
        *rows_for('VMs listed elsewhere', 'listed VM', LISTED, listed),
    ]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; nothing is random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_owner', run)


if __name__ == '__main__':
    main()
