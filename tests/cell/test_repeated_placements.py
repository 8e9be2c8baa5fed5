"""Tasks that are placed again at the worker that they have left, while an order of the earlier placement is under way."""

import asyncio

import pytest

from marigoldlift.errors import WorkerRefusedError
from marigoldlift.submissions.model import Step, SubmissionId
from tests.cell.actions import ELECTION_S, set_task_duration

TASK_S = 2.0
PLACED_S = 0.3
SETTLED_S = 10.0


def hold_first_placement(leader):
    """Let the record of the first placement count as stored only once the returned event is set."""
    progress = leader.node.dispatcher.progress
    store = progress.store_now
    released = asyncio.Event()

    async def store_and_wait(step):
        progress.store_now = store
        is_stored = await store(step)
        await released.wait()
        return is_stored

    progress.store_now = store_and_wait
    return released


def hold_first_start(leader):
    """Let the worker refuse the first start as one for another incarnation once the returned event is set."""
    calls = leader.calls
    start = calls.start
    released = asyncio.Event()

    async def refuse_later(worker, token, order, may_send):
        calls.start = start
        await released.wait()
        raise WorkerRefusedError('instance', 'another incarnation answered')

    calls.start = refuse_later
    return released


def give_up_runs(leader):
    """Let the leader give up all runs, as with the lease of their worker, so that their tasks are placed again."""
    for session in leader.node.dispatcher.session_manager.sessions.values():
        session.reports.give_up(session.run_table.runs.values())


@pytest.mark.parametrize('hold', [hold_first_placement, hold_first_start])
@pytest.mark.parametrize('seed', range(3))
def test_order_of_an_earlier_placement_leaves_the_present_one(run_scenario, hold, seed):
    """Guards against work that is stopped: the end of an earlier order queues a task again that runs by a later one."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        leader = cell.leader()
        released = hold(leader)
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(PLACED_S)
        give_up_runs(leader)
        await asyncio.sleep(PLACED_S)
        step = leader.node.dispatcher.open_submissions.jobs[SubmissionId('job')].steps[0, 0]
        task = step.task(0)
        assert cell.checker.starts[task] == 1
        present = step.active[0]
        released.set()
        await asyncio.sleep(PLACED_S)
        assert step.active.get(0) is present
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.checker.starts[task] == 1

    run_scenario(scenario, seed=seed, workers=1)


async def lose_permission(cell, leader):
    """Let a leader lose the permission to send orders."""
    leader.node.election.may_act = bool


async def cancel(cell, leader):
    """Cancel the submission."""
    await leader.node.acceptance.cancel('job', 3.0)


async def give_up(cell, leader):
    """Let the leader give up all runs."""
    give_up_runs(leader)


@pytest.mark.parametrize('change', [lose_permission, cancel, give_up])
def test_start_that_waits_for_a_connection_is_asked_for_again(run_scenario, change):
    """Guards against UNASKED and TWICE: an order leaves after the wait for a connection, although it is out of date by then."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        leader.calls.connecting_s = PLACED_S
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(PLACED_S / 2)
        placed = leader.node.dispatcher.open_submissions.jobs[SubmissionId('job')].steps[0, 0]
        await change(cell, leader)
        leader.calls.connecting_s = TASK_S
        await asyncio.sleep(PLACED_S)
        assert not cell.checker.starts[placed.task(0)]

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize('seed', range(3))
def test_run_that_was_given_up_is_stopped_where_its_task_is_placed_again(run_scenario, seed):
    """Guards against TWICE and LIMIT: a worker lists a run beside that which is placed there, and nobody stops it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 10 * TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(PLACED_S)
        worker = cell.workers['w0']
        assert len(worker.held) == 1
        released = hold_first_placement(leader)
        give_up_runs(leader)
        await asyncio.sleep(TASK_S)
        assert not worker.held
        released.set()
        await asyncio.sleep(PLACED_S)
        assert [held.run for held in worker.held.values()] == [2]

    run_scenario(scenario, seed=seed, workers=1)
