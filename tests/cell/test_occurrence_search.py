"""Scheduled submissions under random faults."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from tests.cell.model import ModelCell
from tests.cell.occurrences import submit_scheduled
from tests.cell.sequential_faults import FAULTS
from tests.cell.standstill import StandstillChecker

ELECTION_S = 1.5
SPAN_S = 25.0
RECOVERY_LIMIT_S = 120.0
MAX_GAP_S = 2.5
QUICK_SEEDS = range(6)
LONG_SEEDS = range(6, 200)

SUBMISSIONS = {
    'single': ((Step(count=1, cpu_m=300),), 300),
    'row': ((Step(count=2, cpu_m=200), Step(count=1, cpu_m=100, after=(0,))), 150),
    'gang': ((Step(count=3, cpu_m=200, gang=True),), 60),
}
CANCELLED = ((Step(count=2, cpu_m=50), Step(count=1, after=(0,))), 200)


async def inject_faults(cell: ModelCell) -> None:
    """Inject faults of all kinds for a while; how long a task stands still is not checked here."""
    checker = StandstillChecker(cell)
    until = cell.loop.time() + SPAN_S
    while cell.loop.time() < until:
        await cell.rng.choice(FAULTS)(cell, checker)
        await asyncio.sleep(cell.rng.uniform(0, MAX_GAP_S))


async def run_scheduled(cell: ModelCell) -> None:
    """Hand scheduled submissions in, and check that each occurrence is done, and that a cancelled one ends."""
    await asyncio.sleep(ELECTION_S)
    for name, (steps, occurrences) in SUBMISSIONS.items():
        await submit_scheduled(cell.leader(), name, steps, occurrences, max_attempts=50)
    await submit_scheduled(cell.leader(), 'cancelled', *CANCELLED, max_attempts=50)
    faults = cell.loop.create_task(inject_faults(cell))
    await asyncio.sleep(cell.rng.uniform(1, SPAN_S / 2))
    while cell.is_open('cancelled'):
        entry = next(found for found in cell.entries if not found.gate.stopped)
        entry.gate.spawn(entry.node.acceptance.cancel('cancelled', 3.0))
        await asyncio.sleep(1)
    await faults
    await cell.wait_for_outcomes(list(SUBMISSIONS), RECOVERY_LIMIT_S)
    for name, (steps, occurrences) in SUBMISSIONS.items():
        assert cell.outcome(name) is Outcome.complete
        done = {task for task in cell.checker.ended_done if task.submission == name}
        expected = 1 if steps[0].gang else sum(step.count for step in steps)
        assert len(done) >= occurrences * expected


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_scheduled_submissions_survive_faults(run_scenario, seed):
    """Guards against occurrences that are lost or run twice when leaders and workers fail, or that outlive a cancellation."""
    run_scenario(run_scheduled, seed=seed, workers=6)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_scheduled_submissions_survive_faults_over_more_seeds(run_scenario, seed):
    """Guards against the same over more seeds."""
    run_scenario(run_scheduled, seed=seed, workers=6)
