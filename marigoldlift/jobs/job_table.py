"""Jobs of one failure domain, changed only by the records of its stream."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from marigoldlift.ids import JobId, Offset, WorkerId, WorkspaceId
from marigoldlift.jobs import attempts
from marigoldlift.jobs.job_checks import JOB_ENDED, check_assigned, check_spec
from marigoldlift.jobs.job_store import JobStore
from marigoldlift.jobs.state import (
    OPEN_PHASES,
    AssignedTask,
    Job,
    JobState,
    Task,
    TaskPhase,
    content_digest_of,
)
from marigoldlift.journal.messages import (
    JobAccepted,
    JobCancelled,
    TaskFinished,
    TaskOutcome,
    TaskReleased,
    TasksAssigned,
    TasksPreempted,
)
from marigoldlift.journal.state import Verdict
from marigoldlift.resources import ZERO_RESOURCES, Resources

__all__ = ('KEY_REUSED', 'JobRecord', 'JobTable')

JobRecord = (
    JobAccepted | TasksAssigned | TaskReleased | TasksPreempted | TaskFinished | JobCancelled
)

KEY_REUSED = 'key reused with other content'
UNKNOWN_JOB = Verdict(accepted=False, reason='unknown job')
NOT_LIVE = Verdict(accepted=False, reason='attempt is not assigned')
ACCEPTED = Verdict(accepted=True)


class JobTable:
    """All jobs of a failure domain.

    Attributes:
        store: the jobs and their indexes; changed by `apply` and `advance` only.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.store = JobStore()

    def job(self, job_id: JobId) -> Job | None:
        """Return a job that is unfinished or ended less than the retention time ago."""
        return self.store.jobs.get(job_id)

    def unfinished(self) -> tuple[JobId, ...]:
        """Return the ids of jobs with open tasks, in the order of acceptance."""
        return tuple(self.store.open_jobs)

    def with_pending(self) -> tuple[JobId, ...]:
        """Return the ids of jobs with pending tasks, sorted."""
        return tuple(sorted(self.store.index.pending))

    def pending_tasks(self, job_id: JobId) -> list[int]:
        """Return the indexes of the pending tasks of a job, sorted."""
        return sorted(self.store.index.pending.get(job_id, ()))

    def assigned_to(self, worker_id: WorkerId) -> list[AssignedTask]:
        """Return the live attempts on a worker, those that must stop among them."""
        jobs = self.store.jobs
        places = sorted(self.store.index.live.get(worker_id, ()))
        return [
            AssignedTask(jobs[job_id], task_index, jobs[job_id].tasks[task_index])
            for job_id, task_index in places
        ]

    def usage(self, workspace: WorkspaceId) -> Resources:
        """Return the resources of the live attempts of a workspace."""
        return self.store.index.usage.get(workspace, ZERO_RESOURCES)

    def advance(self, at_ms: int) -> None:
        """Note a writer's time, and forget ended jobs that are too old or too many."""
        self.store.advance(at_ms)

    def apply(self, offset: Offset, record: JobRecord) -> Verdict:
        """Apply one record; a refused one changes nothing."""
        if isinstance(record, JobAccepted):
            return accept_job(self.store, record)
        job = self.store.jobs.get(record.job_id)
        if job is None:
            return UNKNOWN_JOB
        return TRANSITIONS[type(record)](self.store, job, offset, record)


def accept_job(store: JobStore, record: JobAccepted) -> Verdict:
    """Keep a job; a repeated submission with the same content is accepted without effect."""
    content_digest = content_digest_of(record)
    known = store.jobs.get(record.job_id)
    if known is not None:
        is_same = known.content_digest == content_digest
        return Verdict(is_same, 'already accepted' if is_same else KEY_REUSED)
    reason = check_spec(record.spec)
    if reason:
        return Verdict(accepted=False, reason=reason)
    store.add(new_job(record, content_digest))
    return ACCEPTED


def new_job(record: JobAccepted, content_digest: str) -> Job:
    """Return the job that a record asks for, with all tasks pending."""
    return Job(
        job_id=record.job_id,
        workspace=record.workspace,
        key=record.key,
        spec=record.spec,
        accepted_ms=record.accepted_ms,
        content_digest=content_digest,
        tasks=[Task() for _ in range(record.spec.tasks)],
        open_tasks=record.spec.tasks,
    )


def assign_tasks(store: JobStore, job: Job, offset: Offset, record: TasksAssigned) -> Verdict:
    """Start the named attempts, all or none."""
    used = store.index.usage.get(job.workspace, ZERO_RESOURCES)
    reason = check_assigned(job, record, used)
    if reason:
        return Verdict(accepted=False, reason=reason)
    for assignment in record.assignments:
        store.assign(job, offset, assignment)
    return ACCEPTED


def release_task(store: JobStore, job: Job, offset: Offset, record: TaskReleased) -> Verdict:
    """End an attempt that stopped without an outcome."""
    task = attempts.live_task(job, record)
    if task is None:
        return NOT_LIVE
    attempts.add_reason(job, record, record.reason)
    is_counted = attempts.is_fault(record)
    phase = attempts.phase_after_release(job, task, is_counted=is_counted)
    attempts.end_attempt(store, job, record.task_index, phase)
    return ACCEPTED


def preempt_tasks(store: JobStore, job: Job, offset: Offset, record: TasksPreempted) -> Verdict:
    """Stop the named attempts, all or none; they count no fault and are assigned anew later."""
    if job.state is not JobState.active:
        return Verdict(accepted=False, reason=JOB_ENDED.format(job))
    for preempted in record.preempted:
        task = job.task(preempted.task_index)
        if task is None or task.phase is not TaskPhase.assigned:
            return NOT_LIVE
        if task.attempt != preempted.attempt:
            return NOT_LIVE
    for stopped in record.preempted:
        store.set_phase(job, stopped.task_index, TaskPhase.stopping)
    return ACCEPTED


def finish_task(store: JobStore, job: Job, offset: Offset, record: TaskFinished) -> Verdict:
    """End an attempt with its outcome."""
    task = attempts.live_task(job, record)
    if task is None:
        return NOT_LIVE
    if record.outcome is TaskOutcome.failed:
        attempts.add_reason(job, record, record.result)
    phase = attempts.phase_after_finish(job, task, record.outcome)
    if phase not in OPEN_PHASES:
        task.result = record.result
    attempts.end_attempt(store, job, record.task_index, phase)
    return ACCEPTED


def cancel_job(store: JobStore, job: Job, offset: Offset, record: JobCancelled) -> Verdict:
    """Cancel the pending tasks of a job and stop the live ones."""
    if job.state is JobState.cancelled:
        return Verdict(accepted=True, reason='already cancelled')
    if job.state is not JobState.active:
        return Verdict(accepted=False, reason=JOB_ENDED.format(job))
    attempts.give_up(store, job, JobState.cancelled)
    store.close_if_ended(job)
    return ACCEPTED


TRANSITIONS: Mapping[type, Callable[..., Verdict]] = MappingProxyType(
    {
        TasksAssigned: assign_tasks,
        TaskReleased: release_task,
        TasksPreempted: preempt_tasks,
        TaskFinished: finish_task,
        JobCancelled: cancel_job,
    },
)
