"""One unexpected exception in the handling of a submission, after which nothing else goes wrong."""

import asyncio

import pytest

from marigoldlift.submissions.model import AdvicePolicy, Step

ELECTION_S = 1.5
SETTLED_S = 30

ADVICE = AdvicePolicy(10, 1, 1500)

#: A chain of two steps.
CHAIN = (Step(count=1, cpu_m=1000), Step(count=11, cpu_m=1000, after=(0,)))


class RaisesOnce:
    """Callable that raises an exception in one call and forwards all others."""

    def __init__(self, wrapped, fault, call=0):
        self.wrapped = wrapped
        self.fault = fault
        self.calls_before = call

    def __call__(self, *args, **kwargs):
        self.calls_before -= 1
        if self.calls_before == -1:
            raise self.fault
        return self.wrapped(*args, **kwargs)


@pytest.fixture
def complete_after(run_scenario):
    """Return a function that lets one call at the leader raise, and checks that a submission is complete all the same."""

    def run(part, method, fault=None, call=0):
        async def scenario(cell):
            await asyncio.sleep(ELECTION_S)
            cell.advice.policy = ADVICE
            owner = part(cell.leader())
            wrapped = getattr(owner, method)
            raising = RaisesOnce(wrapped, fault or RuntimeError('injected'), call)
            setattr(owner, method, raising)
            await cell.submit(cell.leader(), 'job', CHAIN, advice=ADVICE)
            await asyncio.sleep(SETTLED_S)
            assert raising.calls_before < 0
            assert not cell.is_open('job')

        return run_scenario(scenario, workers=6)

    return run


def test_submission_is_opened_again_after_an_exception(complete_after):
    """Guards against a submission that no leader of this tenure knows after its opening has raised."""
    complete_after(lambda leader: leader.node.dispatcher.planner.waiting, 'open_due')


def test_next_step_is_opened_after_an_exception(complete_after):
    """Guards against a step that nobody opens after the end of the step before it has raised.

    The step before counts as complete by then, so that its end opens nothing if it is handled again.
    """
    complete_after(lambda leader: leader.node.dispatcher.planner.waiting, 'open_due', call=2)


def test_progress_is_stored_after_an_exception(complete_after):
    """Guards against a submission whose starts wait for ever after making its progress record has raised."""
    complete_after(lambda leader: leader.node.dispatcher.progress, 'record_of')


def test_advice_is_asked_again_after_booking_has_raised(complete_after):
    """Guards against a step that counts as asking for ever after booking the calls of its question has raised."""
    complete_after(lambda leader: leader.node.broker, 'book')


def test_start_is_settled_after_its_call_was_cancelled(complete_after):
    """Guards against a task that counts as started for ever although its call has ended without an outcome."""
    complete_after(lambda leader: leader.calls, 'start', asyncio.CancelledError())


def test_progress_is_stored_after_its_append_was_cancelled(complete_after):
    """Guards against a submission whose starts wait for ever after an append of its progress was cancelled."""
    complete_after(
        lambda leader: leader.node.dispatcher.progress, 'store', asyncio.CancelledError()
    )


def test_end_is_kept_until_it_is_handled(complete_after):
    """Guards against a task that runs again although it was done: handling its end has raised after its record was noted.

    The record is stored all the same, and the worker forgets the end.
    """
    complete_after(lambda leader: leader.node.dispatcher.events, 'process_end')
