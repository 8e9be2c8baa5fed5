"""Submissions whose opening, or whose part in a takeover, raises at first."""

import asyncio

import pytest

from marigoldlift.orders.runs import Run
from marigoldlift.scheduling.earlier_runs import EarlierRun
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

#: Calls that a takeover makes for the placements by earlier leaders.
RAISING = {'earlier_orders.Run': Run, 'earlier_runs.EarlierRun': EarlierRun}


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


@pytest.mark.parametrize('where', ['earlier_orders.Run', 'earlier_runs.EarlierRun'])
def test_takeover_survives_a_submission_whose_earlier_starts_raise(
    run_scenario, monkeypatch, where
):
    """Guards against leaders that end one after the other, and against starting a task again that may still run."""
    exits = []
    monkeypatch.setattr('marigoldlift.supervision.os._exit', exits.append)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 4)
        cell.set_cap('lab', cpu_m=32_000)
        first = cell.leader()
        first.calls.faults.lost = 1
        await cell.submit(first, 'job', STEPS, 'lab')
        await asyncio.sleep(0.1)
        target = f'marigoldlift.scheduling.{where}'
        monkeypatch.setattr(target, FailsFirst(RAISING[where], 2))
        first.kill()
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)
    assert not exits
