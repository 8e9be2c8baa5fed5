"""Classes of waiting steps, by the time that is left for their submission."""

import itertools

import pytest

from marigoldlift.runtimes.decisions import JobTimes
from marigoldlift.scheduling.service_order import ServiceClass, service_class, service_rank
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.state import Job

#: Unix time at which the monotonic clock of the tests is 0, in ms.
WALL_MS = 1_700_000_000_000
MS_PER_S = 1000


def open_job(steps, priority=1, **schedule):
    """Return an open submission that was accepted at time 0; its objective is twice its longest chain, and 1 s."""
    policy = Policy('queue', 'service', priority, 3, 2.0, 1000)
    submission = Submission(SubmissionId('job'), '', tuple(steps), policy, 'e0', **schedule)
    job = JobRun(Job(submission, 0, 0))
    for key in itertools.product(range(submission.occurrences), range(len(steps))):
        job.open_step(key)
    return job


def class_at(job, now, number=0, occurrence=0):
    """Return the class of a step at a time of the monotonic clock."""
    step = job.steps[occurrence, number]
    since = job.counted_since(step, now, WALL_MS + now * MS_PER_S)
    return service_class(step, now, since)


@pytest.mark.parametrize(
    ('now', 'expected'),
    [
        (0, ServiceClass.in_time),
        (5.9, ServiceClass.in_time),
        (6.1, ServiceClass.late),
        (33.1, ServiceClass.worthless),
    ],
)
def test_class_follows_the_remaining_chain(now, expected):
    """Guards against steps that keep their place although those that follow cannot be done in time any more."""
    job = open_job([Step(count=1, estimate_ms=2000), Step(count=1, estimate_ms=3000, after=(0,))])
    assert job.objective_s == pytest.approx(11)
    assert class_at(job, now) is expected
    assert class_at(job, 7.9, number=1) is ServiceClass.in_time


def test_learned_times_replace_the_estimates():
    """Guards against work that holds its place though even a lucky run ends after all use, or that counts as late too early."""
    job = open_job([Step(count=1, estimate_ms=2000)])
    assert class_at(job, 3.5) is ServiceClass.late
    job.expect(JobTimes(longest=[20], safe=[25], lucky=[0]))
    assert class_at(job, 3.5) is ServiceClass.in_time
    job.expect(JobTimes(longest=[2], safe=[3], lucky=[14]))
    assert class_at(job, 0.9) is ServiceClass.in_time
    assert class_at(job, 1.1) is ServiceClass.worthless


def test_urgent_work_comes_first_also_when_late():
    """Guards against urgent submissions that give way to others."""
    step = Step(count=1, estimate_ms=1000)
    urgent = open_job([step], priority=0)
    plain = open_job([step])
    assert class_at(urgent, 2.5) is ServiceClass.urgent_late
    late = service_rank(urgent.steps[0, 0], 2.5, WALL_MS)
    assert late < service_rank(plain.steps[0, 0], 0, WALL_MS)


def test_occurrence_counts_from_the_time_at_which_it_is_due():
    """Guards against occurrences that are taken for late, or worthless, as they become due."""
    job = open_job(
        [Step(count=1, estimate_ms=1000)],
        occurrences=3,
        first_due_ms=WALL_MS + 20 * MS_PER_S,
        interval_ms=30 * MS_PER_S,
    )
    assert class_at(job, 20) is ServiceClass.in_time
    assert class_at(job, 22.5) is ServiceClass.late
    assert class_at(job, 50, occurrence=1) is ServiceClass.in_time
    assert class_at(job, 81, occurrence=2) is ServiceClass.in_time


def test_task_that_lasts_is_never_late():
    """Guards against tasks of long-running steps that are not started again while others wait."""
    job = open_job([Step(count=1, estimate_ms=1000, long_running=True)])
    assert class_at(job, 1000) is ServiceClass.in_time


def test_starting_gang_keeps_its_place():
    """Guards against a gang whose first members wait in vain because it has become late meanwhile."""
    job = open_job([Step(count=4, estimate_ms=1000, gang=True)])
    assert class_at(job, 2.5) is ServiceClass.late
    job.steps[0, 0].gang_started_at = 2.4
    assert class_at(job, 2.5) is ServiceClass.in_time


def test_work_beyond_a_share_waits_behind_work_within_shares():
    """Guards against a surge that is served before the shares of others, and against one surge that starves another."""
    step = Step(count=1, estimate_ms=1000)
    beyond = open_job([step], ahead_s=0.5).steps[0, 0]
    further = open_job([step], ahead_s=4.0).steps[0, 0]
    late = open_job([step], priority=2).steps[0, 0]
    assert service_rank(late, 8, WALL_MS) < service_rank(beyond, 0, WALL_MS)
    assert service_rank(beyond, 1, WALL_MS) < service_rank(further, 1, WALL_MS)


@pytest.mark.parametrize('waited_s', [0, 1.1, 2.1, 8])
def test_urgent_work_beyond_a_share_waits_behind_work_of_others(waited_s):
    """Guards against work within shares, also when it is late, that waits behind the surge of another workspace."""
    step = Step(count=1, estimate_ms=1000)
    surge = open_job([step], priority=0, ahead_s=0.5).steps[0, 0]
    for priority in (0, 2):
        batch = open_job([step], priority=priority, workspace='team').steps[0, 0]
        assert service_rank(batch, waited_s, WALL_MS) < service_rank(surge, waited_s, WALL_MS)


def test_work_beyond_a_share_comes_before_worthless_work():
    """Guards against accepted work that still has a use and waits behind work that has none any more."""
    step = Step(count=1, estimate_ms=1000)
    beyond = open_job([step], ahead_s=0.5).steps[0, 0]
    worthless = open_job([step]).steps[0, 0]
    assert service_rank(beyond, 1, WALL_MS) < service_rank(worthless, 20, WALL_MS)


def test_work_beyond_a_share_is_carried_to_its_end():
    """Guards against accepted work that is passed over for ever, and gangs whose first members wait in vain."""
    beyond = open_job([Step(count=2, estimate_ms=1000, gang=True)], ahead_s=0.5)
    assert class_at(beyond, 1) is ServiceClass.beyond_share
    assert class_at(beyond, 9.1) is ServiceClass.worthless
    beyond.steps[0, 0].gang_started_at = 1
    assert class_at(beyond, 1) is ServiceClass.in_time
