"""Urgent work in a full cell."""

import asyncio

import pytest

from demo.callers import publish_initial_configuration
from demo.harness import CellProcesses
from demo.layout import CellLayout
from demo.observer import observe

pytestmark = pytest.mark.integration

LAYOUT = CellLayout(failure_domains=('recife',), entries=2, workers=2, cpu_milli=8000)

#: Ends only when it is stopped.
ENDLESS = {'kind': 'batch', 'tasks': 6, 'resources': {'cpu_milli': 4000}, 'run_ms': 0}

URGENT = {
    'kind': 'batch',
    'tasks': 1,
    'resources': {'cpu_milli': 8000},
    'run_ms': 200,
    'priority': 100,
}


async def submit(cell, key, spec):
    """Submit a job; return the path under which it is read."""
    entry = next(iter(cell.entries.values()))
    _, reply = await cell.post(
        entry.http, '/v1/workspaces/egbolt/jobs', {'key': key, 'spec': spec}
    )
    assert reply['status'] == 'accepted'
    return f'/v1/workspaces/egbolt/jobs/{reply["handle"]}'


async def wait_counts(cell, path, **counts):
    """Read a job until it has these numbers of tasks by phase."""
    entry = next(iter(cell.entries.values()))
    async with asyncio.timeout(30):
        while (await cell.get(entry.http, path))['counts'] != counts:
            await asyncio.sleep(0.05)


async def test_urgent_job_starts_in_a_full_cell():
    """Guards against urgent work that waits behind endless work, and against over-allocation."""
    async with CellProcesses(LAYOUT) as cell:
        await cell.wait_ready()
        await publish_initial_configuration(cell)
        endless = await submit(cell, 'endless', ENDLESS)
        await wait_counts(cell, endless, assigned=4, pending=2)

        urgent = await submit(cell, 'urgent', URGENT)
        await wait_counts(cell, urgent, succeeded=1)
        await wait_counts(cell, endless, assigned=4, pending=2)

        assert (await observe(cell)).violations() == 0
