"""Submissions whose workers list checkpoints that do not fit into a record of their progress."""

import asyncio

import msgspec
import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef

ELECTION_S = 1.5

#: Length of a checkpoint, whose length nothing bounds. Four of the long ones are larger than a record may be.
SHORT = 16
LONG = 70_000

#: Tasks that run throughout the test, and their run time in s.
LASTING = 4
LASTING_S = 120.0

#: Tasks that wait for them to list a checkpoint, and their run time in s.
SHORT_TASKS = 200
SHORT_S = 1.0

#: Time in which all short tasks start, in s; without checkpoints it takes about a third.
STARTED_S = 30.0


def list_checkpoints(worker, length):
    """Let a worker list a checkpoint of a length with each run of the first step."""
    usual_status = worker.status

    def status():
        found = usual_status()
        running = [
            msgspec.structs.replace(held, checkpoint='c' * length if held.task.step == 0 else '')
            for held in found.running
        ]
        return msgspec.structs.replace(found, running=running)

    worker.status = status


@pytest.mark.parametrize('length', [SHORT, LONG])
def test_checkpoints_of_any_length_hold_up_no_other_task(run_scenario, length):
    """Guards against work that stands still: a checkpoint that a worker lists makes each record of its submission too large."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        for worker in cell.workers.values():
            list_checkpoints(worker, length)
        job = SubmissionId('job')
        lasting = [TaskRef(job, 0, 0, index) for index in range(LASTING)]
        short = [TaskRef(job, 0, 1, index) for index in range(SHORT_TASKS)]
        cell.durations.update(dict.fromkeys(lasting, LASTING_S))
        cell.durations.update(dict.fromkeys(short, SHORT_S))
        steps = (
            Step(count=LASTING, cpu_m=500, checkpointing=True),
            Step(count=SHORT_TASKS, cpu_m=1500),
        )
        await cell.submit(cell.leader(), job, steps)
        await asyncio.sleep(STARTED_S)
        waiting = [task.name for task in short if not cell.checker.starts[task]]
        assert not waiting, f'{len(waiting)} tasks have not started'

    run_scenario(scenario)
