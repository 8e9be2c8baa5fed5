"""Reports of ends by earlier leaders, beside what the present leader does with the same submission."""

import asyncio

import pytest

from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.record_codec import encode_record, record_key
from marigoldlift.submissions.records import Outcome
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
CHAIN = (Step(count=1, cpu_m=1000), Step(count=3, cpu_m=1000, after=(0,)))
GANG_CHAIN = (Step(count=2, cpu_m=1000, gang=True), Step(count=3, cpu_m=1000, after=(0,)))
EARLIER_TENURE = 0


def store_report(cell):
    """Store the report of an earlier leader that task 0 of the first step is done."""
    report = DoneTasks(SubmissionId('job'), EARLIER_TENURE, [(0, 0, 0)])
    cell.log.store([(record_key(report), encode_record(report))])


@pytest.mark.parametrize('is_restarted', [False, True])
def test_report_stored_just_before_the_outcome_is_dropped(run_scenario, is_restarted):
    """Guards against reports that stay in the log for good: stored after the leader has collected what it drops."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.5)
        leader = cell.leader()
        await cell.submit(leader, 'job', CHAIN)
        retention = leader.node.dispatcher.retention
        usual_store = retention.store

        async def store(groups):
            if groups:
                retention.store = usual_store
                store_report(cell)
            await usual_store(groups)

        retention.store = store
        await asyncio.sleep(5)
        if is_restarted:
            for entry in cell.entries:
                entry.kill()
            for entry in cell.entries:
                entry.start()
            await asyncio.sleep(5)
        assert cell.outcome('job') is Outcome.complete
        assert 'f/job' in cell.log.newest
        assert not any(key.startswith('e/') for key in cell.log.newest)

    run_scenario(scenario, workers=6)


def test_gang_member_is_not_started_after_a_report(run_scenario):
    """Guards against a start of a gang that is known as done, and a worker that is blamed as its member waits for the others."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 5.0)
        leader = cell.leader()
        progress = leader.node.dispatcher.progress
        usual_store = progress.store_now

        async def store_slowly(step):
            is_stored = await usual_store(step)
            if step.step.gang:
                await asyncio.sleep(0.3)
            return is_stored

        progress.store_now = store_slowly
        await cell.submit(leader, 'job', GANG_CHAIN)
        await asyncio.sleep(0.15)
        members = [TaskRef(SubmissionId('job'), 0, 0, index) for index in range(2)]
        assert not any(cell.checker.starts[member] for member in members)
        # The run that the report names has ended at a worker that has left.
        cell.checker.ended_done.update(members)
        store_report(cell)
        await asyncio.sleep(1)
        assert cell.checker.starts[TaskRef(SubmissionId('job'), 0, 1, 0)] == 1
        assert [cell.checker.starts[member] for member in members] == [0, 0]

    run_scenario(scenario, workers=6)
