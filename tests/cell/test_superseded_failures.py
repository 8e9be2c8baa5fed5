"""A failure that only a leader without the log was told of."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from tests.cell.test_superseded_leader import LAST_OF_FIRST_STEP, end_under_cut_leader

ELECTION_S = 1.5
SETTLED_S = 30.0

#: Time after the cut within which the superseded leader has stored what it was told, in s.
REPORTED_S = 10.0

GANG = (Step(count=2, cpu_m=1000, gang=True),)


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


@pytest.mark.parametrize('steps', [(Step(count=1, cpu_m=1000),), GANG])
def test_failures_under_two_leaders_add_up(run_scenario, steps):
    """Guards against a task, or a gang, with two attempts that runs a third time, since the first failure is forgotten."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        # Any member may be the first of a gang to end.
        members = [TaskRef(SubmissionId('job'), 0, 0, index) for index in range(steps[0].count)]
        cell.checker.own_faults.update(dict.fromkeys(members, 2))
        restore = await end_under_cut_leader(cell, steps, {'max_attempts': 2})
        restore()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.outcome('job') is Outcome.failed
        assert cell.checker.starts[LAST_OF_FIRST_STEP] == 2

    run_scenario(scenario, workers=6)


def test_failure_of_a_superseded_leader_outlives_all_processes(run_scenario):
    """Guards against the same where all entries are killed before any leader has read of the failure."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.checker.own_faults[LAST_OF_FIRST_STEP] = 1
        steps = (Step(count=1, cpu_m=1000),)
        superseded = cell.leader()
        restore = await end_under_cut_leader(cell, steps, {'max_attempts': 1})
        for other in cell.entries:
            if other is not superseded:
                other.kill()
        restore()
        async with asyncio.timeout(REPORTED_S):
            while not any(key.startswith('e/') for key in cell.log.newest):
                await asyncio.sleep(0.01)
        superseded.kill()
        for entry in cell.entries:
            entry.start()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.outcome('job') is Outcome.failed
        assert cell.checker.starts[LAST_OF_FIRST_STEP] == 1

    run_scenario(scenario, workers=6)
