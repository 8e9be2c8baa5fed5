"""Unexpected exceptions in the background tasks of a leader."""

import asyncio

import pytest

from marigoldlift.orders.runs import LATE_ORDER_S
from marigoldlift.scheduling.waiting_steps import crowded_numbers
from marigoldlift.submissions.model import AdvicePolicy, Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Progress
from tests.cell.actions import FailsFirst

ELECTION_S = 1.5
SETTLED_S = 12

#: Advice that takes little time; a start with its ticket is settled by one incarnation of a worker.
FAST_ADVICE = AdvicePolicy(10, 1, 1500)


def forget_runs(cell, name):
    """Let a worker lose its runs without an end, in the same incarnation."""
    cell.workers[name].lose_runs()
    cell.workers[name].held.clear()


#: Ways in which the runs of a worker are lost.
LOSSES = {
    'lapse': lambda cell, name: cell.workers[name].crash(),
    'absence': forget_runs,
    'restart': lambda cell, name: cell.workers[name].begin_incarnation(),
}


def tasks_of(name, count):
    """Return the tasks of a submission with one step."""
    return [TaskRef(SubmissionId(name), 0, 0, index) for index in range(count)]


async def submit(cell, count=4, name='job', **policy):
    """Submit tasks of half a worker each at the leader."""
    await cell.submit(cell.leader(), name, (Step(count=count, cpu_m=4000),), **policy)


@pytest.mark.parametrize(
    ('advice', 'settled_s'), [(FAST_ADVICE, SETTLED_S), (None, LATE_ORDER_S + SETTLED_S)]
)
@pytest.mark.parametrize('failures', [1, 4])
def test_start_that_raises_is_retried(run_scenario, failures, advice, settled_s):
    """Guards against tasks that count as started for ever after their order raised an exception.

    Without a ticket the order may still be executed by the worker's next incarnation, for `LATE_ORDER_S`.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        calls = cell.leader().calls
        calls.start = FailsFirst(calls.start, failures)
        cell.advice.policy = advice or cell.advice.policy
        await submit(cell, advice=advice)
        await cell.wait_for_outcomes(['job'], settled_s)

    run_scenario(scenario)


def test_start_is_retried_after_storing_its_placement_raises(run_scenario):
    """Guards against tasks that wait for ever after the append of their placement raised an exception."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        appender = cell.leader().node.dispatcher.appender
        append_all = appender.append_all
        failing = FailsFirst(append_all, 2)

        async def fail(records, *waits):
            if any(isinstance(record, Progress) for record in records):
                return await failing(records, *waits)
            return await append_all(records, *waits)

        appender.append_all = fail
        await submit(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert failing.failures_left < 0

    run_scenario(scenario)


@pytest.mark.parametrize('failures', [1, 4])
def test_start_is_retried_after_building_the_record_of_its_placement_raises(
    run_scenario, failures
):
    """Guards against a submission of which nothing is stored any more, so that nothing of it starts or ends."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        progress = cell.leader().node.dispatcher.progress
        progress.record_of = FailsFirst(progress.record_of, failures)
        await submit(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_end_is_stored_after_building_its_record_raises(run_scenario):
    """Guards against a submission whose outcome is never stored."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        await submit(cell)
        await asyncio.sleep(0.1)
        progress = cell.leader().node.dispatcher.progress
        progress.record_of = FailsFirst(progress.record_of, 2)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)


def test_step_whose_whole_progress_is_too_large_for_a_record_runs_in_parts(
    run_scenario, monkeypatch
):
    """Guards against LOST: the placements of a wide step are refused for good, and nothing of it runs or ends."""
    monkeypatch.setattr('marigoldlift.replication.appender.MAX_RECORD_BYTES', 400)
    monkeypatch.setattr('marigoldlift.scheduling.start_limits.MAX_STARTS', 16)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        cell.durations.update(dict.fromkeys(tasks_of('wide', 160), 1.0))
        await cell.submit(leader, 'wide', (Step(count=160, cpu_m=100),))
        await submit(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        await cell.wait_for_outcomes(['wide'], 5 * SETTLED_S)
        assert cell.leader() is leader
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)


@pytest.mark.parametrize('method', ['poll', 'stop'])
def test_worker_is_polled_after_an_exception(run_scenario, method):
    """Guards against workers that are no longer polled after an exception, so that their ends are never processed."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        calls = cell.leader().calls
        await submit(cell)
        await asyncio.sleep(0.1)
        setattr(calls, method, FailsFirst(getattr(calls, method), 9))
        for session in cell.leader().node.dispatcher.session_manager.sessions.values():
            session.raise_token()
            for task in session.run_table.runs:
                cell.leader().node.dispatcher.starter.stop(session, task)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_end_is_processed_after_an_exception(run_scenario):
    """Guards against ends that are skipped after processing them raised an exception."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        events = cell.leader().node.dispatcher.events
        events.run_ended = FailsFirst(events.run_ended, 3)
        await submit(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


@pytest.mark.parametrize('failures', [1, 3])
def test_next_step_is_opened_after_an_exception(run_scenario, monkeypatch, failures):
    """Guards against LOST: the step after one that is complete is never opened, although its end is handled again."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        steps = (Step(count=2, cpu_m=1000), Step(count=2, cpu_m=1000, after=(0,)))
        await cell.submit(cell.leader(), 'chain', steps)
        await asyncio.sleep(0.1)
        failing = FailsFirst(crowded_numbers, failures)
        monkeypatch.setattr('marigoldlift.scheduling.waiting_steps.crowded_numbers', failing)
        await cell.wait_for_outcomes(['chain'], SETTLED_S)
        assert failing.failures_left < 0

    run_scenario(scenario)


def test_advice_is_requested_again_after_an_exception(run_scenario):
    """Guards against steps that wait for ever for advice after the request for it raised an exception."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.advice.policy = AdvicePolicy(10, 1, 4000)
        broker = cell.leader().node.broker
        broker.ask = FailsFirst(broker.ask, 1)
        await submit(cell, advice=cell.advice.policy)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


def test_advice_is_requested_again_after_planning_its_calls_raises(run_scenario):
    """Guards against steps that count as asking for ever although no call was made."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.advice.policy = AdvicePolicy(10, 1, 4000)
        broker = cell.leader().node.broker
        broker.book = FailsFirst(broker.book, 1)
        await submit(cell, advice=cell.advice.policy)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)


@pytest.mark.parametrize('failures', [1, 3])
@pytest.mark.parametrize('loss', ['lapse', 'absence', 'restart'])
def test_lost_runs_start_elsewhere_after_handling_one_raises(run_scenario, loss, failures):
    """Guards against tasks that count as running for ever after the loss of another run of their worker raised."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        cell.durations.update(dict.fromkeys(tasks_of('job', 8), 3.0))
        await submit(cell, count=8)
        await asyncio.sleep(1)
        events = leader.node.dispatcher.events
        events.run_vanished = FailsFirst(events.run_vanished, failures)
        LOSSES[loss](cell, 'w0')
        await cell.wait_for_outcomes(['job'], 2 * SETTLED_S)

    run_scenario(scenario)


def test_tenure_ends_with_its_loops(run_scenario, monkeypatch):
    """Guards against a leader that stays up without the loop that stores its records, so that no task starts."""
    exits = []
    monkeypatch.setattr('marigoldlift.supervision.os._exit', exits.append)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        appender = cell.leader().node.dispatcher.appender
        appender.log = None
        await submit(cell)
        await asyncio.sleep(1)
        assert exits == [1]

    run_scenario(scenario)
