"""Turns of urgent submissions at a leader whose passes end at the limit of the starts in flight."""

import asyncio

from marigoldlift.scheduling.start_limits import MAX_STARTS
from marigoldlift.submissions.model import Step, TaskRef
from tests.cell.actions import set_task_duration
from tests.cell.test_slow_starts import SlowStarts

ELECTION_S = 1.5
TASK_S = 60.0

#: Less urgent submissions that wait when the urgent ones arrive; starting all of them takes 6 s of the leader, the urgent ones 1 s.
SMALL = 600
URGENT = 100

#: Time after which the urgent submissions arrive, and in which all of them are started, in s.
ARRIVAL_S = 1.0
STARTED_S = 6.0


def count_started(cell, name, count):
    """Return how many of the submissions with a name have started their task."""
    return sum(cell.checker.starts[TaskRef(f'{name}{number}', 0, 0, 0)] for number in range(count))


def submit_each(cell, name, count, priority):
    """Hand in submissions of one small task."""
    step = (Step(count=1, cpu_m=10),)
    return [
        cell.loop.create_task(
            cell.submit(cell.entries[0], f'{name}{number}', step, priority=priority)
        )
        for number in range(count)
    ]


def test_urgent_steps_do_not_wait_behind_a_burst(run_scenario):
    """Guards against urgent work that is held up by less urgent steps which came before it and had no turn yet.

    Only as many of these may start before it as may be in flight.
    """

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        SlowStarts(cell, leader)
        submitting = submit_each(cell, 'small', SMALL, 1)
        await asyncio.sleep(ARRIVAL_S)
        started_before = count_started(cell, 'small', SMALL)
        submitting.extend(submit_each(cell, 'urgent', URGENT, 0))
        async with asyncio.timeout(STARTED_S):
            while count_started(cell, 'urgent', URGENT) < URGENT:
                await asyncio.sleep(0.02)
        assert count_started(cell, 'small', SMALL) - started_before <= MAX_STARTS
        await asyncio.gather(*submitting)

    run_scenario(scenario)
