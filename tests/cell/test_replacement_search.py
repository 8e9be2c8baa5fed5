"""Seeded search over days with a rolling replacement of workers and changes of the leader."""

import pytest

from tests.cell.replacement_faults import inject_replacement_faults

QUICK_SEEDS = range(2)
LONG_SEEDS = range(2, 400)

SIZES = {'entries': 7, 'workers': 15, 'outcome_kept_s': 1000}


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_replaced_workers_lose_no_submission(run_scenario, seed):
    """Guards against submissions that wait without end after their workers, and the leader, were replaced."""
    run_scenario(inject_replacement_faults, seed=seed, **SIZES)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_replaced_workers_lose_no_submission_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(inject_replacement_faults, seed=seed, **SIZES)
