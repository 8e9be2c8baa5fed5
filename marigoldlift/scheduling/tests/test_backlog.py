"""Backlog of a service, from the steps that wait and the room that is left."""

from types import SimpleNamespace

import pytest

from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import HeldTasks, RunTable
from marigoldlift.scheduling.backlog import service_backlogs
from marigoldlift.scheduling.dispatcher import Dispatcher
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.step_queue import waiting_limit
from marigoldlift.scheduling.tasks import PendingReason
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.records import Backlog
from marigoldlift.submissions.state import Job

POLICY = Policy('queue', 'service', 1, 3, 2.0, 1000)


class FakeSession:
    """A worker of 10 cores and 1000 MB, of which runs occupy some."""

    def __init__(self, used):
        """Let the worker run a task."""
        self.worker = Worker('w0', 'address', 'a', 'service', True, 0, 10_000, 1000, 0, ())
        self.run_table = RunTable(self.worker, HeldTasks())
        self.run_table.count(used, 1)


def waiting(**demand):
    """Return a step of ten tasks that wait for a second each."""
    step = Step(count=10, estimate_ms=1000, **demand)
    submission = Submission(SubmissionId('job'), '', (step,), POLICY, 'e0')
    return next(JobRun(Job(submission, 0, 0)).open_due(0))


@pytest.mark.parametrize(
    ('used', 'demand', 'expected'),
    [
        (Step(count=1, cpu_m=9000), {'cpu_m': 2000}, 2),
        (Step(count=1, mem_mb=900), {'cpu_m': 1000, 'mem_mb': 500}, 5),
        (Step(count=1, cpu_m=5000), {'cpu_m': 2000}, 0),
        (Step(count=1, mem_mb=900), {'cpu_m': 2000}, 0),
        (Step(count=1, cpu_m=9000), {'cpu_m': 2000, 'long_running': True}, 0),
    ],
)
def test_backlog_is_the_time_that_all_workers_need(used, demand, expected):
    """Guards against callers that are refused while there is room, or taken while nothing is left of what they need."""
    found = service_backlogs([waiting(**demand)], {}, lambda service: [FakeSession(used)], 1, 0)
    assert found.get('service', Backlog()).total_s == pytest.approx(expected)


def test_work_that_waits_for_something_else_is_no_backlog():
    """Guards against refusals because of steps that wait for an unreachable worker, or are worthless."""
    step = waiting(cpu_m=2000)
    sessions = [FakeSession(Step(count=1, cpu_m=9000))]
    reasons = {step: PendingReason.unreachable}
    assert not service_backlogs([step], reasons, lambda service: sessions, 1, 0)
    assert not service_backlogs([step], {}, lambda service: sessions, 10, 0)


def test_leader_reports_no_backlog_before_its_first_pass():
    """Guards against refusals by a new leader that takes all running work for waiting, on the few workers it has heard."""
    taking_over = SimpleNamespace(planner=SimpleNamespace(has_passed=False))
    assert not Dispatcher.service_backlogs(taking_over)


def test_occurrences_that_are_not_open_count_as_well():
    """Guards against callers that are taken while the workers are full for minutes with occurrences that are due."""
    occurrences = waiting_limit((Step(count=1),)) * 10
    step = Step(count=1, cpu_m=10_000, estimate_ms=1000)
    submission = Submission(
        SubmissionId('job'), '', (step,), POLICY, 'e0', occurrences=occurrences, first_due_ms=1
    )
    opened = list(JobRun(Job(submission, 0, 0)).open_due(2))
    sessions = [FakeSession(Step(count=1, cpu_m=9000))]
    found = service_backlogs(opened, {}, lambda service: sessions, 1, 2)
    assert found['service'].total_s == pytest.approx(occurrences)
