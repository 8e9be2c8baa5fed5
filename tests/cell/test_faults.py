"""Unexpected exceptions in the tasks that a leader runs beside its rounds."""

import asyncio

import pytest

from marigoldlift.submissions.model import AdvicePolicy, Step
from marigoldlift.submissions.records import Progress

LEAD_S = 1.5
SETTLED_S = 12


class FailsFirst:
    """Raises an unexpected exception at the first calls and passes the others on."""

    def __init__(self, wrapped, failures):
        self.wrapped = wrapped
        self.left = failures

    def __call__(self, *args, **kwargs):
        self.left -= 1
        if self.left >= 0:
            raise RuntimeError('injected')
        return self.wrapped(*args, **kwargs)


async def submit(cell, count=4, name='job', **policy):
    """Hand a submission in at the leader."""
    await cell.submit(cell.leader(), name, (Step(count=count, cpu_m=4000),), **policy)


@pytest.mark.parametrize('failures', [1, 4])
def test_start_that_ends_by_a_fault_is_given_back(play, failures):
    """Guards against tasks that count as started for ever when their order has ended by an exception."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        calls = cell.leader().calls
        calls.start = FailsFirst(calls.start, failures)
        await submit(cell)
        await cell.settle(['job'], SETTLED_S)

    play(story)


def test_start_whose_placement_is_not_stored_by_a_fault_is_given_back(play):
    """Guards against tasks that wait for ever since the record of their place has ended by an exception."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        appender = cell.leader().node.dispatcher.appender
        append = appender.append
        failing = FailsFirst(append, 2)

        async def fail(record, wait_s):
            if isinstance(record, Progress):
                return await failing(record, wait_s)
            return await append(record, wait_s)

        appender.append = fail
        await submit(cell)
        await cell.settle(['job'], SETTLED_S)

    play(story)


@pytest.mark.parametrize('method', ['look', 'stop'])
def test_worker_is_looked_at_after_a_fault(play, method):
    """Guards against workers that nobody looks at any more, so that their ends are never taken note of."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        calls = cell.leader().calls
        await submit(cell)
        await asyncio.sleep(0.1)
        setattr(calls, method, FailsFirst(getattr(calls, method), 9))
        for session in cell.leader().node.dispatcher.roster.sessions.values():
            session.raise_token()
            for task in session.room.runs:
                cell.leader().node.dispatcher.starter.stop(session, task)
        await cell.settle(['job'], SETTLED_S)

    play(story)


def test_end_is_taken_in_after_a_fault(play):
    """Guards against ends that are passed over when taking them in has ended by an exception."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        events = cell.leader().node.dispatcher.events
        events.run_ended = FailsFirst(events.run_ended, 3)
        await submit(cell)
        await cell.settle(['job'], SETTLED_S)

    play(story)


def test_advice_is_asked_again_after_a_fault(play):
    """Guards against steps that wait for ever for an answer of the advice that has ended by an exception."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        cell.advice.policy = AdvicePolicy(10, 1, 4000)
        broker = cell.leader().node.broker
        broker.ask = FailsFirst(broker.ask, 1)
        await submit(cell, advice=cell.advice.policy)
        await cell.settle(['job'], SETTLED_S)

    play(story)


def test_tenure_ends_with_its_loops(play, monkeypatch):
    """Guards against a leader that goes on without the loop that stores its records, so that no start is ordered."""
    exits = []
    monkeypatch.setattr('marigoldlift.cell_node.os._exit', exits.append)

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        appender = cell.leader().node.dispatcher.appender
        appender.log = None
        await submit(cell)
        await asyncio.sleep(1)
        assert exits == [1]

    play(story)
