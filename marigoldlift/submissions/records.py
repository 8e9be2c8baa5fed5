"""Records of the shared log; the store keeps the newest record of each key."""

from enum import Enum

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.submissions.access import ANYONE, Caller
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = (
    'NEW_TENURE',
    'Accepted',
    'Backlog',
    'Cancelled',
    'Dropped',
    'Finished',
    'KnownWorker',
    'Leadership',
    'Outcome',
    'Progress',
    'Record',
    'StepProgress',
    'UnansweredStart',
)


#: Value of `Leadership.renews` in a claim.
NEW_TENURE = -1


class Outcome(Enum):
    """State of a submission."""

    queued = 'queued'
    running = 'running'
    complete = 'complete'
    failed = 'failed'
    cancelled = 'cancelled'


class UnansweredStart(msgspec.Struct, array_like=True, frozen=True):
    """Start order without an answer, which may still be executed.

    Attributes:
        run: number of the run.
        tenure: tenure of the leader that has ordered it.
    """

    run: int
    tenure: int


class StepProgress(msgspec.Struct, array_like=True):
    """Placements, completed tasks and failed runs of one step of one occurrence.

    Attributes:
        last_run: highest run number with which any task of the step was started.
        placed: workers on which tasks that have not ended were started, by index of the task.
        failures: numbers of the failed runs, by index of the task; those of a gang are under index 0.
        unanswered: starts of placed tasks that have no answer, by index of the task.
        saved: newest checkpoints of the tasks that are not done and that no worker holds, by index; that of a gang is under index 0.
    """

    occurrence: int
    step: int
    last_run: int = 0
    done: list[int] = []
    failures: dict[int, list[int]] = {}
    placed: dict[int, str] = {}
    unanswered: dict[int, UnansweredStart] = {}
    saved: dict[int, str] = {}


class Backlog(msgspec.Struct, array_like=True, frozen=True):
    """How long the workers of a service need for the work that waits for them.

    Attributes:
        urgent_s: for work of the highest priority, within shares and beyond, in s.
        total_s: for all of it, in s.
    """

    urgent_s: float = 0
    total_s: float = 0


class Record(msgspec.Struct, array_like=True, tag=True):
    """Base of all records of the shared log."""


class Accepted(Record, tag='s'):
    """A submission that was accepted."""

    submission: Submission


class Cancelled(Record, tag='c'):
    """A submission that its caller has cancelled.

    Attributes:
        caller: who has cancelled it; without effect on a submission that this caller may not access.
    """

    submission: SubmissionId
    caller: Caller = ANYONE


class Progress(Record, tag='p'):
    """Placements, completed tasks and failed runs of a submission, written by the leader of one tenure.

    It is stored before a start is ordered, so that the next leader knows which workers may hold a task.

    A submission of many steps has several records, so that a change does not write the progress of all of them.

    Attributes:
        steps: steps of the part that have begun; a complete one only while a worker may hold a task of it.
        complete: all steps that are complete, as `StepSet` encodes them.
        part: number of the part, see `StepSet.part_of`.
    """

    submission: SubmissionId
    tenure: int
    outcome: Outcome
    steps: list[StepProgress] = []
    complete: bytes = b''
    part: int = 0


class Leadership(Record, tag='l'):
    """Claim, renewal or release of the leadership by an entry.

    Attributes:
        life: identifies one incarnation of the entry's process.
        sent_at: when it was sent, in seconds of the sender's monotonic clock.
        address: address at which other entries reach it.
        renews: number of the tenure that it renews or releases; `NEW_TENURE` for a claim, which begins one.
        response_s: how long the sender's last append took, in s.
        backlogs: services with a backlog.
        age_s: time since the sender read that its tenure has begun, in s; 0 if that is not known.
    """

    node: str
    life: str
    sent_at: float
    failure_domain: str
    address: str
    released: bool = False
    renews: int = NEW_TENURE
    response_s: float = 0
    backlogs: dict[str, Backlog] = {}
    age_s: float = 0


class Finished(Record, tag='f'):
    """Outcome of a submission that has ended and has no runs left.

    Its other records are dropped after this one, so that a snapshot stays small.

    Attributes:
        workspace: workspace whose callers may still query it, `NO_WORKSPACE` for all callers.
        queue: name of its queue, empty without a workspace.
    """

    submission: SubmissionId
    outcome: Outcome
    workspace: WorkspaceId = NO_WORKSPACE
    queue: str = ''


class KnownWorker(Record, tag='w'):
    """A worker that may hold tasks; written before its first order."""

    worker: str
    address: str
    failure_domain: str


class Dropped(Record, tag='d'):
    """Removal of a key that is no longer needed; stored as the key without content."""

    key: str
