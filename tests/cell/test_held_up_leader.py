"""A leader whose event loop is held up again and again, so that it reads each answer late."""

import asyncio

import pytest

from marigoldlift.answer_deadline import AnswerDeadline
from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import AdvicePolicy, Step
from standins.cell.workers import CALL_TIMEOUT_S
from tests.cell.actions import set_task_duration
from tests.model.clock import spawn_outside

ELECTION_S = 1.5
ADVICE = AdvicePolicy(10, 0.15, 2000)
TASK_S = 0.3

#: How long the loop is held up, and how long it runs in between, in s. A renewal still leaves every 0.5 s.
HELD_UP_S = 0.45
RUNNING_S = 0.02
OVERLOAD_S = 8

#: Time between two submissions, in s, and their number.
INTERVAL_S = 0.25
SUBMISSIONS = 40

#: Time after the overload within which all is done that was submitted before its end, in s.
RECOVERY_S = 4

MS_PER_S = 1000


def set_deadlines(cell):
    """Let workers work while an entry is held up, and give each call the deadline of the HTTP client."""

    def bounded(send, wait_s=CALL_TIMEOUT_S):
        async def call(worker, token, *rest):
            try:
                async with AnswerDeadline(wait_s):
                    return await asyncio.shield(spawn_outside(send(worker, token, *rest)))
            except TimeoutError as fault:
                raise WorkerUnavailableError(str(fault), may_have_run=True) from fault

        return call

    def bounded_poll(send):
        async def poll(worker, token, acknowledged, until_ms, wait_ms):
            call = bounded(send, CALL_TIMEOUT_S + wait_ms / MS_PER_S)
            return await call(worker, token, acknowledged, until_ms, wait_ms)

        return poll

    for entry in cell.entries:
        entry.calls.start = bounded(entry.calls.start)
        entry.calls.stop = bounded(entry.calls.stop)
        entry.calls.poll = bounded_poll(entry.calls.poll)


async def hold_up(cell, entry):
    """Hold up the event loop of an entry again and again for `OVERLOAD_S`."""
    until = cell.loop.time() + OVERLOAD_S
    while cell.loop.time() < until:
        entry.gate.pause()
        await asyncio.sleep(HELD_UP_S)
        entry.gate.resume()
        await asyncio.sleep(RUNNING_S)


async def submit_all(cell, entry, names):
    """Hand in submissions one after the other."""
    for name in names:
        await cell.submit(entry, name, (Step(count=3, cpu_m=200),), advice=ADVICE)
        await asyncio.sleep(INTERVAL_S)


@pytest.mark.parametrize('seed', range(3))
def test_overload_of_the_leader_ends_with_its_cause(run_scenario, seed):
    """Guards against LOST: answers that the leader read late counted as missing, and what it then did kept it busy."""

    async def scenario(cell):
        set_deadlines(cell)
        set_task_duration(cell, TASK_S)
        cell.advice.policy = ADVICE
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        others = [entry for entry in cell.entries if entry is not leader]
        names = [f'job{number}' for number in range(SUBMISSIONS)]
        submitting = cell.loop.create_task(submit_all(cell, others[0], names))
        await hold_up(cell, leader)
        submitted = cell.accepted(tuple(cell.checker.submissions))
        await cell.wait_for_outcomes(submitted, RECOVERY_S)
        await submitting
        await cell.wait_for_outcomes(names, RECOVERY_S)
        assert cell.leader() is leader
        assert 'outcome="doubtful"' not in leader.node.parts.metrics.render()
        assert not any(relay.failures for relay in leader.node.broker.relays.values())

    run_scenario(scenario, seed=seed)
