"""Workers that refuse connections while they still count as answering."""

import asyncio

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.scheduling.starter import FULL_PAUSE_S
from marigoldlift.submissions.model import Step

ELECTION_S = 1.5
REFUSES_S = 3.0


def test_worker_that_refuses_connections_is_not_tried_at_each_pass(run_scenario):
    """Guards against a placement stored each 0.02 s for a task whose worker refuses connections."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        tried = []
        calls = cell.leader().calls
        start = calls.start

        async def refuse(worker, token, order, may_send):
            tried.append(worker.id)
            raise WorkerUnavailableError('refused', may_have_run=False)

        calls.start = refuse
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=500),))
        await asyncio.sleep(REFUSES_S)
        calls.start = start
        await cell.wait_for_outcomes(['job'], 10)
        assert len(tried) <= REFUSES_S / FULL_PAUSE_S + 1

    run_scenario(scenario, workers=1)
