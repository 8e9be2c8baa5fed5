"""Checkpoints of runs whose worker is lost shortly before a handover."""

import asyncio

import msgspec
import pytest

from marigoldlift.submissions.model import Step, TaskRef
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
LONG_TASK_S = 30.0
TASK = TaskRef('job', 0, 0, 0)

#: Time within which a leader has read the newest checkpoint of a run, in s; it asks every 0.7 s.
READ_S = 2.0

#: Time from the loss of the worker to the release of the leadership, in s; the leader waits for the worker's lease then.
RELEASE_AFTER_S = 0.5

#: Time within which a task of a lost worker runs again, in s.
RESTARTED_S = 10.0

SAVED = 'saved'


def report_checkpoint(worker):
    """Let a worker report a checkpoint of each of its runs."""
    usual_status = worker.status

    def status():
        usual = usual_status()
        held = [msgspec.structs.replace(run, checkpoint=SAVED) for run in usual.running]
        return msgspec.structs.replace(usual, running=held)

    worker.status = status


def record_checkpoints(worker, carried):
    """Record the checkpoints that the starts at a worker carry."""
    usual_start = worker.start

    def start(token, order, *details):
        carried.append(order.checkpoint)
        return usual_start(token, order, *details)

    worker.start = start


@pytest.mark.parametrize('released', [False, True], ids=['same_leader', 'next_leader'])
def test_checkpoint_of_a_lost_worker_outlives_a_handover(run_scenario, released):
    """Guards against a task that starts from its beginning, since its leader released the leadership while it waited."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=1000, checkpointing=True),))
        await asyncio.sleep(1)
        holder = next(worker for worker in cell.workers.values() if TASK in worker.held)
        report_checkpoint(holder)
        await asyncio.sleep(READ_S)
        carried = []
        for worker in cell.workers.values():
            record_checkpoints(worker, carried)
        holder.crash()
        await asyncio.sleep(RELEASE_AFTER_S)
        if released:
            await asyncio.wait((leader.gate.spawn(leader.node.election.retire()),))
        await asyncio.sleep(RESTARTED_S)
        assert carried == [SAVED]

    run_scenario(scenario, workers=4)
