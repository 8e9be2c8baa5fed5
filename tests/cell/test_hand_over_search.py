"""Seeded search over knowledge that one process alone holds, and that is dropped at a hand-over."""

import pytest

from tests.cell.hand_over_faults import inject_hand_over_faults

#: Seeds that are red once a superseded leader no longer stores the ends that it was told of.
QUICK_SEEDS = (1, 3)
LONG_SEEDS = range(4, 400)

SIZES = {'entries': 7, 'workers': 15, 'outcome_kept_s': 1000}


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_ends_that_a_process_knows_are_not_dropped(run_scenario, seed):
    """Guards against tasks that run again although a process that is alive was told that they are done."""
    run_scenario(inject_hand_over_faults, seed=seed, **SIZES)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_ends_that_a_process_knows_are_not_dropped_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(inject_hand_over_faults, seed=seed, **SIZES)
