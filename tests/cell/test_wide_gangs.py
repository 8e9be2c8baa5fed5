"""Questions to the advice for wide gangs, of which it allows only some workers."""

import asyncio

import pytest

from marigoldlift.scheduling.candidates import AllowedShares, split_evenly
from marigoldlift.submissions.model import AdvicePolicy, Step

ELECTION_S = 1.5

#: Cost of a call: 0.64 s, and 0.009 s for each worker named.
ADVICE = AdvicePolicy(637, 9.1, 2000)
WORKERS = 90
ENTRIES = 24

#: Time of one call that names 30 workers, in s, as the platform's objective assumes for a step; and what acceptance, the
#: scheduling passes and the orders take.
ONE_CALL_S = 0.91
OTHER_S = 0.2


@pytest.mark.parametrize('tasks', [8, 16, 27])
@pytest.mark.parametrize('seed', [1, 2])
def test_wide_gang_waits_for_one_call(run_scenario, seed, tasks):
    """Guards against gangs that wait for one question after another while most entries are idle."""
    waits = []

    async def scenario(cell):
        cell.advice.policy = ADVICE
        names = sorted(cell.workers)
        cell.rng.shuffle(names)
        cell.advice.allowed = set(names[: int(WORKERS * 0.3)])
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        for entry in cell.entries:
            leader.node.broker.note_relay(entry.name)
        submitted_at = cell.loop.time()
        steps = (Step(count=tasks, cpu_m=2500, gang=True, estimate_ms=2000),)
        await cell.submit(leader, 'gang', steps, advice=ADVICE)
        while sum(len(worker.held) for worker in cell.workers.values()) < tasks:
            await asyncio.sleep(0.01)
        waits.append(cell.loop.time() - submitted_at)
        await cell.wait_for_outcomes(['gang'], 20)

    run_scenario(scenario, seed=seed, workers=WORKERS, entries=ENTRIES)
    assert waits[0] <= ONE_CALL_S + OTHER_S


def test_share_of_allowed_workers_is_learned():
    """Guards against questions that name far too few or too many workers of a queue."""
    shares = AllowedShares()
    for _ in range(30):
        shares.note('narrow', 30, 3)
        shares.note('wide', 30, 27)
    assert shares.share('narrow') == pytest.approx(0.1, abs=0.03)
    assert shares.share('wide') == pytest.approx(0.9, abs=0.03)
    assert 0 < shares.share('new') < 1


@pytest.mark.parametrize(('names', 'parts'), [(0, 1), (1, 4), (30, 4), (31, 4), (100, 7)])
def test_parts_hold_all_names(names, parts):
    """Guards against workers that a divided question leaves out or names twice."""
    given = [str(number) for number in range(names)]
    divided = split_evenly(given, parts)
    assert [name for part in divided for name in part] == given
    assert len(divided) <= parts
    assert all(divided)
