"""A failure that only a leader without the log was told of."""

import asyncio

from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from tests.cell.test_superseded_leader import LAST_OF_FIRST_STEP, end_under_cut_leader

ELECTION_S = 1.5
SETTLED_S = 30.0


def test_failure_that_only_a_superseded_leader_knows_counts(run_scenario):
    """Guards against a task that runs once more than its queue allows, after the worker of its last failure has left."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.checker.own_faults[LAST_OF_FIRST_STEP] = 1
        steps = (Step(count=1, cpu_m=1000),)
        restore = await end_under_cut_leader(cell, steps, {'max_attempts': 1})
        restore()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.outcome('job') is Outcome.failed
        assert cell.checker.starts[LAST_OF_FIRST_STEP] == 1

    run_scenario(scenario, workers=6)
