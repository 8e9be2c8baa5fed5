"""Starts that wait for their placement to be stored."""

import asyncio

from marigoldlift.submissions.model import Step
from tests.cell.actions import cut_off, set_task_duration

ELECTION_S = 1.5

#: How long the placement takes to be stored, in s; longer than a worker may be silent before it gets no new work.
STORING_S = 2.5


def test_start_is_not_sent_to_a_worker_that_became_silent_meanwhile(run_scenario):
    """Guards against a task that waits 12 s for late copies of a start that was sent to a worker known to be silent."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.5)
        starter = cell.leader().node.dispatcher.starter
        store = starter.progress.store_now

        async def store_slowly(step):
            starter.progress.store_now = store
            await asyncio.sleep(STORING_S)
            return await store(step)

        starter.progress.store_now = store_slowly
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(0.1)
        job = cell.leader().node.dispatcher.open_submissions.jobs['job']
        cut_off(cell, job.steps[0, 0].active[0].session.worker.id)
        await cell.wait_for_outcomes(['job'], STORING_S + 2)

    run_scenario(scenario, workers=2)
