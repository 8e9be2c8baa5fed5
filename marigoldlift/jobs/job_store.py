"""Jobs with their indexes, and the moves of tasks that keep the two consistent."""

from collections.abc import Iterable, Mapping

from marigoldlift.ids import JobId, Offset
from marigoldlift.jobs.ended_jobs import EndedJobs, outcome_counts
from marigoldlift.jobs.state import (
    OPEN_PHASES,
    Job,
    JobState,
    TaskPhase,
    intern_task,
)
from marigoldlift.jobs.task_index import TaskIndex
from marigoldlift.journal.messages import Assignment

__all__ = ('JobStore',)


class JobStore:
    """Jobs of a failure domain.

    Attributes:
        jobs: by id, in the order of acceptance.
        open_jobs: ids of jobs that have open tasks, in the order of acceptance.
        index: open tasks by job, worker and workspace.
        ended: ended jobs, oldest first.
        newest_ms: newest writer's time that `advance` was given.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.jobs: dict[JobId, Job] = {}
        self.open_jobs: dict[JobId, None] = {}
        self.index = TaskIndex()
        self.ended = EndedJobs()
        self.newest_ms = 0

    def advance(self, at_ms: int) -> None:
        """Note a writer's time, and forget ended jobs that are too old or too many."""
        self.newest_ms = max(self.newest_ms, at_ms)
        for job in self.ended.pop_forgotten(self.newest_ms):
            self.jobs.pop(job.job_id)

    def load(self, jobs: Iterable[Job], ended: Iterable[JobId]) -> None:
        """Fill an empty store with jobs and the order in which the ended ones ended."""
        for job in jobs:
            self.add(job)
        for job_id in ended:
            self.ended.add(self.jobs[job_id])

    def add(self, job: Job) -> None:
        """Add a job in any state; an ended one must be put in the order of ends as well."""
        self.jobs[job.job_id] = job
        if not job.has_ended:
            self.open_jobs[job.job_id] = None
        for task_index, task in enumerate(job.tasks):
            intern_task(task)
            self.index.add(job, task_index, task)

    def assign(self, job: Job, offset: Offset, assignment: Assignment) -> None:
        """Make one attempt live."""
        task = job.tasks[assignment.task_index]
        self.index.remove(job, assignment.task_index, task)
        task.phase = TaskPhase.assigned
        task.attempt = assignment.attempt
        task.worker_id = assignment.worker_id
        task.incarnation = assignment.incarnation
        task.epoch = assignment.epoch
        task.assigned_at = offset
        intern_task(task)
        self.index.add(job, assignment.task_index, task)

    def shift(self, job: Job, targets: Mapping[TaskPhase, TaskPhase]) -> None:
        """Move all tasks of a job whose phase has a target."""
        for task_index, task in enumerate(job.tasks):
            target = targets.get(task.phase)
            if target is not None:
                self.set_phase(job, task_index, target)

    def set_phase(self, job: Job, task_index: int, phase: TaskPhase) -> None:
        """Move one task and keep the indexes."""
        task = job.tasks[task_index]
        self.index.remove(job, task_index, task)
        task.phase = phase
        self.index.add(job, task_index, task)
        if phase not in OPEN_PHASES:
            job.open_tasks -= 1

    def close_if_ended(self, job: Job) -> None:
        """Turn a job without open tasks into an ended one."""
        if not job.has_ended:
            return
        if job.state is JobState.active:
            job.state = JobState.succeeded
        job.ended_ms = self.newest_ms
        job.outcomes = outcome_counts(job)
        self.open_jobs.pop(job.job_id)
        self.ended.add(job)
