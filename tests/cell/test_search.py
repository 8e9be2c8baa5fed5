"""Seeded search over interleavings of load and faults."""

import pytest

from tests.cell.storms import storm

QUICK_SEEDS = range(25)
LONG_SEEDS = range(25, 1000)


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_storms_break_no_rule(play, seed):
    """Guards against lost, doubled and over-allocated work under any mix of faults."""
    play(storm, seed=seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_many_storms_break_no_rule(play, seed):
    """Guards as the short search does, over more seeds."""
    play(storm, seed=seed)
