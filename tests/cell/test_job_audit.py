"""Findings of the leader about tasks that it has lost track of."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.telemetry.metric_table import Metric
from tests.cell.actions import cut_off, set_task_duration

ELECTION_S = 1.5
TWO_CHECKS_S = 2.5
STEPS = (Step(count=2, cpu_m=500),)
TOO_LARGE = (Step(count=1, cpu_m=9000),)


def replace_session(cell, step):
    """Let another session take the place of the one with the worker of a task."""
    manager = leading_dispatcher(cell).session_manager
    session = step.active[0].session
    manager.sessions[session.worker.id] = manager.new_session(session.worker, 0)


def forget_waiting(cell, step):
    """Make a task wait without telling the planner."""
    step.requeue(0)


def forget_step(cell, step):
    """Remove the only step of a submission that waits."""
    dispatcher = leading_dispatcher(cell)
    dispatcher.open_submissions.jobs[SubmissionId('waiting')].steps.clear()
    dispatcher.planner.waiting.steps.clear()


def keep_lost_run(cell, step):
    """Cut off the worker of a task, whose lease never lapses."""
    session = step.active[0].session
    session.is_lost = bool
    cut_off(cell, session.worker.id)


def leading_dispatcher(cell):
    """Return the dispatcher of the leader."""
    return cell.leader().node.dispatcher


@pytest.mark.parametrize(
    ('damage', 'finding', 'wait_s'),
    [
        (replace_session, 'no_run', TWO_CHECKS_S),
        (forget_waiting, 'not_queued', TWO_CHECKS_S),
        (forget_step, 'unknown', TWO_CHECKS_S),
        (keep_lost_run, 'unconfirmed', 14.0),
    ],
)
def test_task_without_a_holder_is_reported(run_scenario, damage, finding, wait_s):
    """Guards against tasks that stand still without a metric or log line that tells."""

    async def scenario(cell):
        set_task_duration(cell, 100)
        await asyncio.sleep(ELECTION_S)
        await cell.submit(cell.entries[0], 'job', STEPS)
        await cell.submit(cell.entries[0], 'waiting', TOO_LARGE)
        await asyncio.sleep(1)
        job = leading_dispatcher(cell).open_submissions.jobs[SubmissionId('job')]
        damage(cell, job.steps[0, 0])
        await asyncio.sleep(wait_s)
        metrics = cell.leader().node.parts.metrics
        assert metrics.number(Metric.untracked_tasks, finding=finding) > 0

    run_scenario(scenario)


def test_nothing_is_reported_of_tracked_tasks(run_scenario):
    """Guards against findings about tasks that run, wait, or depend on others."""

    async def scenario(cell):
        set_task_duration(cell, 4)
        await asyncio.sleep(ELECTION_S)
        chain = (Step(count=2, cpu_m=500), Step(count=40, cpu_m=2000, after=(0,)))
        await cell.submit(cell.entries[0], 'chain', chain)
        for _ in range(20):
            await asyncio.sleep(1)
            for finding in ('no_run', 'not_queued', 'unknown', 'unconfirmed'):
                metrics = cell.leader().node.parts.metrics
                assert not metrics.number(Metric.untracked_tasks, finding=finding)

    run_scenario(scenario)
