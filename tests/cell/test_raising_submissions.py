"""Submissions whose steps cannot be opened any more, beside others."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from tests.cell.actions import set_task_duration
from tests.cell.idle import LOST_AFTER_S

ELECTION_S = 1.5
TASK_S = 0.3
CHAIN = (Step(count=1, cpu_m=100), Step(count=1, cpu_m=100, after=(0,)))


def break_opening(cell, prefix):
    """Let the opening of steps raise for all submissions whose name begins with a prefix."""
    waiting = cell.leader().node.dispatcher.planner.waiting
    usual = waiting.open_steps

    def open_steps(job, wall_ms):
        if job.id.startswith(prefix):
            raise RuntimeError('injected')
        usual(job, wall_ms)

    waiting.open_steps = open_steps


@pytest.mark.parametrize('broken', [5, 20])
def test_submissions_that_cannot_be_opened_hold_up_no_others(run_scenario, broken):
    """Guards against LOST: each second look at a submission whose steps cannot be opened ends a pass for all."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        for number in range(broken):
            await cell.submit(leader, f'bad{number}', CHAIN)
        break_opening(cell, 'bad')
        await asyncio.sleep(3)
        await cell.submit(leader, 'job', CHAIN)
        await asyncio.sleep(2 * TASK_S + LOST_AFTER_S)
        assert cell.outcome('job') is Outcome.complete
        assert cell.leader() is leader

    run_scenario(scenario)
