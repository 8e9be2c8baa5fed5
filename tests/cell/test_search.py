"""Seeded search over interleavings of load and faults."""

import pytest

from tests.cell.concurrent_faults import inject_concurrent_faults

QUICK_SEEDS = range(25)
LONG_SEEDS = range(25, 1000)

#: Ends in one page of a worker.
PAGE = 2


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_concurrent_faults_violate_no_invariant(run_scenario, seed):
    """Guards against tasks that are lost, run twice or overallocate a worker under any mix of faults."""
    run_scenario(inject_concurrent_faults, seed=seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_concurrent_faults_violate_no_invariant_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(inject_concurrent_faults, seed=seed)


async def inject_faults_with_pages(cell):
    """Inject concurrent faults while workers list their ends in small pages."""
    for worker in cell.workers.values():
        worker.ends_page = PAGE
    await inject_concurrent_faults(cell)


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_pages_of_ends_violate_no_invariant(run_scenario, seed):
    """Guards against the same while the ends of a worker are listed in several pages."""
    run_scenario(inject_faults_with_pages, seed=seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_pages_of_ends_violate_no_invariant_over_more_seeds(run_scenario, seed):
    """Guards against the same as the short search with pages, over more seeds."""
    run_scenario(inject_faults_with_pages, seed=seed)
