"""Bursts of many small tasks at one worker."""

import asyncio
from collections import Counter, defaultdict

import pytest

from marigoldlift.answer_deadline import always
from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.scheduling.start_limits import MAX_STARTS, MAX_STARTS_AT_WORKER
from marigoldlift.submissions.model import Step
from standins.cell.workers import CALL_TIMEOUT_S
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
SERVING_S = 0.001
TASKS = 1500


def serve_one_by_one(cell):
    """Let workers serve starts one after the other, as a real one does; return the most starts in flight by worker."""
    calls = cell.leader().calls
    send = calls.start
    locks = defaultdict(asyncio.Lock)
    in_flight, most = Counter(), Counter()

    async def serve(worker, token, order):
        async with locks[worker.id]:
            await asyncio.sleep(SERVING_S)
        return await send(worker, token, order, always)

    async def start(worker, token, order, may_send):
        in_flight[worker.id] += 1
        most[worker.id] = max(most[worker.id], in_flight[worker.id])
        most['all'] = max(most['all'], in_flight.total())
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await serve(worker, token, order)
        except TimeoutError as fault:
            raise WorkerUnavailableError('no answer', may_have_run=True) from fault
        finally:
            in_flight[worker.id] -= 1

    calls.start = start
    return most


@pytest.mark.parametrize('crashes', [False, True])
def test_tasks_of_a_burst_run_without_starts_that_time_out(run_scenario, crashes):
    """Guards against LOST: more starts at a time than a worker answers leave each task 12 s in doubt, again and again."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 30)
        most = serve_one_by_one(cell)
        steps = (Step(count=TASKS, cpu_m=2),)
        await cell.submit(cell.leader(), 'job', steps)
        await asyncio.sleep(4)
        assert sum(len(worker.held) for worker in cell.workers.values()) == TASKS
        if crashes:
            busiest = max(cell.workers.values(), key=lambda worker: len(worker.held))
            busiest.crash()
            busiest.begin_incarnation()
            busiest.up = True
            cell.list_workers()
            await asyncio.sleep(4)
            assert sum(len(worker.held) for worker in cell.workers.values()) == TASKS
        assert most.pop('all') <= MAX_STARTS
        assert max(most.values()) <= MAX_STARTS_AT_WORKER

    run_scenario(scenario, workers=2)
