"""Jobs and their tasks as the records of a domain stream leave them.

A domain holds thousands of tasks in the memory of a small VM, so a task has few fields, and
strings that repeat between tasks are interned.
"""

import sys
from enum import Enum

import msgspec

from marigoldlift.ids import (
    Epoch,
    IdempotencyKey,
    Incarnation,
    JobId,
    Offset,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.journal.messages import JobAccepted, JobSpec
from marigoldlift.util import digest

__all__ = (
    'LIVE_PHASES',
    'MAX_LOST_ATTEMPTS',
    'NOT_STARTED_PREFIX',
    'OPEN_PHASES',
    'OUTCOME_RETENTION_MS',
    'WORKER_LOST_PREFIX',
    'AssignedTask',
    'Job',
    'JobState',
    'Task',
    'TaskPhase',
    'content_digest_of',
    'intern_task',
)

#: Outcomes can be read, and a repeated submission finds them, for 24 h.
OUTCOME_RETENTION_MS = 86_400_000

#: Start of the reason of a release that is no fault of the task, since it never ran.
NOT_STARTED_PREFIX = 'not_started:'

#: Start of the reason of a release for a worker that restarted or was lost. Over months a task
#: meets several of them, which is no fault of its own.
WORKER_LOST_PREFIX = 'worker_lost:'

#: Attempt from which on a lost worker counts as a fault all the same: the task may be the cause.
MAX_LOST_ATTEMPTS = 50


class JobState(Enum):
    """What became of a job; tasks of a failed or cancelled one may still be stopping."""

    active = 'active'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'


class TaskPhase(Enum):
    """State of a task; `stopping` has an attempt that must end before anything else happens."""

    pending = 'pending'
    assigned = 'assigned'
    stopping = 'stopping'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'


#: Phases in which an attempt may run and holds resources.
LIVE_PHASES = frozenset((TaskPhase.assigned, TaskPhase.stopping))

#: Phases that are not final.
OPEN_PHASES = LIVE_PHASES | {TaskPhase.pending}


class Task(msgspec.Struct, array_like=True, gc=False):
    """One task of a job.

    Attributes:
        attempt: number of the last attempt, 0 before the first.
        faults: attempts that count for the limit of the job.
        worker_id: worker of the last attempt, with its incarnation and epoch.
        assigned_at: offset of the record that assigned the last attempt.
        result: answer of the attempt that ended the task.
    """

    phase: TaskPhase = TaskPhase.pending
    attempt: int = 0
    faults: int = 0
    worker_id: WorkerId = WorkerId('')
    incarnation: Incarnation = Incarnation('')
    epoch: Epoch = Epoch(0)
    assigned_at: Offset = Offset(0)
    result: str = ''


class Job(msgspec.Struct):
    """One job with its tasks.

    Attributes:
        content_digest: digest of all that a repeated submission must repeat.
        tasks: by task index; empty once the details of an old ended job are dropped.
        open_tasks: number of tasks whose phase is not final.
        faults: rounds of a gang that count for its limit of attempts.
        ended_ms: newest time that the stream had shown when the last task ended, 0 before.
        reasons: newest reasons of failed and released attempts.
        outcomes: number of tasks by final phase, once the job has ended.
    """

    job_id: JobId
    workspace: WorkspaceId
    key: IdempotencyKey
    spec: JobSpec
    accepted_ms: int
    content_digest: str
    tasks: list[Task]
    open_tasks: int
    state: JobState = JobState.active
    faults: int = 0
    ended_ms: int = 0
    reasons: list[str] = []
    outcomes: dict[str, int] = {}

    def task(self, task_index: int) -> Task | None:
        """Return a task, or None when there is none or its details are dropped."""
        if 0 <= task_index < len(self.tasks):
            return self.tasks[task_index]
        return None

    @property
    def has_ended(self) -> bool:
        """Whether no task of the job runs or will run."""
        return self.open_tasks == 0


class AssignedTask(msgspec.Struct, frozen=True):
    """A live attempt on a worker."""

    job: Job
    task_index: int
    task: Task


def content_digest_of(record: JobAccepted) -> str:
    """Return a digest of a submission, the same for any order of its labels."""
    spec = msgspec.json.encode(record.spec, order='deterministic').decode()
    return digest(record.workspace, record.key, spec)


def intern_task(task: Task) -> None:
    """Share the strings that many tasks repeat."""
    task.worker_id = WorkerId(sys.intern(task.worker_id))
    task.incarnation = Incarnation(sys.intern(task.incarnation))
