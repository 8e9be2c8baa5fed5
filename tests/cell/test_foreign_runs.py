"""Runs that workers list although no leader has ordered them, of tasks that wait."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from standins.cell.workers import HeldTask

ELECTION_S = 1.5
LONG_TASK_S = 30.0
SETTLED_S = 20


@pytest.mark.parametrize('gang', [False, True])
def test_tasks_run_after_an_unreachable_worker_can_no_longer_hold_them(run_scenario, gang):
    """Guards against a gang that never runs again because none of its members could be started at the first attempt."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        tasks = [TaskRef(SubmissionId('job'), 0, 0, index) for index in range(2)]
        cell.durations.update(dict.fromkeys(tasks, LONG_TASK_S))
        await cell.submit(cell.entries[0], 'job', (Step(count=2, cpu_m=2000, gang=gang),))
        await asyncio.sleep(1)
        holder = next(worker for worker in cell.workers.values() if worker.held)
        other = next(worker for worker in cell.workers.values() if not worker.held)
        now = cell.loop.time()
        other.held.update(
            {
                task: HeldTask(run.run, run.step, LONG_TASK_S, now)
                for task, run in holder.held.items()
            }
        )
        run_table = cell.leader().node.dispatcher.session_manager.sessions[other.name].run_table
        while not all(task in run_table.runs for task in tasks):
            await asyncio.sleep(0.01)
        cell.durations.update(dict.fromkeys(tasks, 1.0))
        cell.leader().calls.unreachable.add(other.name)
        holder.fails = True
        for run in holder.held.values():
            run.ends_at = 0
        await asyncio.sleep(0.3)
        holder.fails = False
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=3)
