"""Checkpoints of tasks over the loss of the leader and of the worker that has produced them."""

import asyncio

import msgspec
import pytest

from marigoldlift.orders.api import EndKind
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 60.0
CHECKPOINT = '00000bb87a21d94b'

#: Time for which the worker has told the leader the same checkpoint, in s: 20 intervals of checkpoints (`checkpoint_s` 0.5).
TOLD_S = 10.0

#: Longest time until the task runs again, in s: a takeover, and 10.5 s for a worker that does not answer.
RESTART_S = 15.0

#: Time in which a run is stopped at a worker that leaves, in s.
STOP_S = 1.0
MS_PER_S = 1000

JOB = (Step(count=1, cpu_m=5000, checkpointing=True),)
TASK = TaskRef(SubmissionId('job'), 0, 0, 0)


def report_checkpoints(cell):
    """Let all workers list a checkpoint with their runs and with those that are stopped; return the starts they get.

    Returns:
        Checkpoints of the starts of the task, in their order.
    """
    started = []
    for worker in cell.workers.values():
        report_checkpoint(worker, started)
    return started


def report_checkpoint(worker, started):
    """Let a worker list a checkpoint, and note those of the starts of the task."""
    usual_status = worker.status
    usual_start = worker.start

    def status():
        found = usual_status()
        replace = msgspec.structs.replace
        return replace(
            found,
            running=[replace(held, checkpoint=CHECKPOINT) for held in found.running],
            ended=[
                replace(ended, checkpoint=CHECKPOINT if ended.kind is EndKind.stopped else '')
                for ended in found.ended
            ],
        )

    def start(token, order, *rest):
        if order.task == TASK:
            started.append(order.checkpoint)
        return usual_start(token, order, *rest)

    worker.status = status
    worker.start = start


def restart_entries(cell):
    """Kill all entries and start them again."""
    for entry in cell.entries:
        entry.kill()
    for entry in cell.entries:
        entry.start()
    set_task_duration(cell, TASK_S)


async def run_with_checkpoint(cell):
    """Run the task at a worker that reports a checkpoint, and return the worker and the list of starts."""
    started = report_checkpoints(cell)
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    await cell.submit(cell.leader(), 'job', JOB)
    await asyncio.sleep(TOLD_S)
    holder = next(worker for worker in cell.workers.values() if TASK in worker.held)
    assert started == ['']
    return holder, started


async def wait_for_start(started, count):
    """Wait until the task was started so often."""
    async with asyncio.timeout(RESTART_S):
        while len(started) < count:
            await asyncio.sleep(0.05)


def test_checkpoint_outlives_the_worker(run_scenario):
    """Guards against a change of the tests below in which no checkpoint is used anyway."""

    async def scenario(cell):
        holder, started = await run_with_checkpoint(cell)
        cell.remove_worker(holder.name)
        await wait_for_start(started, 2)
        assert started[1] == CHECKPOINT

    run_scenario(scenario)


@pytest.mark.parametrize('all_entries', [False, True])
def test_checkpoint_outlives_the_worker_and_the_leader(run_scenario, all_entries):
    """Guards against work that is done again from its beginning, since only the leader knew how far it had come."""

    async def scenario(cell):
        holder, started = await run_with_checkpoint(cell)
        if all_entries:
            restart_entries(cell)
        else:
            cell.leader().kill()
        cell.remove_worker(holder.name)
        await wait_for_start(started, 2)
        assert started[1] == CHECKPOINT

    run_scenario(scenario)


def test_checkpoint_of_an_acknowledged_end_outlives_the_leader(run_scenario):
    """Guards against a checkpoint that nobody knows any more: the worker forgets it as its end is stored without it."""

    async def scenario(cell):
        holder, started = await run_with_checkpoint(cell)
        for other in cell.workers.values():
            other.draining = other is not holder
        holder.draining = True
        holder.leaving_ms = STOP_S * MS_PER_S
        cell.list_workers()
        while holder.ends.entries or holder.held:
            await asyncio.sleep(0.02)
        cell.leader().kill()
        for other in cell.workers.values():
            other.draining = other is holder
        cell.list_workers()
        await wait_for_start(started, 2)
        assert started[1] == CHECKPOINT

    run_scenario(scenario)
