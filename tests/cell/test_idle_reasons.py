"""Reasons that the metrics give for submissions that wait."""

import asyncio

import pytest

from marigoldlift.submissions.model import AdvicePolicy, Step
from marigoldlift.telemetry.metric_table import Metric
from tests.cell.actions import set_task_duration
from tests.cell.model import ModelCell

ELECTION_S = 1.5
WAIT_S = 2.0
TOO_LARGE = (Step(count=1, cpu_m=9000),)
LARGE = (Step(count=1, cpu_m=5000),)
SMALL = (Step(count=1, cpu_m=500),)


async def no_worker_allowed(cell: ModelCell) -> dict[str, AdvicePolicy]:
    """Let the advice deny all workers."""
    cell.advice.allowed = set()
    cell.advice.policy = AdvicePolicy(10, 0, 2000)
    return {'advice': cell.advice.policy}


async def slow_advice(cell: ModelCell) -> dict[str, AdvicePolicy]:
    """Let the advice take longer than the test waits."""
    cell.advice.policy = AdvicePolicy(10_000, 0, 2000)
    return {'advice': cell.advice.policy}


async def no_advice(cell: ModelCell) -> dict[str, AdvicePolicy]:
    """Use a queue without advice."""
    return {}


async def full_workers(cell: ModelCell) -> dict[str, AdvicePolicy]:
    """Occupy most of each worker, on a queue without advice."""
    set_task_duration(cell, 100)
    await cell.submit(cell.entries[0], 'occupant', (Step(count=len(cell.workers), cpu_m=6000),))
    await asyncio.sleep(WAIT_S / 2)
    return {}


@pytest.mark.parametrize(
    ('prepare', 'steps', 'reason'),
    [
        (no_advice, TOO_LARGE, 'no_worker'),
        (full_workers, LARGE, 'room'),
        (no_worker_allowed, SMALL, 'advice_denied'),
        (slow_advice, SMALL, 'advice_call'),
    ],
)
def test_idle_time_names_what_held_the_step_back(run_scenario, prepare, steps, reason):
    """Guards against submissions that wait without a metric or log line that gives the reason."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        await cell.submit(cell.entries[0], 'job', steps, **await prepare(cell))
        await asyncio.sleep(WAIT_S)
        leader = cell.leader()
        await cell.entries[1].node.acceptance.cancel('job', 3.0)
        await cell.wait_for_outcomes(['job'], 10)
        await asyncio.sleep(0.5)
        idle = leader.node.parts.metrics.latencies[Metric.step_idle]
        assert list(idle) == [(reason,)]
        assert WAIT_S / 2 < next(iter(idle.values())).total_s < 2 * WAIT_S

    run_scenario(scenario)
