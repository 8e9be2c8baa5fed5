"""Start latency of urgent jobs in a cell that is full of tasks of lower priority."""

import asyncio
import random
import time

from demo.callers import publish_initial_configuration
from demo.harness import CellProcesses
from demo.layout import CellLayout
from demo.observer import observe

__all__ = ('run',)

#: Target for the 99th percentile of the time from submission to assignment, in seconds.
TARGET_S = 5.8

LAYOUT = CellLayout(failure_domains=('recife',), entries=2, workers=6)

#: Tasks of low priority that fill the cell, and further ones that stay pending.
FILLING_TASKS = 48
WAITING_TASKS = 12

URGENT_JOBS = 40
URGENT_AT_ONCE = 5

JOBS_PATH = '/v1/workspaces/egbolt/jobs'
POLL_S = 0.01
TAIL = 0.99


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows."""
    return asyncio.run(measure(random.Random(seed)))


async def measure(rng: random.Random) -> list[str]:
    """Fill a cell, submit urgent jobs and measure the time until their tasks are assigned."""
    async with CellProcesses(LAYOUT) as cell:
        await cell.wait_ready()
        await publish_initial_configuration(cell)
        await fill_cell(cell)
        starts_s: list[float] = []
        for first in range(0, URGENT_JOBS, URGENT_AT_ONCE):
            batch = range(first, first + URGENT_AT_ONCE)
            starts_s.extend(
                await asyncio.gather(*(time_urgent_job(cell, number, rng) for number in batch))
            )
        observed = await observe(cell)
    starts_s.sort()
    median_s = starts_s[len(starts_s) // 2]
    tail_s = starts_s[int(len(starts_s) * TAIL)]
    met = 'met' if tail_s <= TARGET_S else 'not met'
    return [
        f'urgent jobs: {len(starts_s)}, {URGENT_AT_ONCE} at once, in a full cell of 6 workers',
        f'submission to assignment: p50 {median_s:.2f} s, p99 {tail_s:.2f} s',
        f'target p99 below {TARGET_S} s: {met}',
        f'violations: {observed.violations()}',
    ]


async def fill_cell(cell: CellProcesses) -> None:
    """Fill the cell with tasks that run until they are stopped, and wait for their assignment."""
    spec = {
        'kind': 'batch',
        'tasks': FILLING_TASKS + WAITING_TASKS,
        'resources': {'cpu_milli': 4000},
        'run_ms': 0,
        'max_attempts': 1000,
    }
    path = await submit(cell, 'filling', spec)
    while await count_tasks(cell, path, 'assigned') < FILLING_TASKS:
        await asyncio.sleep(POLL_S)


async def time_urgent_job(cell: CellProcesses, number: int, rng: random.Random) -> float:
    """Submit one urgent job; return the seconds until its task is assigned."""
    spec = {
        'kind': 'batch',
        'tasks': 1,
        'resources': {'cpu_milli': rng.choice((4000, 8000, 16_000))},
        'run_ms': 500,
        'priority': 100,
    }
    started_s = time.monotonic()
    path = await submit(cell, f'urgent-{number}', spec)
    while await count_tasks(cell, path, 'pending'):
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started_s


async def submit(cell: CellProcesses, key: str, spec: dict[str, object]) -> str:
    """Submit a job and return the HTTP path of its status."""
    entry = next(iter(cell.entries.values()))
    _, reply = await cell.post(entry.http, JOBS_PATH, {'key': key, 'spec': spec})
    return f'{JOBS_PATH}/{reply["handle"]}'


async def count_tasks(cell: CellProcesses, path: str, phase: str) -> int:
    """Return the number of tasks of a job in a phase."""
    entry = next(iter(cell.entries.values()))
    view = await cell.get(entry.http, path)
    return view['counts'].get(phase, 0)
