"""Reports of ends by earlier leaders, beside what the present leader does with the same submission."""

import asyncio

import pytest

from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.record_codec import encode_record, record_key
from marigoldlift.submissions.records import Outcome

ELECTION_S = 1.5
CHAIN = (Step(count=1, cpu_m=1000), Step(count=3, cpu_m=1000, after=(0,)))
EARLIER_TENURE = 0


def set_duration(cell, duration_s):
    """Let each task take the same time."""
    for entry in cell.entries:
        entry.calls.duration_of = lambda task: duration_s


def store_report(cell):
    """Store the report of an earlier leader that task 0 of the first step is done."""
    report = DoneTasks(SubmissionId('job'), EARLIER_TENURE, [(0, 0, 0)])
    cell.log.store([(record_key(report), encode_record(report))])


@pytest.mark.parametrize('is_restarted', [False, True])
def test_report_stored_just_before_the_outcome_is_dropped(run_scenario, is_restarted):
    """Guards against reports that stay in the log for good: stored after the leader has collected what it drops."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_duration(cell, 0.5)
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
        assert not [key for key in cell.log.newest if key.startswith('e/')]

    run_scenario(scenario, workers=6)
