"""Runs that have ended while nobody polled their worker, which lists the ends in several pages."""

import asyncio

import pytest

from marigoldlift.orders.ends import STALL_S
from marigoldlift.scheduling.dispatcher import TAKEOVER_WAIT_S
from marigoldlift.scheduling.events import RunEvents
from marigoldlift.scheduling.session_manager import may_get_work
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault
from tests.cell.idle import set_task_duration
from tests.cell.model import LEASE_S

ELECTION_S = 1.5
TASK_S = 0.8
JOBS = [f'job{number}' for number in range(8)]
SETTLED_S = 30

#: Ends in one page; each worker has several pages.
PAGE = 3

#: Time until an answer of a slow log, in s; a page is acknowledged only once its ends are stored.
SLOW_LOG_S = 0.3

#: How long a leader is paused, in s: longer than an election, shorter than the leases of its workers.
PAUSE_S = 3.5

#: Longest time in which a worker's few pages are read while the log answers, in s: the wait of a takeover.
READING_S = TAKEOVER_WAIT_S

SINGLE = (Step(count=4, cpu_m=200, spread_limit=1),)
GANG = (Step(count=3, cpu_m=200, gang=True),)
CHAIN = (Step(count=3, cpu_m=200), Step(count=2, cpu_m=200, after=(0,)))


async def submit_all(cell, steps, **policy_fields):
    """Submit all jobs, and return once the tasks of their first steps are running."""
    for worker in cell.workers.values():
        worker.ends_page = PAGE
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    for name in JOBS:
        await cell.submit(cell.entries[0], name, steps, **policy_fields)
    async with asyncio.timeout(SETTLED_S):
        while len(cell.checker.starts) < len(JOBS) * steps[0].count:
            await asyncio.sleep(0.01)


async def leader_that_reads(cell):
    """Return the next leader, once it has read a page of ended runs."""
    async with asyncio.timeout(SETTLED_S):
        while True:
            leader = cell.leader()
            if leader and any(session.ends.last_listed for session in sessions_of(leader)):
                return leader
            await asyncio.sleep(0.005)


def sessions_of(leader):
    """Return the sessions of a leader, none before its tenure begins."""
    dispatcher = leader.node.dispatcher
    return dispatcher.session_manager.sessions.values() if dispatcher else ()


def assert_started_once(cell):
    """Check that no task was started again."""
    assert {task.name: count for task, count in cell.checker.starts.items() if count > 1} == {}


@pytest.mark.parametrize('steps', [SINGLE, GANG, CHAIN], ids=['single', 'gang', 'chain'])
def test_no_task_starts_again_whose_end_is_not_listed_yet(run_scenario, steps):
    """Guards against a takeover that starts tasks again which are done, but whose ends are on a later page."""

    async def scenario(cell):
        await submit_all(cell, steps)
        cell.leader().kill()
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert {cell.outcome(name) for name in JOBS} == {Outcome.complete}
        assert_started_once(cell)

    run_scenario(scenario)


def test_failure_that_is_not_listed_yet_counts_as_an_attempt(run_scenario):
    """Guards against a run beyond the allowed attempts because an earlier failure is on a later page."""

    async def scenario(cell):
        for worker in cell.workers.values():
            worker.fails = True
        await submit_all(cell, SINGLE, max_attempts=1)
        cell.leader().kill()
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert {cell.outcome(name) for name in JOBS} == {Outcome.failed}
        assert_started_once(cell)

    run_scenario(scenario)


def test_second_takeover_while_pages_are_read(run_scenario):
    """Guards against a second takeover that takes a half read list of ends for a complete one."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        first = cell.leader()
        first.kill()
        for entry in cell.entries:
            entry.log.answer_s = SLOW_LOG_S
        (await leader_that_reads(cell)).kill()
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario)


def test_paused_leader_returns_while_pages_are_read(run_scenario):
    """Guards against a task that starts again because a former leader acknowledged ends that it has not stored."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        paused = cell.leader()
        paused.gate.pause()
        for entry in cell.entries:
            entry.log.answer_s = SLOW_LOG_S
        await leader_that_reads(cell)
        paused.gate.resume()
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario)


def test_cut_off_leader_returns_while_pages_are_read(run_scenario):
    """Guards against a task that starts again because a leader without the log went on polling the workers."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        cut_off = cell.leader()
        cut_off.log.fault = LogFault.silent
        async with asyncio.timeout(SETTLED_S):
            while cut_off.node.dispatcher is cell.leader().node.dispatcher:
                await asyncio.sleep(0.01)
        await leader_that_reads(cell)
        cut_off.log.fault = None
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario)


def test_worker_gets_new_tasks_once_its_pages_are_read(run_scenario):
    """Guards against new tasks on a worker whose ends are not read, and against a worker that stands idle after that."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        cell.leader().kill()
        await leader_that_reads(cell)
        began_at = cell.loop.time()
        reading = dict.fromkeys(sessions_of(cell.leader()))
        while not all(session.knows_earlier_runs() for session in reading):
            for session in reading:
                assert session.knows_earlier_runs() or not may_get_work(session, cell.loop.time())
            await asyncio.sleep(0.005)
        assert cell.loop.time() - began_at < READING_S
        assert all(may_get_work(session, cell.loop.time()) for session in reading)
        await cell.wait_for_outcomes(JOBS, SETTLED_S)

    run_scenario(scenario)


@pytest.mark.parametrize('seed', range(4))
def test_runs_that_end_while_pages_are_read(run_scenario, seed):
    """Guards against a task that starts again because it ended between the pages of one takeover."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        leader = cell.leader()
        for worker in cell.workers.values():
            for held in worker.held.values():
                held.ends_at += cell.rng.uniform(0, 3)
        leader.kill()
        for entry in cell.entries:
            entry.log.answer_s = SLOW_LOG_S / 3
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario, seed=seed)


def test_more_ends_than_a_page_between_two_polls(run_scenario):
    """Guards against runs that count as absent, without a takeover, because a status lists only the first ends."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        ends_at = cell.loop.time() + 0.5
        for worker in cell.workers.values():
            for held in worker.held.values():
                held.ends_at = ends_at
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario)


def test_cancelled_work_is_not_started_after_a_takeover_with_pages(run_scenario):
    """Guards against tasks of a cancelled submission that start again while their ends are on a later page."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        first = cell.leader()
        first.kill()
        caller = next(entry for entry in cell.entries if not entry.gate.stopped)
        for name in JOBS:
            caller.gate.spawn(caller.node.acceptance.cancel(name, 3))
        await cell.wait_for_outcomes(JOBS, SETTLED_S)
        await asyncio.sleep(3)
        assert_started_once(cell)

    run_scenario(scenario)


def test_worker_that_never_lists_its_last_page_is_used_again(run_scenario):
    """Guards against a worker that is shut out for ever because its list of ends stays incomplete."""

    async def scenario(cell):
        worker = cell.workers['w0']
        worker.ends_page = 0
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        await cell.submit(cell.entries[0], 'job', SINGLE)
        async with asyncio.timeout(STALL_S + LEASE_S / worker.rate + ELECTION_S):
            while not worker.held:
                await asyncio.sleep(0.01)
        worker.ends_page = PAGE
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario, workers=1)


def test_end_whose_handling_raises_at_a_takeover_is_not_started_again(run_scenario):
    """Guards against a task that starts again because its end was listed at a takeover, but its handling raised."""

    async def scenario(cell):
        await submit_all(cell, SINGLE)
        leader = cell.leader()
        leader.kill()
        handled = set()
        handle = RunEvents.run_ended

        def raise_once(events, session, ended, known):
            if ended.task not in handled:
                handled.add(ended.task)
                raise RuntimeError('fault put in by the test')
            handle(events, session, ended, known)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(RunEvents, 'run_ended', raise_once)
            await cell.wait_for_outcomes(JOBS, SETTLED_S)
        assert_started_once(cell)

    run_scenario(scenario)
