"""Unexpected exceptions in the background tasks of a leader."""

import asyncio

import pytest

from marigoldlift.orders.runs import LATE_ORDER_S
from marigoldlift.submissions.model import AdvicePolicy, Step
from marigoldlift.submissions.records import Progress

ELECTION_S = 1.5
SETTLED_S = 12

#: Advice that takes little time; a start with its ticket is settled by one incarnation of a worker.
FAST_ADVICE = AdvicePolicy(10, 1, 1500)


class FailsFirst:
    """Callable that raises an unexpected exception in its first calls and forwards later ones."""

    def __init__(self, wrapped, failures):
        self.wrapped = wrapped
        self.failures_left = failures

    def __call__(self, *args, **kwargs):
        self.failures_left -= 1
        if self.failures_left >= 0:
            raise RuntimeError('injected')
        return self.wrapped(*args, **kwargs)


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
        append = appender.append_all
        failing = FailsFirst(append, 2)

        async def fail(records, wait_s, doubt_s=0):
            if any(isinstance(record, Progress) for record in records):
                return await failing(records, wait_s, doubt_s)
            return await append(records, wait_s, doubt_s)

        appender.append_all = fail
        await submit(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert failing.failures_left < 0

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


def test_tenure_ends_with_its_loops(run_scenario, monkeypatch):
    """Guards against a leader that stays up without the loop that stores its records, so that no task starts."""
    exits = []
    monkeypatch.setattr('marigoldlift.cell_node.os._exit', exits.append)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        appender = cell.leader().node.dispatcher.appender
        appender.log = None
        await submit(cell)
        await asyncio.sleep(1)
        assert exits == [1]

    run_scenario(scenario)
