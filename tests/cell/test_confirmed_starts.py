"""Starts without an answer that a status has confirmed, over the loss of the leader and of their worker."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef

ELECTION_S = 1.5
TASK_S = 60.0
CONFIRMED_S = 2.0

#: Longest time until the task of a worker that does not answer is started again, and for the change of the leader, in s.
RESTART_S = 10.5
TAKEOVER_S = 3.0

FIRST = TaskRef(SubmissionId('job'), 0, 0, 0)
TASK = TaskRef(SubmissionId('job'), 0, 1, 0)
STEPS = (Step(count=1, cpu_m=1000), Step(count=1, cpu_m=1000, after=(0,)))

#: Run time of the first task, after which the submission counts as begun, in s.
FIRST_S = 1.0


@pytest.mark.parametrize('lost', [0, 1], ids=['answered', 'answer_lost'])
def test_task_with_a_confirmed_start_waits_as_one_with_an_answer(run_scenario, lost):
    """Guards against a task that waits 20 s for late copies of a start which is known to have been executed."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.durations.update({FIRST: FIRST_S, TASK: TASK_S})
        leader = cell.leader()
        await cell.submit(leader, 'job', STEPS)
        await asyncio.sleep(FIRST_S / 2)
        leader.calls.faults.lost = lost
        while not any(TASK in worker.held for worker in cell.workers.values()):
            await asyncio.sleep(0.001)
        leader.calls.faults.lost = 0
        await asyncio.sleep(CONFIRMED_S)
        holder = next(worker for worker in cell.workers.values() if TASK in worker.held)
        leader.kill()
        cell.remove_worker(holder.name)
        await asyncio.sleep(TAKEOVER_S + RESTART_S)
        assert cell.checker.starts[TASK] == 2

    run_scenario(scenario)
