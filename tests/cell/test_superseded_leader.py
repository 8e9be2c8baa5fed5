"""Ends of runs that only a leader without the log was told of."""

import asyncio

import pytest

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.model import AdvicePolicy, Step, TaskRef
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 2.0

#: Longer than a leader may act without a confirmed renewal, shorter than the leases that it has given by then.
LONG_TASK_S = 6.5
NEXT_LEADER_S = 2.0
FOUND_S = 1.0

LAST_OF_FIRST_STEP = TaskRef('job', 0, 0, 0)
CHAIN = (Step(count=1, cpu_m=1000), Step(count=3, cpu_m=1000, after=(0,)))
GANG_CHAIN = (Step(count=2, cpu_m=1000, gang=True), Step(count=3, cpu_m=1000, after=(0,)))


def lose_log(entry):
    """Let an entry no longer reach the log; return a function that lets it reach the log and all workers again."""
    usual_read = entry.log.read

    async def read(start, wait_ms):
        await asyncio.sleep(1)
        raise LogUnavailableError('cut off')

    def restore():
        entry.log.fault = None
        entry.log.read = usual_read
        entry.calls.unreachable.clear()

    entry.log.read = read
    entry.log.fault = LogFault.silent
    return restore


async def end_under_cut_leader(cell, steps, policy, task_s=TASK_S):
    """Let the first step end at a worker that leaves while the leader is cut off; return how to end the cut."""
    set_task_duration(cell, task_s)
    cell.advice.policy = AdvicePolicy(50, 1, 2000)
    leader = cell.leader()
    await cell.submit(leader, 'job', steps, **policy)
    await asyncio.sleep(1)
    holders = [one for one in cell.workers.values() if one.held]
    names = {holder.name for holder in holders}
    for other in cell.entries:
        other.calls.unreachable.update(cell.workers.keys() - names if other is leader else names)
    restore = lose_log(leader)
    await asyncio.sleep(task_s)
    for holder in holders:
        holder.crash()
        cell.write_entry(holder.name, b'')
        cell.last_heartbeat_at.pop(holder.name)
    await asyncio.sleep(NEXT_LEADER_S)
    return restore


async def expect_one_run(cell, steps, policy, task_s):
    """Check that the first step runs once, and the second one as soon as the cut has ended."""
    await asyncio.sleep(ELECTION_S)
    restore = await end_under_cut_leader(cell, steps, policy, task_s)
    restore()
    await asyncio.sleep(FOUND_S)
    assert cell.checker.starts[TaskRef('job', 0, 1, 0)] == 1
    await cell.wait_for_outcomes(['job'], 2 * task_s)
    assert cell.outcome('job') is Outcome.complete
    assert cell.checker.starts[LAST_OF_FIRST_STEP] == 1


@pytest.mark.parametrize('policy', [{}, {'advice': AdvicePolicy(50, 1, 2000)}])
@pytest.mark.parametrize('steps', [CHAIN, GANG_CHAIN])
def test_end_that_only_a_superseded_leader_knows_is_not_lost(run_scenario, steps, policy):
    """Guards against a task that is done and runs again, for as long as it takes, while the steps after it stand still."""
    run_scenario(lambda cell: expect_one_run(cell, steps, policy, TASK_S), workers=6)


@pytest.mark.parametrize('steps', [CHAIN, GANG_CHAIN])
def test_end_after_the_lease_of_the_leader_is_not_lost(run_scenario, steps):
    """Guards against the same for an end that comes once the cut leader may send no orders any more."""
    run_scenario(lambda cell: expect_one_run(cell, steps, {}, LONG_TASK_S), workers=6)


def test_end_of_a_superseded_leader_outlives_all_processes(run_scenario):
    """Guards against the same where all entries are killed soon after the cut."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        restore = await end_under_cut_leader(cell, CHAIN, {})
        restore()
        await asyncio.sleep(FOUND_S)
        for entry in cell.entries:
            entry.kill()
        for entry in cell.entries:
            entry.start()
        await cell.wait_for_outcomes(['job'], ELECTION_S + 3 * TASK_S)
        assert cell.checker.starts[LAST_OF_FIRST_STEP] == 1

    run_scenario(scenario, workers=6)
