"""Workers that report a planned exit: their runs are moved before they leave."""

import asyncio

from marigoldlift.submissions.model import Step, TaskRef

ELECTION_S = 1.5
LONG_TASK_S = 30.0

#: Time left that a draining worker reports, in s, and the one that is left when the leader changes.
REMAINING_S = 9.0
LEFT_AT_CHANGE_S = 6.0

#: How much longer than it has reported the worker serves, in s; a new leader does not know the age of the report.
LONGER_S = 4.0

MS_PER_S = 1000
CPU_M = 8000


async def start_long_task(cell):
    """Start a task that outlasts the test, and return the worker that runs it."""
    await asyncio.sleep(ELECTION_S)
    task = TaskRef('job', 0, 0, 0)
    cell.durations[task] = LONG_TASK_S
    await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
    while not any(worker.held for worker in cell.workers.values()):
        await asyncio.sleep(0.05)
    return next(worker for worker in cell.workers.values() if worker.held)


def drain(cell, worker):
    """Let a worker report that it leaves after `REMAINING_S`."""
    worker.draining = True
    worker.leaving_ms = REMAINING_S * MS_PER_S
    cell.list_workers()


def count_down(cell, worker, left_s):
    """Let a draining worker report the time that is left, as it does with each heartbeat."""
    worker.leaving_ms = left_s * MS_PER_S
    cell.list_workers()


def holders(cell):
    """Return the names of the workers that run a task."""
    return [worker.name for worker in cell.workers.values() if worker.held]


def test_runs_leave_a_draining_worker_in_time(run_scenario):
    """Guards against a run that is lost with a worker that had reported its exit."""

    async def scenario(cell):
        worker = await start_long_task(cell)
        drain(cell, worker)
        await asyncio.sleep(REMAINING_S - 0.1)
        assert holders(cell) and worker.name not in holders(cell)

    run_scenario(scenario, workers=3)


def test_new_leader_moves_runs_from_a_draining_worker(run_scenario):
    """Guards against a run that is lost with its worker because the leader took over after the worker's report."""

    async def scenario(cell):
        worker = await start_long_task(cell)
        drain(cell, worker)
        await asyncio.sleep(REMAINING_S - LEFT_AT_CHANGE_S)
        count_down(cell, worker, LEFT_AT_CHANGE_S)
        first = cell.leader()
        first.kill()
        await asyncio.sleep(LEFT_AT_CHANGE_S + LONGER_S)
        assert cell.leader() not in {None, first}
        assert holders(cell) and worker.name not in holders(cell)

    run_scenario(scenario, workers=3)
