"""A worker that is gone, and several changes of the leader before its tasks may run elsewhere."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import kill_leader, retire_leader, run_one_task

TASK_S = 60.0

#: Time between two changes of the leader, in s, and number of the changes after the first.
CHANGE_S = 3.5
FURTHER_CHANGES = 3

#: Longest wait for a worker that does not answer, counted from the last leader that had reached it, in s.
UNREACHABLE_S = 10.5

#: Longest time for which a submission with room may have nothing running while a task's turn has come, in s.
STANDSTILL_S = 3.0

JOB = (Step(count=1, cpu_m=1000),)
TASK = TaskRef(SubmissionId('job'), 0, 0, 0)


async def lose_leader_and_worker(cell, change):
    """Lose the leader and the worker of a task at the same time."""
    leader, holder = await run_one_task(cell, JOB, TASK_S)
    cell.remove_worker(holder.name)
    await change(cell, leader)


@pytest.mark.parametrize('further_changes', [0, FURTHER_CHANGES])
@pytest.mark.parametrize('change', [kill_leader, retire_leader])
def test_wait_for_a_gone_worker_does_not_begin_anew(run_scenario, change, further_changes):
    """Guards against a task that waits for a worker as long after each takeover, though no leader since has reached it."""

    async def scenario(cell):
        await lose_leader_and_worker(cell, change)
        lost_at = cell.loop.time()
        for _ in range(further_changes):
            await asyncio.sleep(CHANGE_S)
            await change(cell, cell.leader())
        await asyncio.sleep(max(0, lost_at + UNREACHABLE_S + STANDSTILL_S - cell.loop.time()))
        assert cell.checker.starts[TASK] == 2

    run_scenario(scenario, entries=6, workers=3)
