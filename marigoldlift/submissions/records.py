"""Records of the shared log, each under a key of which the store keeps the newest."""

from enum import Enum

import msgspec

from marigoldlift.submissions.model import Submission, SubmissionId

__all__ = (
    'Accepted',
    'Cancelled',
    'Dropped',
    'Finished',
    'KnownWorker',
    'Leadership',
    'Outcome',
    'Progress',
    'Record',
    'StepProgress',
)


class Outcome(Enum):
    """Where a submission stands."""

    queued = 'queued'
    running = 'running'
    complete = 'complete'
    failed = 'failed'
    cancelled = 'cancelled'


class StepProgress(msgspec.Struct, array_like=True):
    """What is known to have ended of one step of one occurrence.

    Attributes:
        last_run: highest run that any task of the step was started with.
        placed: workers that unended tasks were ordered to run on, by index.
        failures: numbers of the failed runs by index of the task; of a gang under the index 0.
    """

    occurrence: int
    step: int
    last_run: int = 0
    done: list[int] = []
    failures: dict[int, list[int]] = {}
    placed: dict[int, str] = {}


class Record(msgspec.Struct, array_like=True, tag=True):
    """Base of all records of the shared log."""


class Accepted(Record, tag='s'):
    """A submission that was accepted."""

    submission: Submission


class Cancelled(Record, tag='c'):
    """A submission that its caller has cancelled."""

    submission: SubmissionId


class Progress(Record, tag='p'):
    """Placements and ends of a submission's tasks, as the leader of one tenure knows them.

    It is stored before a start is ordered, so that the next leader knows which workers may hold a task.
    """

    submission: SubmissionId
    tenure: int
    outcome: Outcome
    steps: list[StepProgress] = []


class Leadership(Record, tag='l'):
    """An entry claims, renews or releases the right to give orders.

    Attributes:
        life: names one life of the entry's process.
        sent_at: when it was sent, in seconds of the sender's steady clock.
        address: where other entries reach it.
    """

    node: str
    life: str
    sent_at: float
    failure_domain: str
    address: str
    released: bool = False


class Finished(Record, tag='f'):
    """All that is still told of a submission that has ended and runs nowhere any more.

    Its other records are dropped after this one, so that a snapshot stays small.
    """

    submission: SubmissionId
    outcome: Outcome


class KnownWorker(Record, tag='w'):
    """A worker that may hold tasks; written before its first order."""

    worker: str
    address: str
    failure_domain: str


class Dropped(Record, tag='d'):
    """A key is no longer needed; stored as a key without content."""

    key: str
