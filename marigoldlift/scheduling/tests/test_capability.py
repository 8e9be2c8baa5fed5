"""Which steps the listed workers could hold."""

import pytest

from marigoldlift.orders.api import Worker
from marigoldlift.scheduling.capability import Capabilities
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.state import Job

POLICY = Policy('queue', 'service', 1, 3, 2.0, 1000)


def worker(name, service='service', ready=True, **capacity):
    """Return a listed worker, by default of 10 cores and 1000 MB in the rack r1."""
    amounts = {'cpu_m': 10_000, 'mem_mb': 1000, 'gpus': 0, 'labels': ('kind', 'r1')} | capacity
    return Worker(name, 'address', 'a', service, ready, 0, **amounts)


def can_hold(workers, **demand):
    """Return whether workers can hold a step."""
    step = Step(**{'count': 1} | demand)
    job = JobRun(Job(Submission(SubmissionId('job'), '', (step,), POLICY, 'e0'), 0, 0))
    listed = {found.id: found for found in workers}
    return Capabilities(listed).can_hold(next(job.open_due(0)))


@pytest.mark.parametrize(
    ('demand', 'expected'),
    [
        ({'cpu_m': 10_000, 'mem_mb': 1000}, True),
        ({'cpu_m': 10_001}, False),
        ({'cpu_m': 10_001, 'fills': True}, True),
        ({'mem_mb': 1001}, False),
        ({'gpus': 1}, False),
        ({'gpus': 1, 'cpu_m': 5000}, False),
        ({'requires': 'r1'}, True),
        ({'requires': 'r2'}, False),
        ({'count': 1000, 'cpu_m': 10_000}, True),
        ({'count': 4, 'cpu_m': 5000, 'gang': True}, True),
        ({'count': 5, 'cpu_m': 5000, 'gang': True}, False),
        ({'count': 3, 'cpu_m': 1000, 'gang': True, 'spread_limit': 1}, False),
        ({'count': 2, 'cpu_m': 1000, 'gang': True, 'spread_limit': 1}, True),
    ],
)
def test_step_fits_on_empty_workers_or_never(demand, expected):
    """Guards against LOST: a step that the workers can hold is taken for one that they cannot, or the reverse."""
    assert can_hold([worker('w0'), worker('w1')], **demand) == expected


def test_only_ready_workers_of_the_service_count():
    """Guards against steps that are tried in vain because of workers that get no tasks of them."""
    small = worker('w0', cpu_m=1000)
    assert not can_hold([small, worker('w1', service='other')], cpu_m=5000)
    assert not can_hold([small, worker('w1', ready=False)], cpu_m=5000)
    assert can_hold([small, worker('w1', gpus=2, cpu_m=500)], gpus=2)


def test_answer_follows_the_list_of_workers():
    """Guards against LOST: work that is not tried although a worker has come that can hold it."""
    listed = {}
    step = Step(count=1, cpu_m=1000)
    job = JobRun(Job(Submission(SubmissionId('job'), '', (step,), POLICY, 'e0'), 0, 0))
    waiting = next(job.open_due(0))
    capabilities = Capabilities(listed)
    assert not capabilities.can_hold(waiting)
    listed['w0'] = worker('w0')
    capabilities.begin_pass()
    assert capabilities.can_hold(waiting)
