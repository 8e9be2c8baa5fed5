"""Tasks that last and have ended, in a cell with little room."""

import asyncio

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
