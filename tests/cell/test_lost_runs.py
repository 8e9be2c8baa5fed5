"""Runs that a leader knows as lost, over a change of the leader before their tasks have room again."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import ELECTION_S, kill_leader, retire_leader, run_one_task

TASK_S = 60.0

#: Time within which the lease of a lost worker has certainly lapsed, in s.
LAPSE_S = 8.0

#: Longest time for which a submission with room may have nothing running while a task's turn has come, in s.
STANDSTILL_S = 3.0

JOB = (Step(count=1, cpu_m=5000),)
TASK = TaskRef(SubmissionId('job'), 0, 0, 0)


async def lose_run(cell):
    """Lose the worker of a task for good, and wait until the leader knows that the run is lost; no other worker has room."""
    leader, holder = await run_one_task(cell, JOB, TASK_S)
    for other in cell.workers.values():
        other.draining = True
    cell.remove_worker(holder.name)
    cell.list_workers()
    step = leader.node.dispatcher.open_submissions.jobs[TASK.submission].steps[0, 0]
    async with asyncio.timeout(LAPSE_S):
        while not step.todo:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    return leader


def give_room(cell):
    """Let all workers that are left take new tasks."""
    for worker in cell.workers.values():
        worker.draining = False
    cell.list_workers()


async def kill_all(cell, leader):
    """Kill all entries and start them again."""
    for entry in cell.entries:
        entry.kill()
    for entry in cell.entries:
        entry.start()


async def keep_leader(cell, leader):
    """Change nothing."""


@pytest.mark.parametrize('change', [keep_leader, kill_leader, retire_leader, kill_all])
def test_task_of_a_lost_run_does_not_wait_again(run_scenario, change):
    """Guards against a task that the next leader holds back for a worker which the one before knew to have lost it."""

    async def scenario(cell):
        leader = await lose_run(cell)
        await change(cell, leader)
        give_room(cell)
        await asyncio.sleep(ELECTION_S + STANDSTILL_S)
        assert cell.checker.starts[TASK] == 2

    run_scenario(scenario, workers=2)
