"""Reports of failures by earlier leaders, beside what the present leader knows of the same runs."""

import asyncio

import pytest

from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.record_codec import encode_record, record_key
from marigoldlift.submissions.records import Outcome
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
CALLER_TIMEOUT_S = 5.0
TASK_S = 2.0
SETTLED_S = 20.0

JOB = SubmissionId('job')
FIRST = TaskRef(JOB, 0, 0, 0)
SINGLE = (Step(count=1, cpu_m=1000),)
GANG = (Step(count=2, cpu_m=1000, gang=True),)

#: Tenures of earlier leaders; a leader that was superseded may report what another one reports too.
EARLIER_TENURES = (0, 1)


def store_failures(cell, *failed, tenure=0):
    """Store the report of an earlier leader that runs have failed, each by occurrence, step, index and number."""
    store(cell, DoneTasks(JOB, tenure, [], list(failed)))


def store(cell, report):
    """Store a report."""
    cell.log.store([(record_key(report), encode_record(report))])


def kill_all(cell):
    """Kill all entries."""
    for entry in cell.entries:
        entry.kill()


def restart_all(cell):
    """Kill and start all entries."""
    kill_all(cell)
    for entry in cell.entries:
        entry.start()


async def submit(cell, steps, max_attempts):
    """Hand in a submission and let its first run start."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    await cell.submit(cell.leader(), JOB, steps, max_attempts=max_attempts)
    await asyncio.sleep(1)
    assert cell.checker.starts[FIRST] == 1


@pytest.mark.parametrize('reported_after_s', [0, TASK_S])
@pytest.mark.parametrize('steps', [SINGLE, GANG])
@pytest.mark.parametrize('is_restarted', [False, True])
def test_run_that_is_reported_and_listed_counts_once(
    run_scenario, steps, reported_after_s, is_restarted
):
    """Guards against a submission that fails after one run of two: its worker and two earlier leaders tell of the same run."""

    async def scenario(cell):
        # Any member may be the first of a gang to end.
        cell.checker.own_faults.update((TaskRef(JOB, 0, 0, index), 1) for index in range(2))
        await submit(cell, steps, max_attempts=2)
        await asyncio.sleep(reported_after_s)
        members = [(0, 0, index, 1) for index in range(steps[0].count)]
        for tenure in EARLIER_TENURES:
            store_failures(cell, *members, tenure=tenure)
        async with asyncio.timeout(SETTLED_S):
            while not cell.checker.ended_failed:
                await asyncio.sleep(0.05)
        cell.checker.own_faults.clear()
        await asyncio.sleep(0.5)
        if is_restarted:
            restart_all(cell)
        await cell.wait_for_outcomes([JOB], SETTLED_S)
        assert cell.outcome(JOB) is Outcome.complete
        assert cell.checker.starts[FIRST] == 2

    run_scenario(scenario, workers=6)


@pytest.mark.parametrize('is_restarted', [False, True])
@pytest.mark.parametrize(
    ('steps', 'failed'),
    [(SINGLE, [(0, 0, 0, 1), (0, 0, 0, 2)]), (GANG, [(0, 0, 0, 1), (0, 0, 1, 2)])],
)
def test_last_failure_that_is_reported_ends_the_submission(
    run_scenario, steps, failed, is_restarted
):
    """Guards against work on a submission whose task, or gang, has no attempt left, also if nobody led at the report."""

    async def scenario(cell):
        await submit(cell, steps, max_attempts=2)
        if is_restarted:
            kill_all(cell)
        store_failures(cell, *failed)
        if is_restarted:
            restart_all(cell)
        await asyncio.sleep(SETTLED_S)
        assert cell.outcome(JOB) is Outcome.failed
        assert cell.checker.starts[FIRST] == 1
        assert not any(worker.held for worker in cell.workers.values())

    run_scenario(scenario, workers=6)


@pytest.mark.parametrize('is_restarted', [False, True])
def test_failures_of_a_done_task_do_not_fail_its_submission(run_scenario, is_restarted):
    """Guards against a submission that fails because of runs that had failed before, or beside, the run that was done."""

    async def scenario(cell):
        await submit(cell, (Step(count=2, cpu_m=1000),), max_attempts=1)
        # The run that was done has ended at a worker that has left.
        cell.checker.ended_done.add(FIRST)
        store(cell, DoneTasks(JOB, 0, [(0, 0, 0)], [(0, 0, 0, 1)]))
        if is_restarted:
            restart_all(cell)
        await cell.wait_for_outcomes([JOB], SETTLED_S)
        assert cell.outcome(JOB) is Outcome.complete
        assert cell.checker.starts[FIRST] == 1

    run_scenario(scenario, workers=6)


async def end_cancelled(cell):
    """Let a submission be cancelled while its task runs."""
    await submit(cell, SINGLE, max_attempts=1)
    await cell.leader().node.acceptance.cancel(JOB, CALLER_TIMEOUT_S)


async def end_complete(cell):
    """Let a submission become complete."""
    await submit(cell, SINGLE, max_attempts=1)
    await cell.wait_for_outcomes([JOB], SETTLED_S)


async def end_failed(cell):
    """Let a submission fail by what its worker lists."""
    cell.checker.own_faults[FIRST] = 1
    await submit(cell, SINGLE, max_attempts=1)
    await cell.wait_for_outcomes([JOB], SETTLED_S)


@pytest.mark.parametrize('is_late', [False, True])
@pytest.mark.parametrize(
    ('end', 'outcome'),
    [
        (end_cancelled, Outcome.cancelled),
        (end_complete, Outcome.complete),
        (end_failed, Outcome.failed),
    ],
)
def test_report_of_an_ended_submission_changes_nothing(run_scenario, end, outcome, is_late):
    """Guards against another outcome, a further start, and a report that stays in the log, also if it comes after retention."""

    async def scenario(cell):
        await end(cell)
        if is_late:
            await asyncio.sleep(5)
            assert f'f/{JOB}' in cell.log.newest
        store_failures(cell, (0, 0, 0, 1), (0, 0, 0, 7))
        await asyncio.sleep(5)
        restart_all(cell)
        await asyncio.sleep(5)
        assert cell.outcome(JOB) is outcome
        assert cell.checker.starts[FIRST] == 1
        assert f'f/{JOB}' in cell.log.newest
        assert not any(key.startswith('e/') for key in cell.log.newest)

    run_scenario(scenario, workers=6)
