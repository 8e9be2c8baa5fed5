"""Choice of workers by their speed."""

import pytest

from marigoldlift.orders.api import Worker
from marigoldlift.orders.session import WorkerSession
from marigoldlift.runtimes.api import EstimatesAlone
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.worker_health import WorkerHealth
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.state import Job

CLASSES = {'fast': -2, 'common': 0, 'slow': 2}


class Speeds(EstimatesAlone):
    """Speeds by the kind of worker, with correct estimates."""

    def speed_class(self, worker):
        """Return the class of the kind."""
        return CLASSES[worker.labels[0]]


@pytest.fixture
def placer():
    """Return a placer that knows the speeds, at time 0."""
    return Placer(lambda name: WorkerHealth(), float, Speeds())


@pytest.fixture
def sessions():
    """Return sessions with six workers of 4 cores, one of each kind in each of two failure domains."""
    workers = [
        Worker(f'{kind}-{domain}', '', domain, 'service', True, 1, 4000, 0, 0, (kind, 'rack'))
        for domain in ('north', 'south')
        for kind in CLASSES
    ]
    return [WorkerSession(worker, None, 1, None, float, 5) for worker in workers]


def step_of(step, priority=1, since=0):
    """Return a step of a submission whose objective is twice its estimate, and 1 s."""
    policy = Policy('queue', 'service', priority, 3, 2.0, 1000)
    submission = Submission(SubmissionId('job'), '', (step,), policy, 'e0')
    return next(JobRun(Job(submission, 0, since)).open_due(0))


@pytest.mark.parametrize(
    ('is_tight', 'priority', 'since', 'expected'),
    [
        (False, 1, 0, 'fast'),
        (True, 0, 0, 'fast'),
        (True, 1, 0, 'slow'),
        (True, 1, -1.5, 'common'),
        (True, 1, -60, 'fast'),
    ],
)
def test_speed_follows_the_time_that_is_left(
    placer, sessions, is_tight, priority, since, expected
):
    """Guards against tasks with time on fast workers that others need, and tasks without on slow ones."""
    placer.is_tight = is_tight
    step = step_of(Step(count=1, cpu_m=1000, estimate_ms=1000), priority, since)
    chosen = placer.place_one(step, 0, sessions, overdue=False)
    assert chosen.worker.labels[0] == expected


@pytest.mark.parametrize(
    ('count', 'kinds', 'domains'),
    [(4, {'fast'}, 1), (8, {'fast'}, 2), (12, {'fast', 'common'}, 2), (25, None, 0)],
)
def test_gang_is_not_held_up_by_one_slow_worker(placer, sessions, count, kinds, domains):
    """Guards against a gang with a slow member where fast workers have room for all, also in several domains."""
    step = step_of(Step(count=count, cpu_m=1000, estimate_ms=1000, gang=True))
    places = placer.place_gang(step, sessions, overdue=False)
    if kinds is None:
        assert places is None
    else:
        assert {session.worker.labels[0] for session in places} == kinds
        assert len({session.worker.failure_domain for session in places}) == domains
