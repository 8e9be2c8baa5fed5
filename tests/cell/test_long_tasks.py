"""Tasks that take minutes, so that a percent of their work takes seconds."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
MS_PER_S = 1000
WATCHED_S = 60


@pytest.mark.parametrize('estimate_share', [0.5, 1, 2])
@pytest.mark.parametrize('task_s', [100, 250, 900])
def test_long_task_is_not_stopped_between_two_percents(run_scenario, task_s, estimate_share):
    """Guards against LOST: a task that shows no progress for 2 s is stopped and started again, and never ends."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, task_s)
        estimate_ms = task_s * estimate_share * MS_PER_S
        step = Step(count=2, cpu_m=1000, estimate_ms=estimate_ms)
        await cell.submit(cell.leader(), 'job', (step,))
        await asyncio.sleep(WATCHED_S)
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)


@pytest.mark.parametrize(('task_s', 'starts'), [(100, 1), (250, 2), (900, 4)])
def test_long_task_without_an_estimate_is_allowed_more_time_at_each_start(
    run_scenario, task_s, starts
):
    """Guards against LOST: a task whose percents take longer than any fixed bound is stopped for ever."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, task_s)
        await cell.submit(cell.leader(), 'job', (Step(count=2, cpu_m=1000),))
        await asyncio.sleep(WATCHED_S)
        assert set(cell.checker.starts.values()) == {starts}
        await cell.wait_for_outcomes(['job'], 2 * task_s)

    run_scenario(scenario)
