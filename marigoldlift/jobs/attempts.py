"""What the end of an attempt means for its task and its job."""

from types import MappingProxyType

from marigoldlift.jobs.job_store import JobStore
from marigoldlift.jobs.state import (
    LIVE_PHASES,
    MAX_LOST_ATTEMPTS,
    NOT_STARTED_PREFIX,
    WORKER_LOST_PREFIX,
    Job,
    JobState,
    Task,
    TaskPhase,
)
from marigoldlift.journal.messages import JobKind, TaskFinished, TaskOutcome, TaskReleased

__all__ = (
    'add_reason',
    'end_attempt',
    'give_up',
    'is_fault',
    'live_task',
    'phase_after_finish',
    'phase_after_release',
)

#: Reasons kept of each job, and their length in characters, so that a job that fails often
#: stays small.
MAX_REASONS = 8
MAX_REASON_CHARS = 200

#: What a job that failed or was cancelled makes of its open tasks.
GIVE_UP = MappingProxyType(
    {
        TaskPhase.pending: TaskPhase.cancelled,
        TaskPhase.assigned: TaskPhase.stopping,
    },
)

#: What a gang that lost a member makes of the other members.
GANG_STOP = MappingProxyType({TaskPhase.assigned: TaskPhase.stopping})

OUTCOME_PHASES = MappingProxyType(
    {
        TaskOutcome.succeeded: TaskPhase.succeeded,
        TaskOutcome.failed: TaskPhase.failed,
    },
)


def live_task(job: Job, record: TaskReleased | TaskFinished) -> Task | None:
    """Return the task of a record if the attempt that it names is live."""
    task = job.task(record.task_index)
    if task is None or task.attempt != record.attempt or task.phase not in LIVE_PHASES:
        return None
    return task


def add_reason(job: Job, record: TaskReleased | TaskFinished, reason: str) -> None:
    """Keep why an attempt brought no success."""
    text = f'task {record.task_index} attempt {record.attempt}: {reason}'
    job.reasons.append(text[:MAX_REASON_CHARS])
    job.reasons = job.reasons[-MAX_REASONS:]


def is_fault(record: TaskReleased) -> bool:
    """Tell whether a release counts for the limit of attempts."""
    if record.reason.startswith(NOT_STARTED_PREFIX):
        return False
    is_lost = record.reason.startswith(WORKER_LOST_PREFIX)
    return not is_lost or record.attempt >= MAX_LOST_ATTEMPTS


def phase_after_finish(job: Job, task: Task, outcome: TaskOutcome) -> TaskPhase:
    """Return where a task goes whose attempt ended by itself."""
    if job.state is not JobState.active:
        return OUTCOME_PHASES[outcome]
    if job.spec.kind is JobKind.service:
        return TaskPhase.pending
    if outcome is TaskOutcome.succeeded:
        return TaskPhase.succeeded
    return phase_after_fault(job, task)


def phase_after_release(job: Job, task: Task, *, is_counted: bool) -> TaskPhase:
    """Return where a task goes whose attempt was stopped or lost."""
    if job.state is not JobState.active:
        return TaskPhase.cancelled
    if is_counted and job.spec.kind is not JobKind.service:
        return phase_after_fault(job, task)
    return TaskPhase.pending


def phase_after_fault(job: Job, task: Task) -> TaskPhase:
    """Count a fault of an active job; the last one that it may have makes the task fail.

    A gang counts one fault for each round, whichever member had it, so that no member starts
    more often than the job allows. Members that are stopping therefore count none.
    """
    if task.phase is TaskPhase.stopping:
        return TaskPhase.pending
    counter = job if job.spec.kind is JobKind.gang else task
    counter.faults += 1
    if counter.faults >= job.spec.max_attempts:
        return TaskPhase.failed
    return TaskPhase.pending


def end_attempt(store: JobStore, job: Job, task_index: int, phase: TaskPhase) -> None:
    """Move a live task on, with the consequences for the rest of the job."""
    was_assigned = job.tasks[task_index].phase is TaskPhase.assigned
    store.set_phase(job, task_index, phase)
    if job.state is JobState.active and was_assigned:
        follow_up(store, job, phase)
    store.close_if_ended(job)


def follow_up(store: JobStore, job: Job, phase: TaskPhase) -> None:
    """Fail a job with its task, and stop a gang that lost a member."""
    if phase is TaskPhase.failed:
        give_up(store, job, JobState.failed)
    elif phase is TaskPhase.pending and job.spec.kind is JobKind.gang:
        store.shift(job, GANG_STOP)


def give_up(store: JobStore, job: Job, state: JobState) -> None:
    """Let no further attempt of the job start."""
    job.state = state
    store.shift(job, GIVE_UP)
