"""Checks of records before they change a job; each returns the reason of a refusal, or ''."""

from collections.abc import Callable

from marigoldlift.jobs.state import Job, JobState, TaskPhase
from marigoldlift.journal.messages import Assignment, JobKind, JobSpec, TasksAssigned
from marigoldlift.resources import Resources

__all__ = ('JOB_ENDED', 'MAX_TASKS_PER_JOB', 'check_assigned', 'check_spec', 'scaled')

#: One record must not fill the memory of every reader; the whole cell runs 49,000 tasks.
MAX_TASKS_PER_JOB = 50_000

#: Formatted with the job.
JOB_ENDED = 'job is {0.state.value}'

#: Formatted with the assignment and the task.
NOT_PENDING = 'task {0.task_index} is {1.phase.value}'
NOT_NEXT = 'attempt {0.attempt} of task {0.task_index} is not the next, the last was {1.attempt}'


def scaled(resources: Resources, count: int) -> Resources:
    """Return the resources of `count` equal tasks."""
    return Resources(
        resources.cpu_milli * count,
        resources.memory_mb * count,
        resources.accelerators * count,
        resources.slots * count,
    )


def check_spec(spec: JobSpec) -> str:
    """Refuse sizes that would break accounting or memory of the readers."""
    if not 1 <= spec.tasks <= MAX_TASKS_PER_JOB:
        return f'tasks must be 1 to {MAX_TASKS_PER_JOB}'
    if spec.max_attempts < 1:
        return 'max_attempts must be at least 1'
    if not Resources().fits_into(spec.resources):
        return 'resources must not be negative'
    return ''


def check_assigned(job: Job, record: TasksAssigned, used: Resources) -> str:
    """Refuse an assignment that breaks any rule; `used` is the usage of the workspace."""
    if job.state is not JobState.active:
        return JOB_ENDED.format(job)
    for check in ASSIGNED_CHECKS:
        reason = check(job, record)
        if reason:
            return reason
    needed = used + scaled(job.spec.resources, len(record.assignments))
    if record.limit is not None and not needed.fits_into(record.limit):
        return 'limit of the workspace would be exceeded'
    return ''


def check_distinct(job: Job, record: TasksAssigned) -> str:
    """Refuse an empty record and one that names a task twice."""
    indexes = {assignment.task_index for assignment in record.assignments}
    if not indexes:
        return 'no task is named'
    if len(indexes) != len(record.assignments):
        return 'a task is named twice'
    return ''


def check_attempts(job: Job, record: TasksAssigned) -> str:
    """Refuse the whole record when one attempt is not the next of a pending task."""
    for assignment in record.assignments:
        reason = check_attempt(job, assignment)
        if reason:
            return reason
    return ''


def check_attempt(job: Job, assignment: Assignment) -> str:
    """Refuse an attempt of a task that is not pending, or that is not the next."""
    task = job.task(assignment.task_index)
    if task is None:
        return f'no task {assignment.task_index}'
    if task.phase is not TaskPhase.pending:
        return NOT_PENDING.format(assignment, task)
    if assignment.attempt != task.attempt + 1:
        return NOT_NEXT.format(assignment, task)
    return ''


def check_gang(job: Job, record: TasksAssigned) -> str:
    """Refuse a part of a gang; ended tasks are not started again."""
    if job.spec.kind is JobKind.gang and len(record.assignments) != job.open_tasks:
        return 'gang must be assigned whole'
    return ''


#: The attempts are checked before the gang, which counts on distinct open tasks.
ASSIGNED_CHECKS: tuple[Callable[[Job, TasksAssigned], str], ...] = (
    check_distinct,
    check_attempts,
    check_gang,
)
