"""No task whose turn has come stands still longer than its worker's lease."""

import pytest

from tests.cell.troubles import lead_changes, troubles

QUICK_SEEDS = range(12)
LONG_SEEDS = range(12, 400)


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_no_task_stands_still(play, seed):
    """Guards against tasks that count as running on a worker and run nowhere."""
    play(troubles, seed=seed, workers=6)


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_no_task_stands_still_over_changes_of_the_leader(play, seed):
    """Guards against tasks that each new leader lets wait as long as the first one did."""
    play(lead_changes, seed=seed, workers=6)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
@pytest.mark.parametrize('story', [troubles, lead_changes])
def test_no_task_stands_still_over_more_seeds(play, story, seed):
    """Guards as the short searches do, over more seeds."""
    play(story, seed=seed, workers=6)
