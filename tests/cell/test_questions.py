"""Calls to the placement advice: for which steps and workers they are made."""

import asyncio

from marigoldlift.submissions.model import AdvicePolicy, Step
from tests.cell.idle import LOST_AFTER_S, IdleWatch, set_task_duration

ELECTION_S = 1.5
LONG_TASK_S = 8.0
SLOW_ADVICE = AdvicePolicy(450, 6.5, 2000)
FILLER = (Step(count=1, cpu_m=6000),)
GANG = (Step(count=2, cpu_m=6000, gang=True),)
GANGS = [f'gang{number}' for number in range(4)]


def test_gangs_that_do_not_fit_do_not_renew_their_tickets(run_scenario):
    """Guards against advice that is busy with tickets for steps that do not fit while steps that fit wait."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        cell.advice.allowed = {'w0'}
        await cell.submit(cell.entries[0], 'filler', FILLER, advice=SLOW_ADVICE)
        await asyncio.sleep(1)
        cell.advice.allowed = {'w0', 'w1'}
        for name in GANGS:
            await cell.submit(cell.entries[0], name, GANG, advice=SLOW_ADVICE)
        await asyncio.sleep(LONG_TASK_S - 2)
        asked = sorted(cell.advice.asked[f'{gang}.0.0'] for gang in GANGS)
        assert set(asked[:-1]) == {1}
        assert asked[-1] > 1

    run_scenario(scenario)


def test_step_that_few_of_many_workers_may_run_starts_in_time(run_scenario):
    """Guards against a step that asks for 30 workers at a time while the free ones that it may use come last."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.5)
        watch = IdleWatch(cell)
        cell.advice.allowed = set(list(cell.workers)[-10:])
        await cell.submit(cell.entries[0], 'job', GANG, advice=SLOW_ADVICE)
        await cell.wait_for_outcomes(['job'], 20)
        assert watch.longest_s['job'] < LOST_AFTER_S

    run_scenario(scenario, workers=175)
