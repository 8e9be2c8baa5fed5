"""Tickets of the placement advice that are granted after their worker has changed."""

import asyncio

from marigoldlift.submissions.model import Step
from standins.cell.kinds import WorkerKind

ELECTION_S = 1.5
SETTLED_S = 20

SMALL = WorkerKind(cpu_m=8000, labels=('small', 'rack'))
LARGE = WorkerKind(cpu_m=16_000, labels=('large', 'rack'))


def change_kind(cell, kind):
    """Restart the only worker as another kind, which is listed at once."""
    cell.workers['w0'].change_kind(kind)
    cell.list_workers()


def test_ticket_for_a_worker_that_has_lost_the_required_label_is_not_used(run_scenario):
    """Guards against ROUTE: the worker restarted as another kind while the advice was asked, which allowed it."""

    async def scenario(cell):
        change_kind(cell, SMALL)
        await asyncio.sleep(ELECTION_S)
        steps = (Step(count=1, cpu_m=1000, requires='small'),)
        await cell.submit(cell.leader(), 'job', steps, advice=cell.advice.policy)
        await asyncio.sleep(0.1)
        change_kind(cell, LARGE)
        await asyncio.sleep(2)
        assert not cell.checker.starts
        change_kind(cell, SMALL)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)
