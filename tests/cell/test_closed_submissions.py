"""Ends of runs whose submission is closed while its outcome is not stored yet."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from standins.cell.log import LogFault
from tests.cell.idle import set_task_duration

ELECTION_S = 1.5
LONG_TASK_S = 30.0
TASK_S = 1.0
SETTLED_S = 30


@pytest.mark.parametrize('seed', range(4))
def test_end_is_not_acknowledged_before_the_outcome_is_stored(run_scenario, seed):
    """Guards against TWICE after a takeover: an end was acknowledged though nothing about it was stored."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        await cell.submit(
            cell.entries[0], 'job', (Step(count=2, cpu_m=500, spread_limit=1),), max_attempts=1
        )
        async with asyncio.timeout(SETTLED_S):
            while len(cell.checker.starts) < 2:
                await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        set_task_duration(cell, TASK_S)
        failing, other = [worker for worker in cell.workers.values() if worker.held]
        other.stop = lambda token, task, run: None
        leader = cell.leader()
        leader.log.fault = LogFault.silent
        failing.fails = True
        for worker, delay_s in ((failing, 0), (other, 0.03)):
            for held in worker.held.values():
                held.ends_at = cell.loop.time() + delay_s
        await asyncio.sleep(0.5)
        failing.crash()
        leader.kill()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        done = next(iter(other.highest_ended_runs))
        assert done == TaskRef(SubmissionId('job'), 0, 0, done.index)
        assert cell.checker.starts[done] == 1

    run_scenario(scenario, seed=seed)
