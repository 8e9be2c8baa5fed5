"""Actions of a worker's owner on the tasks of jobs."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import msgspec

from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import TaskId
from marigoldlift.jobs.actions import (
    Action,
    Adopt,
    OwnedWorker,
    Propose,
    StartAssigned,
    StopRunning,
)
from marigoldlift.jobs.job_table import JobTable
from marigoldlift.jobs.standing import Presence, Standing, presence_of, standing_of
from marigoldlift.jobs.state import (
    LIVE_PHASES,
    NOT_STARTED_PREFIX,
    WORKER_LOST_PREFIX,
    AssignedTask,
    TaskPhase,
)
from marigoldlift.jobs.task_ids import JobTaskRef, parse_task_id, task_id_of_job
from marigoldlift.journal.messages import TaskFinished, TaskOutcome, TaskReleased
from marigoldlift.platform.messages import StartTask, TaskInventory, TaskState

__all__ = ('reconcile_tasks',)

ABSENT_REASON = f'{NOT_STARTED_PREFIX} absent at takeover'
UNSENT_REASON = f'{NOT_STARTED_PREFIX} stopped before it was sent'
RESTARTED_REASON = f'{WORKER_LOST_PREFIX} restarted'
STOPPED_REASON = 'stopped on the worker'

OUTCOMES = MappingProxyType(
    {
        TaskState.finished: TaskOutcome.succeeded,
        TaskState.failed: TaskOutcome.failed,
    },
)


class Case(msgspec.Struct, frozen=True):
    """A live attempt on the worker, and what the worker shows of it."""

    owned: OwnedWorker
    live: AssignedTask
    task_id: TaskId
    shown: TaskInventory | None
    at_ms: int


def reconcile_tasks(owned: OwnedWorker, jobs: JobTable, at_ms: int) -> Iterator[Action]:
    """Yield the actions on live attempts of the worker, then those on strays."""
    shown_by_id = {shown.task_id: shown for shown in owned.inventory}
    for live in jobs.assigned_to(owned.worker_id):
        task_id = task_id_of_job(live.job.job_id, live.task_index, live.task.attempt)
        action = act(Case(owned, live, task_id, shown_by_id.get(task_id), at_ms))
        if action is not None:
            yield action
    for shown in owned.inventory:
        if shown.state is TaskState.running and is_stray(owned, jobs, shown.task_id):
            yield StopRunning(shown.task_id)


def act(case: Case) -> Action | None:
    """Look up the rule for a live attempt."""
    task = case.live.task
    standing = standing_of(case.owned, task.incarnation, task.epoch, task.assigned_at)
    rules = STOPPING_RULES if task.phase is TaskPhase.stopping else ASSIGNED_RULES
    rule = rules.get((standing, presence_of(case.shown)))
    return None if rule is None else rule(case)


def is_stray(owned: OwnedWorker, jobs: JobTable, task_id: TaskId) -> bool:
    """Tell whether a running task surely shall not run here.

    What the table does not know yet may be newer than the table.
    """
    try:
        ref = parse_task_id(task_id)
    except InvalidInputError:
        return False
    job = jobs.job(ref.job_id) if isinstance(ref, JobTaskRef) else None
    if job is None:
        return False
    task = job.task(ref.task_index)
    if task is None:
        return job.has_ended
    if ref.attempt != task.attempt:
        return ref.attempt < task.attempt
    return task.phase not in LIVE_PHASES or task.worker_id != owned.worker_id


def start(case: Case) -> Action:
    """Send the start of an attempt that this owner shall run."""
    job = case.live.job
    return StartAssigned(
        StartTask(
            incarnation=case.owned.incarnation,
            epoch=case.owned.epoch,
            task_id=case.task_id,
            workspace=job.workspace,
            resources=job.spec.resources,
            run_ms=job.spec.run_ms,
            payload=job.spec.payload,
        ),
    )


def adopt(case: Case) -> Action:
    """Account for an attempt that an earlier owner started."""
    return Adopt(case.shown)


def stop(case: Case) -> Action:
    """Stop an attempt."""
    return StopRunning(case.task_id)


def stop_unless_unsent(case: Case) -> Action:
    """Release an attempt that was never sent, stop one whose start is in doubt."""
    if case.task_id in case.owned.started:
        return stop(case)
    return release(case, UNSENT_REASON)


def release_absent(case: Case) -> Action | None:
    """Release an attempt that was not started, if the inventory proves it."""
    if case.owned.inventory_ms is None:
        return None
    return release(case, ABSENT_REASON)


def release_restarted(case: Case) -> Action:
    """Release an attempt that ended with an earlier life of the worker."""
    return release(case, RESTARTED_REASON)


def end(case: Case) -> Action:
    """Propose the end that the worker still remembers."""
    outcome = OUTCOMES.get(case.shown.state)
    if outcome is None:
        return release(case, STOPPED_REASON)
    return Propose(
        TaskFinished(
            at_ms=case.at_ms,
            job_id=case.live.job.job_id,
            task_index=case.live.task_index,
            attempt=case.live.task.attempt,
            outcome=outcome,
            result=case.shown.result,
        ),
    )


def release(case: Case, reason: str) -> Action:
    """Propose the release of an attempt."""
    return Propose(
        TaskReleased(
            at_ms=case.at_ms,
            job_id=case.live.job.job_id,
            task_index=case.live.task_index,
            attempt=case.live.task.attempt,
            reason=reason,
        ),
    )


Rule = Callable[[Case], Action | None]
Rules = Mapping[tuple[Standing, Presence], Rule]

#: Attempts that shall run. A missing pair means that there is nothing to do.
ASSIGNED_RULES: Rules = MappingProxyType(
    {
        (Standing.own, Presence.absent): start,
        (Standing.own, Presence.ended): end,
        (Standing.older, Presence.running): adopt,
        (Standing.older, Presence.ended): end,
        (Standing.older, Presence.absent): release_absent,
        (Standing.restarted, Presence.running): adopt,
        (Standing.restarted, Presence.ended): end,
        (Standing.restarted, Presence.absent): release_restarted,
    },
)

#: Attempts that shall stop.
STOPPING_RULES: Rules = MappingProxyType(
    {
        (Standing.own, Presence.running): stop,
        (Standing.own, Presence.absent): stop_unless_unsent,
        (Standing.own, Presence.ended): end,
        (Standing.older, Presence.running): stop,
        (Standing.older, Presence.ended): end,
        (Standing.older, Presence.absent): release_absent,
        (Standing.restarted, Presence.running): stop,
        (Standing.restarted, Presence.ended): end,
        (Standing.restarted, Presence.absent): release_restarted,
    },
)
