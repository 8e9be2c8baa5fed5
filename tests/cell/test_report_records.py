"""Records in which an entry stores the ends that it was told of in an earlier tenure."""

import asyncio

import pytest

from marigoldlift.submissions.done_tasks import DoneTasks, ReportedEnd
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.record_codec import decode_record, encode_record, record_key
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 4.0
STORED_S = 8.0
SETTLED_S = 20.0
TENURE = 0
JOB = SubmissionId('job')

#: Ends that take more than the 261,000 bytes of a record: each is stored in 11 bytes.
MANY_ENDS = 30_000
LARGE_NUMBER = 100_000


async def submit(cell):
    """Hand in a submission of three tasks, and return the reports of an entry that does not lead."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    leader = cell.leader()
    await cell.submit(leader, JOB, (Step(count=3, cpu_m=1000),))
    await asyncio.sleep(1)
    return next(entry for entry in cell.entries if entry is not leader)


async def report(cell, entry, *ends):
    """Let an entry report ends, and wait until they are stored."""
    entry.node.done_reports.add(TENURE, ends)
    await entry.node.done_reports.wait_until_stored(asyncio.get_running_loop().time() + STORED_S)


def stored_ends(cell):
    """Return the ends that the newest records of the log hold."""
    records = [found for key, found in cell.log.newest.items() if key.startswith('e/')]
    return [end for found in records for end in decode_record(found.content).ends()]


@pytest.mark.parametrize('fault', [None, LogFault.lose])
def test_later_report_of_a_tenure_keeps_the_earlier_one(run_scenario, fault):
    """Guards against an end that is lost with all processes: the next record of the tenure had its key and replaced it."""

    async def scenario(cell):
        entry = await submit(cell)
        done, other = (ReportedEnd(TaskRef(JOB, 0, 0, index)) for index in range(2))
        cell.checker.ended_done.update((done.task, other.task))
        entry.log.fault = fault
        entry.log.fault_share = 1
        entry.node.done_reports.add(TENURE, [done])
        await asyncio.sleep(0.5)
        assert stored_ends(cell) == [done]
        entry.log.fault = None
        await report(cell, entry, other)
        assert set(stored_ends(cell)) == {done, other}
        await cell.wait_for_outcomes([JOB], SETTLED_S)
        await asyncio.sleep(5)
        assert cell.outcome(JOB) is Outcome.complete
        assert f'f/{JOB}' in cell.log.newest
        assert not stored_ends(cell)

    run_scenario(scenario, workers=6)


def test_report_of_many_ends_is_stored(run_scenario):
    """Guards against ends that are never stored, since one record of them all is larger than the log takes."""

    async def scenario(cell):
        entry = await submit(cell)
        # Tasks that the submission does not have, so that nothing but the records depends on them.
        ends = [
            ReportedEnd(TaskRef(JOB, 0, 0, LARGE_NUMBER + index), LARGE_NUMBER)
            for index in range(MANY_ENDS)
        ]
        await report(cell, entry, *ends)
        assert set(stored_ends(cell)) == set(ends)

    run_scenario(scenario, workers=6)


def test_parts_of_a_report_have_keys_of_their_own():
    """Guards against a part that replaces another one, and a first part that older versions do not find by its key."""
    records = [DoneTasks(JOB, TENURE, [], part=part) for part in range(2)]
    assert [record_key(record) for record in records] == ['e/job/0', 'e/job/0/1']
    assert [decode_record(encode_record(record)) for record in records] == records
