"""Which submissions an entry refuses early, and when their callers should come back."""

import msgspec
import pytest

from marigoldlift.errors import LogUnavailableError, ShareExceededError
from marigoldlift.ids import WorkspaceId
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.records import Backlog, Finished, Outcome
from marigoldlift.submissions.share_admission import MAX_RETRY_S, ShareAdmission, retry_after_s
from marigoldlift.submissions.state import CellState
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.model import Workspace
from marigoldlift.workspaces.shares import WorkspaceShares

SURGE, CALM = WorkspaceId('surge'), WorkspaceId('calm')

#: Submissions of a surge, and those among them that exceed no limit: 4 and a second of the weight are within the share,
#: 20 and half a second may not be refused.
SENT = 60
KEPT = 25

#: How long a submission may wait: three times its objective of 3 s, less a second of work.
SPARE_S = 8


class FakeCell:
    """An entry with a backlog that the test sets, and a log that answers or not."""

    def __init__(self, backlog_s):
        """Build the admission."""
        self.waiting_s = backlog_s
        self.answers = True
        self.state = CellState(float)
        directory = WorkspaceDirectory()
        directory.replace(1, [Workspace(SURGE, 10), Workspace(CALM, 10)])
        shares = WorkspaceShares(directory, float)
        self.admission = ShareAdmission(shares, self, self.state, self, float, Metrics())

    def backlog(self, service):
        """Return the backlog."""
        return Backlog(total_s=self.waiting_s)

    async def synchronize(self):
        """Read the log."""
        if not self.answers:
            raise LogUnavailableError('no answer')

    async def send(self, count, workspace=SURGE):
        """Hand submissions in, and return those taken and the pauses of those refused."""
        taken, pauses = [], []
        for number in range(count):
            try:
                taken.append(
                    await self.admission.admit(submission(f'{workspace}{number}', workspace))
                )
            except ShareExceededError as refusal:
                pauses.append(refusal.retry_after_s)
        return taken, pauses


def submission(name, workspace=SURGE):
    """Return a submission that is not worthless if it waits for `SPARE_S` at most."""
    policy = Policy('queue', 'service', 1, 3, 2.0, 1000)
    steps = (Step(count=1, estimate_ms=1000),)
    return Submission(SubmissionId(name), '', steps, policy, 'e0', workspace=workspace)


async def test_full_cell_refuses_only_what_is_beyond_a_share():
    """Guards against a caller within its share that is refused for another's surge, and against wrong or equal pauses."""
    cell = FakeCell(backlog_s=10)
    taken, pauses = await cell.send(SENT)
    assert (len(taken), len(pauses)) == (KEPT, SENT - KEPT)
    assert len(set(pauses)) == len(pauses)
    assert min(pauses) >= 10 - SPARE_S
    assert max(pauses) <= 2 * (10 - SPARE_S)
    assert await cell.send(10, CALM) == (
        [submission(f'calm{number}', CALM) for number in range(10)],
        [],
    )


@pytest.mark.parametrize(('backlog_s', 'answers'), [(0, True), (7.9, True), (10, False)])
async def test_nothing_is_refused_while_it_can_be_in_time_or_the_log_is_silent(backlog_s, answers):
    """Guards against refusals by a cell with room, and by a cut-off entry, which cannot know what others have taken."""
    cell = FakeCell(backlog_s)
    cell.answers = answers
    taken, pauses = await cell.send(SENT)
    assert not pauses
    assert [number for number, marked in enumerate(taken) if marked.ahead_s] == list(
        range(14, SENT)
    )


async def test_accepted_submission_is_never_refused():
    """Guards against telling a caller that a submission does not run which another entry has accepted."""
    cell = FakeCell(backlog_s=10)
    await cell.send(SENT)
    cell.state.accept(7, submission('again'))
    assert await cell.admission.admit(submission('again')) is None


async def test_submission_counts_once():
    """Guards against a share that is used up by a repeated submission, by reading one's own, or by one not stored."""
    cell = FakeCell(backlog_s=0)
    sent = submission('one')
    marked = [cell.admission.mark(sent) for _ in range(2)][1]
    cell.state.accept(1, marked)
    for offset in (1, 2):
        cell.admission.observe(offset, marked)
    assert cell.admission.shares.usages[SURGE].sent == pytest.approx(1)
    cell.admission.mark(submission('refused'))
    cell.admission.withdraw(submission('refused'))
    assert cell.admission.shares.usages[SURGE].sent == pytest.approx(1)


@pytest.mark.parametrize(
    'fields', [{'first_due_ms': 1}, {'steps': (Step(count=1, long_running=True),)}]
)
async def test_work_that_may_begin_later_is_not_refused(fields):
    """Guards against refusals of what is due after the surge, or runs long after it, because of the backlog of now."""
    cell = FakeCell(backlog_s=10)
    await cell.send(SENT)
    assert await cell.admission.admit(msgspec.structs.replace(submission('later'), **fields))


async def test_repeated_id_keeps_only_its_mark():
    """Guards against an older policy, or the submission of another workspace, that is stored for a repeated id."""
    cell = FakeCell(backlog_s=0)
    first = cell.admission.mark(submission('one'))
    newer = msgspec.structs.replace(submission('one'), content='newer')
    assert cell.admission.mark(newer) == msgspec.structs.replace(newer, ahead_s=first.ahead_s)
    foreign = msgspec.structs.replace(newer, workspace='other')
    assert cell.admission.mark(foreign).workspace == 'other'


def test_pause_of_a_refusal_is_bounded():
    """Guards against callers that are sent away for minutes by a backlog that has passed long before."""
    assert retry_after_s(SubmissionId('one'), 600) <= 2 * MAX_RETRY_S


def test_acceptance_of_another_workspace_that_is_read_first_is_dropped():
    """Guards against a rejected submission that runs after a restart, once the outcome of the id has expired."""
    state = CellState(float)
    state.accept(0, submission('one', CALM))
    state.finish(Finished(SubmissionId('one'), Outcome.complete, SURGE))
    assert state.rejected_acceptances == {'one/calm'}
