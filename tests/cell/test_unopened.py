"""Submissions whose opening raises at first."""

import asyncio

import pytest

from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.waiting_steps import crowded_numbers
from marigoldlift.submissions.model import Step, SubmissionId
from tests.cell.actions import FailsFirst, set_task_duration

ELECTION_S = 1.5
SETTLED_S = 20
STEPS = (Step(count=4, cpu_m=2000),)

#: Calls that an opening begins with, and that it makes once steps with stored progress are queued.
OPENING = {
    'begin': ('marigoldlift.scheduling.open_submissions.JobRun', JobRun),
    'queue': ('marigoldlift.scheduling.waiting_steps.crowded_numbers', crowded_numbers),
}


@pytest.fixture
def fail_openings(monkeypatch):
    """Return a function that lets the next openings of submissions raise, at their begin or once steps are queued."""

    def begin(failures, where):
        target, wrapped = OPENING[where]
        monkeypatch.setattr(target, FailsFirst(wrapped, failures))

    return begin


@pytest.mark.parametrize('where', ['begin', 'queue'])
def test_submission_is_opened_again_by_the_same_leader(run_scenario, fail_openings, where):
    """Guards against a submission that waits for the next leader after its opening raised."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        fail_openings(3, where)
        await cell.submit(leader, 'job', STEPS)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.leader() is leader

    run_scenario(scenario)


@pytest.mark.parametrize('where', ['begin', 'queue'])
@pytest.mark.parametrize('task_s', [0.8, 6.0])
def test_runs_of_a_submission_that_is_opened_late_are_kept(
    run_scenario, fail_openings, where, task_s
):
    """Guards against starting tasks again that run, or have ended, while a new leader fails to open their submission."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, task_s)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(0.4)
        fail_openings(2, where)
        cell.leader().kill()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)


def test_cancelled_submission_that_is_not_open_is_stopped(run_scenario, fail_openings):
    """Guards against tasks that run on after the cancellation of a submission whose opening raised."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 30)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(0.4)
        fail_openings(100, 'begin')
        cell.leader().kill()
        await asyncio.sleep(2 * ELECTION_S)
        await cell.leader().node.acceptance.cancel(SubmissionId('job'), 3.0)
        await asyncio.sleep(3)
        assert not any(worker.held for worker in cell.workers.values())

    run_scenario(scenario)
