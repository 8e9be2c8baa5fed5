"""Ends of runs that workers list after another run of the task was done."""

import asyncio

from marigoldlift.orders.api import EndedRun, EndKind
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from tests.cell.idle import set_task_duration

ELECTION_S = 1.5
ATTEMPTS = 2

#: Number of an end far above those that the worker lists itself.
LATE_NUMBER = 1000


def test_late_failures_of_a_done_task_do_not_fail_its_submission(run_scenario):
    """Guards against a submission that counts as failed because abandoned runs failed after their task was done."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.5)
        steps = (Step(count=1, cpu_m=500), Step(count=1, cpu_m=500, after=(0,)))
        await cell.submit(cell.entries[0], 'job', steps, max_attempts=ATTEMPTS)
        task = TaskRef(SubmissionId('job'), 0, 0, 0)
        while task not in cell.checker.ended_done:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        dispatcher = cell.leader().node.dispatcher
        session = next(iter(dispatcher.session_manager.sessions.values()))
        for run in range(ATTEMPTS):
            late = EndedRun(LATE_NUMBER + run, task, run + 2, EndKind.failed, '')
            dispatcher.events.run_ended(session, late, None)
        await cell.wait_for_outcomes(['job'], 10)
        assert cell.outcome('job') is Outcome.complete

    run_scenario(scenario)
