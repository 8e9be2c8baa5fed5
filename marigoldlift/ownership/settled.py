"""Whether the log holds the final word on something that a worker ran."""

from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import KeyId, TaskId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.state import LIVE_PHASES
from marigoldlift.jobs.task_ids import JobTaskRef, parse_task_id
from marigoldlift.journal.messages import KeyStatus

__all__ = ('is_settled',)


def is_settled(task_id: TaskId, state: DomainState) -> bool:
    """Tell whether the worker may forget the end of a task.

    A job or key that the replica does not know is not settled: the replica may lag behind.
    """
    try:
        ref = parse_task_id(task_id)
    except InvalidInputError:
        return True
    if isinstance(ref, JobTaskRef):
        return is_attempt_settled(ref, state)
    return is_key_settled(ref.key_id, state)


def is_key_settled(key_id: KeyId, state: DomainState) -> bool:
    """Tell whether a key is closed."""
    entry = state.keys.key(key_id)
    return entry is not None and entry.status is not KeyStatus.claimed


def is_attempt_settled(ref: JobTaskRef, state: DomainState) -> bool:
    """Tell whether an attempt has ended in the log."""
    job = state.jobs.job(ref.job_id)
    if job is None:
        return False
    task = job.task(ref.task_index)
    if task is None:
        return job.has_ended
    if task.attempt != ref.attempt:
        return task.attempt > ref.attempt
    return task.phase not in LIVE_PHASES
