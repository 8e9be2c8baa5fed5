"""Acceptance and cancellation of jobs."""

import pytest

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    OverloadedError,
    PeerUnavailableError,
)
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.state import JobState
from marigoldlift.jobs.submission import JobSubmission
from marigoldlift.jobs.task_ids import home_domain, job_id_for
from marigoldlift.jobs.tests.fakes import FakeHome, FakeReplica, configured
from marigoldlift.journal.messages import JobKind, JobSpec
from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ReplyStatus,
    SubmitRequest,
)
from marigoldlift.resources import Resources
from marigoldlift.routing.replies import EARLIER_ATTEMPT_UNKNOWN

pytestmark = pytest.mark.looptime

DOMAINS = ('recife', 'salvador')
SPEC = JobSpec(JobKind.batch, 2, Resources(cpu_milli=1000))

INVALID = (
    ({'workspace': 'nobody'}, 'workspace'),
    ({'workspace': 'gone'}, 'workspace'),
    ({'spec': JobSpec(JobKind.batch, 0, Resources())}, 'spec'),
    ({'spec': JobSpec(JobKind.batch, 1, Resources(cpu_milli=-1))}, 'spec'),
    (
        {'spec': JobSpec(JobKind.batch, 1, Resources(), selector={'failure_domain': 'atlantis'})},
        'selector.failure_domain',
    ),
)


class Desk:
    """Submission of an entry in recife, with its surroundings."""

    def __init__(self):
        self.state = DomainState()
        self.replica = FakeReplica(self.state)
        self.home = FakeHome()
        self.obstacle = ''
        self.submission = JobSubmission(
            DOMAINS,
            configured(
                ('workspace', 'bikes', '{}'),
                ('workspace', 'gone', '{"state": "departed"}'),
            ),
            self.state,
            self.replica,
            self.home,
            lambda spec, selector: self.obstacle,
            is_configured=lambda: True,
        )

    async def submit(self, **changes):
        """Submit a job."""
        fields = {
            'workspace': 'bikes',
            'key': key_of('recife'),
            'spec': SPEC,
            'attempt': 1,
            'deadline_ms': 1000,
        }
        return await self.submission.submit(SubmitRequest(**(fields | changes)))

    async def cancel(self, handle, workspace='bikes'):
        """Cancel a job."""
        return await self.submission.cancel(CancelRequest(workspace, handle, 1000))


def key_of(domain):
    """Return a key whose home is a failure domain."""
    keys = (f'k{number}' for number in range(100))
    return next(key for key in keys if home_domain('bikes', key, DOMAINS, {}) == domain)


JOB_ID = job_id_for('recife', 'bikes', key_of('recife'))


@pytest.fixture
async def desk():
    """Give a submission with an empty log."""
    return Desk()


@pytest.mark.parametrize(('changes', 'where'), INVALID)
async def test_submission_that_breaks_a_rule_changes_nothing(desk, changes, where):
    """Guards against jobs that no reader of the log can keep."""
    reply = await desk.submit(**changes)

    assert (reply.status, reply.path) == (ReplyStatus.invalid, where)
    assert not desk.replica.records


async def test_job_is_accepted_once_its_record_was_read_back(desk):
    """Guards against `accepted` without a durable record."""
    reply = await desk.submit()

    assert (reply.status, reply.handle) == (ReplyStatus.accepted, JOB_ID)
    assert (reply.token.stream, reply.token.offset) == ('domain-recife', 1)
    assert desk.state.jobs.job(JOB_ID).spec == SPEC


async def test_repeated_submission_maps_to_the_same_job(desk):
    """Guards against a job that runs twice because its answer was lost."""
    await desk.submit()
    reply = await desk.submit(attempt=2)

    assert (reply.status, reply.handle) == (ReplyStatus.accepted, JOB_ID)
    assert desk.state.jobs.unfinished() == (JOB_ID,)


async def test_other_job_under_the_same_key_is_a_conflict(desk):
    """Guards against a job that is silently dropped in favour of an earlier one."""
    await desk.submit()
    reply = await desk.submit(spec=JobSpec(JobKind.batch, 3, Resources()))

    assert (reply.status, reply.code, reply.path) == (ReplyStatus.invalid, 'conflict', 'key')


async def test_infeasible_job_is_accepted_with_the_reason(desk):
    """Guards against a job that waits for ever without a word."""
    desk.obstacle = 'no worker has 9 accelerators'
    reply = await desk.submit()

    assert reply.status is ReplyStatus.accepted
    assert (reply.code, reply.reason) == ('infeasible_now', desk.obstacle)


@pytest.mark.parametrize(
    ('error', 'attempt', 'status', 'code'),
    [
        (LogUnavailableError('down'), 1, ReplyStatus.not_run, 'log_unavailable'),
        (OverloadedError('full'), 1, ReplyStatus.not_run, 'overloaded'),
        (LogUnavailableError('down'), 2, ReplyStatus.unknown, EARLIER_ATTEMPT_UNKNOWN),
        (AppendOutcomeUnknownError('no answer'), 1, ReplyStatus.unknown, 'append_in_doubt'),
    ],
)
async def test_unwritten_job_is_refused_as_far_as_is_known(desk, error, attempt, status, code):
    """Guards against `not_run` for a job whose record may still appear."""
    desk.replica.errors = [error]
    reply = await desk.submit(attempt=attempt)

    assert (reply.status, reply.code) == (status, code)


async def test_job_in_doubt_has_a_handle(desk):
    """Guards against a job that runs and cannot be asked for."""
    desk.replica.errors = [AppendOutcomeUnknownError('no answer')]

    assert (await desk.submit()).handle == JOB_ID


async def test_job_goes_to_its_home(desk):
    """Guards against a job in the stream of a failure domain that does not keep it."""
    desk.home.replies = [ExecuteReply(ReplyStatus.accepted, handle='there')]
    reply = await desk.submit(key=key_of('salvador'))

    assert reply.handle == 'there'
    assert desk.home.calls == [('salvador', 'Submit')]
    assert not desk.replica.records


@pytest.mark.parametrize(
    ('may_have_run', 'attempt', 'status', 'code'),
    [
        (False, 1, ReplyStatus.not_run, 'peer_unavailable'),
        (False, 2, ReplyStatus.unknown, EARLIER_ATTEMPT_UNKNOWN),
        (True, 1, ReplyStatus.unknown, 'peer_unavailable'),
    ],
)
async def test_silent_home_is_judged_by_whether_it_was_reached(
    desk,
    may_have_run,
    attempt,
    status,
    code,
):
    """Guards against `not_run` for a job that its home may have accepted."""
    desk.home.replies = [PeerUnavailableError('silent', may_have_run=may_have_run)]
    reply = await desk.submit(key=key_of('salvador'), attempt=attempt)

    assert (reply.status, reply.code) == (status, code)


async def test_cancellation_is_read_back_and_can_be_repeated(desk):
    """Guards against a cancellation that is confirmed and lost."""
    await desk.submit()
    first = await desk.cancel(JOB_ID)
    second = await desk.cancel(JOB_ID)

    assert {first.status, second.status} == {ReplyStatus.accepted}
    assert (first.handle, first.token.offset) == (JOB_ID, 2)
    assert desk.state.jobs.job(JOB_ID).state is JobState.cancelled


@pytest.mark.parametrize(
    ('handle', 'workspace'),
    [('no handle', 'bikes'), ('recife.j.none', 'bikes'), (JOB_ID, 'others')],
)
async def test_job_that_is_not_there_cannot_be_cancelled(desk, handle, workspace):
    """Guards against one workspace that cancels the jobs of another."""
    await desk.submit()
    reply = await desk.cancel(handle, workspace)

    assert (reply.status, reply.code) == (ReplyStatus.invalid, 'not_found')
    assert desk.state.jobs.job(JOB_ID).state is JobState.active


@pytest.mark.parametrize('error', [LogUnavailableError('down'), OverloadedError('full')])
async def test_unwritten_cancellation_is_unknown(desk, error):
    """Guards against a caller that believes the job is cancelled, or that it surely is not."""
    await desk.submit()
    desk.replica.errors = [error]
    reply = await desk.cancel(JOB_ID)

    assert (reply.status, reply.code) == (ReplyStatus.unknown, error.code)


async def test_cancellation_goes_to_the_home_of_the_job(desk):
    """Guards against a cancellation that only the receiving failure domain sees."""
    desk.home.replies = [PeerUnavailableError('silent', may_have_run=False)]
    reply = await desk.cancel(job_id_for('salvador', 'bikes', 'k1'))

    assert desk.home.calls == [('salvador', 'Cancel')]
    assert (reply.status, reply.code) == (ReplyStatus.unknown, 'peer_unavailable')
