"""Turns of steps in passes that have no time for all of them."""

from types import SimpleNamespace

import pytest

from marigoldlift.scheduling.pass_order import FIRST_STEPS, PassOrder

STEPS = 30
TURN_S = 0.005


class FakeStep(SimpleNamespace):
    """A waiting step; it equals itself only."""

    __hash__ = object.__hash__
    __eq__ = object.__eq__

    def __init__(self, rank):
        """Keep the rank."""
        super().__init__(rank=rank, gang_started_at=None, job=SimpleNamespace(is_urgent=False))


@pytest.fixture
def steps():
    """Return steps, the most urgent first."""
    return [FakeStep(rank) for rank in range(STEPS)]


def run_pass(order, ready, turn_s=TURN_S):
    """Return the ranks of the steps that have a turn in a pass."""
    ranks = []
    for step in order.turns(ready, 0, lambda: turn_s * len(ranks)):  # noqa: WPS426 one list a pass
        ranks.append(step.rank)
    return ranks


def test_each_step_has_a_turn(steps):
    """Guards against steps of lower rank that have no turn while others keep the leader busy."""
    order = PassOrder()
    seen = {rank for _ in range(5) for rank in run_pass(order, steps)}
    assert seen == set(range(STEPS))


def test_rank_alone_counts_while_there_is_time(steps):
    """Guards against a changed order of service on a leader that is not short of processor."""
    order = PassOrder()
    order.answered.add(steps[-1])
    for _ in range(3):
        assert run_pass(order, steps, turn_s=0) == list(range(STEPS))


@pytest.mark.parametrize('kind', ['answered', 'reserving', 'starting'])
def test_step_that_cannot_wait_comes_first(steps, kind):
    """Guards against tickets that run out, reservations that lapse, and members of a gang that wait alone."""
    order = PassOrder()
    run_pass(order, steps)
    last = steps[-1]
    if kind == 'answered':
        order.answered.add(last)
    elif kind == 'reserving':
        order.reserving = last
    else:
        last.gang_started_at = 0
    assert last.rank in run_pass(order, steps)[: FIRST_STEPS + 1]


def test_starting_gang_comes_first_in_any_pass(steps):
    """Guards against GANG: starts of more urgent steps reach the limit of those in flight in each pass."""
    steps[-1].gang_started_at = 0
    assert run_pass(PassOrder(), steps, turn_s=0)[0] == STEPS - 1


def test_started_gangs_have_a_turn_in_each_pass(steps):
    """Guards against GANG: members wait alone for longer than the platform allows, while the pass has no time for the others."""
    order = PassOrder()
    run_pass(order, steps)
    for step in steps[STEPS // 2 :]:
        step.gang_started_at = 0
    for _ in range(3):
        assert set(range(STEPS // 2, STEPS)) <= set(run_pass(order, steps))
