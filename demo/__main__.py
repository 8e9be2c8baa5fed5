"""Demo: runs one small cell on the loopback interface under load and prints a table of the results."""

import asyncio
import sys
import time
from typing import Any

from demo.callers import CallerLoad, LoadPlan, publish_initial_configuration
from demo.harness import CellProcesses
from demo.layout import CellLayout
from demo.observer import Observation, observe

__all__ = ('main',)

SEED = 20260

#: Time within which an accepted change set has to be in force at every entry, in seconds.
IN_FORCE_LIMIT_S = 4.0

MS_PER_S = 1000

#: Percentiles of the waiting times in the table.
MEDIAN = 50
TAIL = 99


async def change_configuration(cell: CellProcesses) -> tuple[float, bool]:
    """Publish a change set and wait until it is in force at every entry.

    Returns:
        The waiting time in seconds, and whether the change set was in force at every entry after it.
    """
    started_s = time.monotonic()
    change = {'kind': 'policy', 'name': 'spread-out', 'base_version': 0, 'value': {'spread': 4}}
    entry = next(iter(cell.entries.values()))
    body = {'author': 'demo', 'changes': [change]}
    _, reply = await cell.post(entry.http, '/v1/operator/configuration', body)
    return time.monotonic() - started_s, bool(reply['in_force'])


def rows_of(load: CallerLoad) -> list[tuple[str, str]]:
    """Return the table rows with the answers to callers and the waiting times."""
    rows = [
        (f'{kind} {status}', str(count)) for (kind, status), count in sorted(load.answered.items())
    ]
    for service, histogram in load.waiting.items():
        median_ms = histogram.get_value_at_percentile(MEDIAN) / MS_PER_S
        tail_ms = histogram.get_value_at_percentile(TAIL) / MS_PER_S
        rows.append((f'{service} waiting time p50/p99', f'{median_ms:.1f} / {tail_ms:.1f} ms'))
    return rows


def violations_of(load: CallerLoad, observation: Observation) -> dict[str, int]:
    """Return the counts that must be zero, by row name."""
    bad_jobs = sum(
        count
        for (kind, status), count in load.answered.items()
        if kind in {'batch', 'gang'} and status != 'succeeded'
    )
    return {
        'wrong answers': len(load.wrong),
        'doubled charges': len(observation.doubled_keys()),
        'lost charges': max(len(load.completed_charges) - observation.key_starts(), 0),
        'requests without known outcome': load.count('unknown'),
        'jobs lost or failed': bad_jobs,
        'tasks in two places': len(observation.overlapping),
        'over-allocations': sum(observation.over_allocated.values()),
    }


def print_table(rows: list[tuple[str, Any]]) -> None:
    """Print rows in two columns."""
    width = max(len(name) for name, _ in rows)
    for name, shown in rows:
        print(f'{name:<{width}}  {shown}')


async def run() -> int:
    """Run the demo and return the exit code.

    Returns:
        0 if the change came into force in time and no violation was counted, otherwise 1.
    """
    async with CellProcesses(CellLayout()) as cell:
        await cell.wait_ready()
        initial_reply = await publish_initial_configuration(cell)
        load = CallerLoad(cell, LoadPlan(), SEED)
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(1)
        in_force_s, in_force = await change_configuration(cell)
        await load_task
        violations = violations_of(load, await observe(cell))
        size = f'{len(cell.entries)} / {len(cell.workers)}'
    table = [
        ('entries / workers', size),
        *rows_of(load),
        ('first configuration in force everywhere', initial_reply['in_force']),
        ('change in force on every entry after', f'{in_force_s:.2f} s'),
        *violations.items(),
    ]
    print_table(table)
    in_time = in_force and in_force_s <= IN_FORCE_LIMIT_S
    return 0 if in_time and not any(violations.values()) else 1


def main() -> None:
    """Run the demo and exit with its exit code."""
    sys.exit(asyncio.run(run()))


if __name__ == '__main__':
    main()
