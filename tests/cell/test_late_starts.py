"""Starts that leave long after their placement, because the log or the leader is slow."""

import asyncio

import pytest

from marigoldlift.scheduling.stalls import STALL_S
from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 4


def store_late(leader, delay_s):
    """Let the record of each placement be stored late."""
    progress = leader.node.dispatcher.progress
    store = progress.store_now

    async def store_now(step):
        await asyncio.sleep(delay_s)
        return await store(step)

    progress.store_now = store_now


def note_stops(leader):
    """Return the list of the tasks that the leader stops from now on."""
    starter = leader.node.dispatcher.starter
    stop = starter.stop
    stopped = []

    def note(session, task):
        stopped.append(task)
        stop(session, task)

    starter.stop = note
    return stopped


@pytest.mark.parametrize('delay_s', [STALL_S + 0.1, STALL_S + 1])
def test_run_that_begins_late_does_not_stand_still(run_scenario, delay_s):
    """Guards against healthy runs that are stopped, and their workers avoided, since they were placed long ago."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        store_late(leader, delay_s)
        stopped = note_stops(leader)
        await cell.submit(leader, 'job', (Step(count=4, cpu_m=500),))
        await cell.wait_for_outcomes(['job'], delay_s + TASK_S + 2)
        assert not stopped

    run_scenario(scenario)


def test_run_without_progress_is_stopped(run_scenario):
    """Guards against a run that stands still for good at a worker that answers."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        stopped = note_stops(leader)
        for worker in cell.workers.values():
            worker.hangs = True
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=500),))
        await asyncio.sleep(STALL_S + 1.5)
        assert stopped
        for worker in cell.workers.values():
            worker.hangs = False
        await cell.wait_for_outcomes(['job'], 30)

    run_scenario(scenario)
