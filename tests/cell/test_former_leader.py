"""What an entry goes on reporting of a tenure that has ended."""

import asyncio

from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.telemetry.metric_table import Metric
from tests.cell.actions import hand_over, set_task_duration
from tests.cell.test_job_audit import leading_dispatcher, replace_session

ELECTION_S = 1.5
TWO_CHECKS_S = 2.5
STEPS = (Step(count=2, cpu_m=500),)


def test_former_leader_reports_no_untracked_tasks(run_scenario):
    """Guards against an alert that stays on for as long as the process of a former leader lives."""

    async def scenario(cell):
        set_task_duration(cell, 100)
        await asyncio.sleep(ELECTION_S)
        await cell.submit(cell.entries[0], 'job', STEPS)
        await asyncio.sleep(1)
        leader = cell.leader()
        job = leading_dispatcher(cell).open_submissions.jobs[SubmissionId('job')]
        replace_session(cell, job.steps[0, 0])
        await asyncio.sleep(TWO_CHECKS_S)
        metrics = leader.node.parts.metrics
        assert metrics.number(Metric.untracked_tasks, finding='no_run') > 0
        await hand_over(cell)
        assert leader.node.dispatcher is None
        leader.node.set_gauges()
        assert metrics.number(Metric.untracked_tasks, finding='no_run') == 0

    run_scenario(scenario)
