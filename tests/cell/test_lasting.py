"""Tasks that last and have ended, in a cell with little room."""

import asyncio

import pytest

from marigoldlift.orders.api import EndKind
from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5

#: Time from the end of a task that lasts until it has to run again, in s.
LOST_S = 6 + 3


def test_task_that_lasts_runs_again_in_a_well_used_cell(run_scenario):
    """Guards against LOST: a task that lasts waits for ever for processors that are reserved for urgent submissions."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1000)
        steps = (Step(count=2, cpu_m=500, long_running=True),)
        await cell.submit(cell.leader(), 'job', steps)
        filling = (Step(count=29, cpu_m=500, long_running=True),)
        await cell.submit(cell.leader(), 'urgent', filling, priority=0)
        await asyncio.sleep(2)
        runs = [(worker, task) for worker in cell.workers.values() for task in worker.held]
        assert len(runs) == 31
        worker, task = next(run for run in runs if run[1].submission == 'job')
        worker.finish(task, EndKind.failed)
        await asyncio.sleep(LOST_S)
        assert any(task in worker.held for worker in cell.workers.values())

    run_scenario(scenario, workers=2)


async def fill_cell(cell):
    """Submit a gang that lasts, and services that leave room for it at the workers without one of its members only."""
    set_task_duration(cell, 1000)
    gang = (Step(count=3, cpu_m=500, long_running=True, gang=True),)
    await cell.submit(cell.leader(), 'gang', gang)
    await asyncio.sleep(2)
    members = {worker for worker in cell.workers.values() if worker.held}
    assert len(members) == 1
    for number, worker in enumerate(set(cell.workers.values()) - members):
        filling = (Step(count=15, cpu_m=500, long_running=True, requires=worker.kind.labels[1]),)
        await cell.submit(cell.leader(), f'filling{number}', filling, priority=0)
    await asyncio.sleep(2)
    return members.pop()


@pytest.mark.parametrize('workers', [8, 10])
def test_gang_that_lasts_runs_again_in_a_well_used_cell(run_scenario, workers):
    """Guards against LOST: a gang that lasts waits for ever for processors that are reserved for urgent submissions (review/13)."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        lost = await fill_cell(cell)
        cell.remove_worker(lost.name)
        await asyncio.sleep(LOST_S)
        running = [task for worker in cell.workers.values() if worker.up for task in worker.held]
        assert sum(task.submission == 'gang' for task in running) == 3

    run_scenario(scenario, workers=workers)
