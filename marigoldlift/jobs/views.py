"""What callers read about a job or key."""

import msgspec

from marigoldlift.ids import JobId, KeyId, WorkspaceId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.key_table import KeyEntry
from marigoldlift.jobs.state import Job, TaskPhase

__all__ = ('JobView', 'KeyView', 'TaskView', 'view_of')

#: Tasks listed one by one; a larger job shows counts and the first ones.
MAX_LISTED_TASKS = 1000


class TaskView(msgspec.Struct, omit_defaults=True):
    """One task of a job."""

    task_index: int
    phase: str
    attempt: int = 0
    worker: str = ''
    result: str = ''


class JobView(msgspec.Struct):
    """A job with its tasks.

    Attributes:
        counts: tasks by phase.
        waits_for: why pending tasks wait; filled in when an explanation was asked for.
        reasons: newest reasons of failed and released attempts.
        token: point of the stream that this view shows.
    """

    kind: str
    handle: str
    workspace: WorkspaceId
    key: str
    job_kind: str
    state: str
    counts: dict[str, int]
    tasks: list[TaskView]
    reasons: list[str]
    token: str
    waits_for: str = ''


class KeyView(msgspec.Struct):
    """A non-repeatable request."""

    kind: str
    handle: str
    workspace: WorkspaceId
    key: str
    status: str
    answer: str
    reason: str
    token: str
    worker: str = ''


def view_of(
    state: DomainState,
    handle: str,
    token: str,
    waits_for: str,
) -> JobView | KeyView | None:
    """Return the view of a handle, None when there is no such job or key."""
    job = state.jobs.job(JobId(handle))
    if job is not None:
        return job_view(job, token, waits_for)
    entry = state.keys.key(KeyId(handle))
    return None if entry is None else key_view(entry, token)


def job_view(job: Job, token: str, waits_for: str) -> JobView:
    """Return the view of a job."""
    return JobView(
        kind='job',
        handle=job.job_id,
        workspace=job.workspace,
        key=job.key,
        job_kind=job.spec.kind.value,
        state=job.state.value,
        counts=job.outcomes or phase_counts(job),
        tasks=[
            TaskView(index, task.phase.value, task.attempt, task.worker_id, task.result)
            for index, task in enumerate(job.tasks[:MAX_LISTED_TASKS])
        ],
        reasons=job.reasons,
        token=token,
        waits_for=waits_for,
    )


def phase_counts(job: Job) -> dict[str, int]:
    """Count the tasks of a job by phase."""
    counts = dict.fromkeys((phase.value for phase in TaskPhase), 0)
    for task in job.tasks:
        counts[task.phase.value] += 1
    return {phase: count for phase, count in counts.items() if count}


def key_view(entry: KeyEntry, token: str) -> KeyView:
    """Return the view of a key."""
    return KeyView(
        kind='request',
        handle=entry.key_id,
        workspace=entry.workspace,
        key=entry.key,
        status=entry.status.value,
        answer=entry.answer,
        reason=entry.reason,
        token=token,
        worker=entry.worker_id,
    )
