"""A leader that was paused, and wakes up after another entry has taken over."""

import asyncio
from collections import Counter

import pytest

from marigoldlift.submissions.model import Step
from tests.cell.actions import cut_off, set_task_duration

ELECTION_S = 1.5
STEPS = (Step(count=6, cpu_m=2000),)


@pytest.mark.parametrize('pause_s', [2.0, 3.0, 6.0])
@pytest.mark.parametrize('seed', range(4))
def test_woken_leader_leaves_the_leadership_to_its_successor(run_scenario, seed, pause_s):
    """Guards against a second takeover: a woken leader renewed before it had read that another one leads."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        await cell.submit(first, 'job', STEPS)
        first.gate.pause()
        await asyncio.sleep(pause_s)
        second = cell.leader()
        assert second is not None
        tenure = second.node.election.tenure
        first.gate.resume()
        await asyncio.sleep(2)
        assert cell.leader() is second
        assert second.node.election.tenure == tenure
        await cell.wait_for_outcomes(['job'], 30)

    run_scenario(scenario, seed=seed)


def has_effect(name, args):
    """Return whether a call is an order; a poll that neither acknowledges ends nor grants a lease is none."""
    return name != 'poll' or bool(args[2]) or args[3] is not None


def watch_orders(entry):
    """Return the orders that an entry sends although it may not act, and its polls without effect by worker."""
    sent = []
    polls = Counter()

    def watch(name):
        send = getattr(entry.calls, name)

        async def call(*args):
            if not entry.node.election.may_act():
                if has_effect(name, args):
                    sent.append(name)
                else:
                    polls[args[0].id] += 1
            return await send(*args)

        setattr(entry.calls, name, call)

    for order in ('start', 'stop', 'poll'):
        watch(order)
    return sent, polls


@pytest.mark.parametrize('is_silent', [True, False])
def test_woken_leader_sends_no_orders(run_scenario, is_silent):
    """Guards against orders under a leadership that has run out: stops that waited are sent one after the other."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        first = cell.leader()
        await cell.submit(first, 'job', (Step(count=1000, cpu_m=10),))
        await cell.submit(first, 'other', STEPS)
        await asyncio.sleep(3)
        sent, polls = watch_orders(first)
        if is_silent:
            for worker in cell.workers:
                cut_off(cell, worker)
            await asyncio.sleep(0.8)
        await first.node.acceptance.cancel('job', 3.0)
        await asyncio.sleep(0.1)
        first.gate.pause()
        await asyncio.sleep(6)
        first.gate.resume()
        await asyncio.sleep(3)
        assert not sent
        assert max(polls.values(), default=0) <= 2

    run_scenario(scenario)
