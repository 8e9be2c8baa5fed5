"""Seeded search over interleavings of load and faults of workers, of their entries and of leaders near them."""

import pytest

from tests.cell.worker_faults import FAULTS, inject_worker_faults

QUICK_SEEDS = range(25)
LONG_SEEDS = range(25, 1000)
KIND_SEEDS = range(150)

#: Longer than a scenario lasts, so that the outcome of no submission is forgotten in it.
OUTCOME_KEPT_S = 1000


def search(run_scenario, kind, seed):
    """Run the scenario of a seed on a cell of six workers."""
    run_scenario(
        lambda cell: inject_worker_faults(cell, kind),
        seed=seed,
        workers=6,
        outcome_kept_s=OUTCOME_KEPT_S,
    )


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_worker_faults_violate_no_invariant(run_scenario, seed):
    """Guards against TWICE, LIMIT, ROUTE and tasks that never run, under any mix of worker faults."""
    search(run_scenario, 'mix', seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_worker_faults_violate_no_invariant_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    search(run_scenario, 'mix', seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', KIND_SEEDS)
@pytest.mark.parametrize('kind', sorted(FAULTS.keys() - {'mix'}))
def test_faults_of_one_kind_violate_no_invariant(run_scenario, kind, seed):
    """Guards against the same under several faults of one kind, which the mix seldom draws together."""
    search(run_scenario, kind, seed)
