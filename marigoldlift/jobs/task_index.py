"""Indexes over open tasks: by job while pending, by worker and workspace while live."""

from marigoldlift.ids import JobId, WorkerId, WorkspaceId
from marigoldlift.jobs.state import LIVE_PHASES, Job, Task, TaskPhase
from marigoldlift.resources import ZERO_RESOURCES, Resources

__all__ = ('TaskIndex',)


class TaskIndex:
    """Derived data; `add` and `remove` are called around each change of a task.

    Attributes:
        pending: indexes of pending tasks, for jobs that have any.
        live: live attempts as (job id, task index), for workers that have any.
        usage: resources of live attempts, for workspaces that have any.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.pending: dict[JobId, set[int]] = {}
        self.live: dict[WorkerId, set[tuple[JobId, int]]] = {}
        self.usage: dict[WorkspaceId, Resources] = {}

    def add(self, job: Job, task_index: int, task: Task) -> None:
        """Index a task by its present phase."""
        if task.phase is TaskPhase.pending:
            self.pending.setdefault(job.job_id, set()).add(task_index)
        elif task.phase in LIVE_PHASES:
            self.live.setdefault(task.worker_id, set()).add((job.job_id, task_index))
            used = self.usage.get(job.workspace, ZERO_RESOURCES)
            self.usage[job.workspace] = used + job.spec.resources

    def remove(self, job: Job, task_index: int, task: Task) -> None:
        """Undo `add`; the task must be as it was then."""
        if task.phase is TaskPhase.pending:
            discard(self.pending, job.job_id, task_index)
        elif task.phase in LIVE_PHASES:
            discard(self.live, task.worker_id, (job.job_id, task_index))
            self.release(job)

    def release(self, job: Job) -> None:
        """Take the resources of one task off the usage of its workspace."""
        rest = self.usage[job.workspace] - job.spec.resources
        self.usage[job.workspace] = rest
        if rest == ZERO_RESOURCES:
            self.usage.pop(job.workspace)


def discard(sets: dict, name: str, member: object) -> None:
    """Remove a member from a named set, and the set with its last member."""
    members = sets[name]
    members.discard(member)
    if not members:
        sets.pop(name)
