"""States of submissions whose first start was answered shortly before a change of the leader."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
LONG_TASK_S = 30.0
TASK = TaskRef('job', 0, 0, 0)
STEPS = (Step(count=1, cpu_m=1000),)
POLL_S = 0.001

#: Time within which another entry leads and has found the runs on all workers, in s.
TAKEOVER_S = 5.0

#: Time within which a change is visible, in s (`visible_ms` of the platform).
VISIBLE_S = 3.0


async def wait_for_run(cell):
    """Wait until a worker runs the task."""
    while not any(TASK in worker.held for worker in cell.workers.values()):
        await asyncio.sleep(POLL_S)


async def expect_running(cell):
    """Check that the submission is shown as running while its task runs."""
    await asyncio.sleep(VISIBLE_S)
    assert any(TASK in worker.held for worker in cell.workers.values())
    assert cell.outcome('job') is Outcome.running


@pytest.mark.parametrize('cut', [False, True], ids=['same_leader', 'next_leader'])
def test_running_submission_is_shown_as_running(run_scenario, cut):
    """Guards against a submission that counts as queued for as long as it runs: its leader could not store the answer."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', STEPS)
        await wait_for_run(cell)
        leader.log.fault = LogFault.silent if cut else None
        await asyncio.sleep(TAKEOVER_S)
        leader.log.fault = None
        await expect_running(cell)

    run_scenario(scenario, workers=4)


def test_submission_with_a_lost_answer_is_shown_as_running(run_scenario):
    """Guards against the same where the answer to the start is lost, and a status lists the run."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        leader = cell.leader()
        leader.calls.faults.lost = 1
        await cell.submit(leader, 'job', STEPS)
        await wait_for_run(cell)
        leader.calls.faults.lost = 0
        await expect_running(cell)

    run_scenario(scenario, workers=4)
