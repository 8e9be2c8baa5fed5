"""Tasks that have failed on a worker run on another one, also where starts carry tickets."""

import asyncio

from marigoldlift.submissions.model import AdvicePolicy, Step, TaskRef
from marigoldlift.submissions.records import Outcome

ELECTION_S = 1.5

#: Time of a task, in s: longer than a ticket is valid, so that another start needs another one.
TASK_S = 3.0

ADVICE = AdvicePolicy(50, 1, 1500)


def test_failed_task_gets_a_ticket_for_another_worker(run_scenario):
    """Guards against a task that fails for good on one worker because only that worker's ticket is renewed.

    The worker with the most room is the one on which all runs fail.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.advice.policy = ADVICE
        cell.workers['w0'].cpu_m = 16_000
        cell.list_workers()
        cell.durations[TaskRef('filler', 0, 0, 0)] = TASK_S
        cell.durations[TaskRef('job', 0, 0, 0)] = TASK_S
        filler = (Step(count=1, cpu_m=10_000),)
        await cell.submit(cell.leader(), 'filler', filler, advice=ADVICE)
        await asyncio.sleep(1)
        job = (Step(count=1, cpu_m=1000),)
        await cell.submit(cell.leader(), 'job', job, max_attempts=2, advice=ADVICE)
        await asyncio.sleep(TASK_S - 0.5)
        assert len(cell.workers['w0'].held) == 1
        cell.workers['w0'].fails = True
        await asyncio.sleep(3 * TASK_S)
        assert cell.outcome('job') is Outcome.complete

    run_scenario(scenario, workers=2)
