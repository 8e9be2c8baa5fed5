"""Workers that restart, list their new incarnation, and are lost before it has answered."""

import asyncio

import pytest

from marigoldlift.orders.runs import UNLEASED_EXPIRY_S
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import ELECTION_S, set_task_duration

TASK = TaskRef(SubmissionId('job'), 0, 0, 0)
TASK_S = 60.0

#: Time for the takeover, the polls and the timers of the leader beside the wait itself, in s, as the search for standstills
#: allows it.
MARGIN_S = 1.0


@pytest.mark.parametrize('running_s', [0.02, 0.1, 0.2])
def test_wait_for_a_late_start_counts_from_the_entry(run_scenario, running_s):
    """Guards against a task that waits for late copies of its start from when the restart is believed, 1.3 s too late."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=100),))
        while not any(worker.held for worker in cell.workers.values()):
            await asyncio.sleep(0.01)
        await asyncio.sleep(running_s)
        lost = next(worker for worker in cell.workers.values() if worker.held)
        sessions = cell.leader().node.dispatcher.session_manager.sessions
        assert not sessions[lost.name].run_table.runs[TASK].listed
        lost.begin_incarnation()
        cell.list_workers()
        lost.crash()
        await asyncio.sleep(UNLEASED_EXPIRY_S + MARGIN_S)
        assert any(TASK in worker.held for worker in cell.workers.values() if worker.up)

    run_scenario(scenario)
