"""Caps of workspaces while starts are in doubt, leaders change and caps change; the invariant `CAP` is checked at each start."""

import asyncio
from functools import partial

import pytest

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.access import Caller
from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.submissions.records import Outcome
from standins.cell.caps import CAP_APPLY_S
from tests.cell.actions import cut_off, reconnect, set_task_duration
from tests.cell.concurrent_faults import GANG_CPU_M, inject_concurrent_faults

ELECTION_S = 1.5
SETTLED_S = 40
TASKS = (Step(count=8, cpu_m=1000),)


def running(cell, name):
    """Return how many tasks of a submission run."""
    return sum(task.submission == name for worker in cell.workers.values() for task in worker.held)


async def start_capped(cell, duration_s=4, lost=0):
    """Wait for a leader, cap the workspace `lab` at four cores, and submit eight tasks of one core each in it."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, duration_s)
    cell.set_cap('lab', cpu_m=4000)
    cell.leader().calls.faults.lost = lost
    await cell.submit(cell.leader(), 'job', TASKS, 'lab')
    await asyncio.sleep(0.5)
    assert running(cell, 'job') == 4


@pytest.mark.parametrize('lost', [0, 1])
def test_leader_killed_with_starts_under_way(run_scenario, lost):
    """Guards against a new leader that fills the cap again beside runs on workers that it cannot reach."""

    async def scenario(cell):
        await start_capped(cell, lost=lost)
        for name in ('w0', 'w1', 'w2'):
            cut_off(cell, name)
        cell.leader().kill()
        await asyncio.sleep(5)
        reconnect(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_runs_of_a_cancelled_submission_count_after_a_takeover(run_scenario):
    """Guards against starts beside runs that an unreachable worker has not stopped: the log holds their submission as ended."""

    async def scenario(cell):
        await start_capped(cell, duration_s=20)
        for name in cell.workers:
            cut_off(cell, name)
        leader = cell.leader()
        answer = await leader.node.acceptance.cancel(SubmissionId('job'), 3, Caller('lab'))
        assert answer is AcceptanceResult.done
        leader.kill()
        for name in ('w1', 'w2', 'w3'):
            for entry in cell.entries:
                entry.calls.unreachable.discard(name)
        await asyncio.sleep(2)
        await cell.submit(cell.leader(), 'next', (Step(count=4, cpu_m=1000),), 'lab')
        await asyncio.sleep(1)
        reconnect(cell)
        await cell.wait_for_outcomes(['next'], SETTLED_S)

    run_scenario(scenario)


def test_cap_is_halved_and_raised(run_scenario):
    """Guards against starts above a cap that was lowered below what runs, and against work that waits once it is raised."""

    async def scenario(cell):
        await start_capped(cell, duration_s=CAP_APPLY_S + 3)
        cell.set_cap('lab', cpu_m=2000)
        await asyncio.sleep(1)
        assert running(cell, 'job') == 4
        cell.set_cap('lab', cpu_m=6000)
        await asyncio.sleep(0.5)
        assert running(cell, 'job') == 6
        cell.set_cap('lab', cpu_m=1000)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_cap_is_lowered_while_placements_are_stored(run_scenario):
    """Guards against starts that were placed under an older cap and ordered seconds later, once the store has answered."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 2)
        cell.set_cap('lab', cpu_m=8000)
        progress = cell.leader().node.dispatcher.progress
        store = progress.store_now

        async def store_slowly(job):
            await asyncio.sleep(CAP_APPLY_S + 1)
            return await store(job)

        progress.store_now = store_slowly
        await cell.submit(cell.leader(), 'job', TASKS, 'lab')
        await asyncio.sleep(0.5)
        progress.store_now = store
        cell.set_cap('lab', cpu_m=2000)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_cap_holds_back_no_others_and_gangs_run_whole(run_scenario):
    """Guards against work that waits behind a workspace at its cap, and against a gang that its own tasks keep out."""

    async def scenario(cell):
        await start_capped(cell)
        for entry in cell.entries:
            entry.calls.duration_of = lambda task: 1 + task.index % 4 / 2
        leader = cell.leader()
        gang = (Step(count=4, cpu_m=1000, gang=True, estimate_ms=2000),)
        wide = (Step(count=5, cpu_m=1000, gang=True),)
        await cell.submit(leader, 'wide', wide, 'lab', priority=0, advice=cell.advice.policy)
        await cell.submit(leader, 'jobs', (Step(count=40, cpu_m=1000),), 'lab')
        await asyncio.sleep(5)
        await cell.submit(leader, 'gang', gang, 'lab', priority=0)
        await cell.submit(leader, 'other', (Step(count=27, cpu_m=1000),), 'club')
        await asyncio.sleep(0.5)
        assert running(cell, 'other') == 27
        await cell.wait_for_outcomes(['gang'], 5)
        await cell.wait_for_outcomes(['job', 'jobs', 'other'], SETTLED_S)
        assert cell.outcome('wide') is Outcome.queued
        assert not cell.advice.asked

    run_scenario(scenario)


def test_nothing_starts_until_the_cap_is_known(run_scenario):
    """Guards against a fresh leader that starts work before it has read a configuration which names its workspace."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        directory = cell.leader().node.workspaces
        directory.version = -1
        await cell.submit(cell.leader(), 'job', TASKS, 'lab')
        await asyncio.sleep(4)
        assert not running(cell, 'job')
        cell.set_cap('lab', cpu_m=3000)
        await asyncio.sleep(0.5)
        assert running(cell, 'job')
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


async def inject_faults_with_caps(cell):
    """Inject concurrent faults under two caps, one of which is halved for some seconds."""
    cell.set_cap('lab', cpu_m=GANG_CPU_M)
    cell.set_cap('club', cpu_m=2 * GANG_CPU_M)
    change_cap = partial(cell.set_cap, 'club', 0.5)
    cell.loop.call_later(8, partial(change_cap, cpu_m=GANG_CPU_M))
    cell.loop.call_later(15, partial(change_cap, cpu_m=2 * GANG_CPU_M))
    await inject_concurrent_faults(cell)


@pytest.mark.parametrize('seed', range(12))
def test_faults_exceed_no_cap(run_scenario, seed):
    """Guards against usage above the caps under any mix of lost answers, late orders, restarts and takeovers."""
    run_scenario(inject_faults_with_caps, seed=seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', range(12, 300))
def test_faults_exceed_no_cap_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(inject_faults_with_caps, seed=seed)
