"""A leader that was paused, and wakes up after another entry has taken over."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step

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
