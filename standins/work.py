"""Simulated execution of tasks and requests."""

import math

import msgspec

from marigoldlift.ids import TaskId, WorkspaceId
from marigoldlift.platform.messages import (
    RunRequest,
    StartTask,
    TaskEvent,
    TaskInventory,
    TaskState,
)
from marigoldlift.resources import Resources

__all__ = ('Work', 'WorkPlan', 'plan_request', 'plan_task')

MS_PER_S = 1000


class WorkPlan(msgspec.Struct):
    """Behavior that a payload requests, if it is a JSON object.

    Attributes:
        run_ms: run time in milliseconds; overrides the declared one.
        fail: whether the work ends as failed.
        answer: result; overrides the default of `done:` or `failed:` and the payload.
        ignore_stop: whether stop commands have no effect.
    """

    run_ms: int | None = None
    fail: bool = False
    answer: str | None = None
    ignore_stop: bool = False


class Work(msgspec.Struct):
    """A task or request that is running, or whose result is retained.

    Attributes:
        leased: whether it is stopped when the task lease expires; true for tasks, false for requests.
        retained: whether its result is kept until it is acknowledged.
        started_s: start time in seconds.
        ends_s: planned end time in seconds, infinite if it runs until stopped; the actual end time once it
            has ended.
        state: current state.
        result: result; empty while it is running.
        planned_state: state at the planned end.
        planned_result: result at the planned end.
        sequence: sequence number of its end event on the worker; 0 while it is running.
    """

    task_id: TaskId
    workspace: WorkspaceId
    resources: Resources
    leased: bool
    retained: bool
    started_s: float
    ends_s: float
    planned_state: TaskState
    planned_result: str
    ignore_stop: bool
    state: TaskState = TaskState.running
    result: str = ''
    sequence: int = 0

    def inventory(self) -> TaskInventory:
        """Return the inventory entry of the work."""
        return TaskInventory(
            self.task_id,
            self.workspace,
            self.resources,
            self.state,
            self.result,
        )

    def event(self) -> TaskEvent:
        """Return the event that reports the end of the work."""
        return TaskEvent(self.sequence, self.task_id, self.state, self.result)


def plan_task(request: StartTask, now_s: float, *, fail_at_once: bool) -> Work:
    """Plan a task; without a run time it runs until stopped, or ends at once if it is to fail."""
    plan = parse_payload(request.payload)
    run_ms = request.run_ms if plan.run_ms is None else plan.run_ms
    ends_s = now_s + run_ms / MS_PER_S if run_ms or plan.fail else math.inf
    return plan_work(request, plan, now_s, now_s if fail_at_once else ends_s, fail_at_once)


def plan_request(request: RunRequest, now_s: float, *, fail_at_once: bool) -> Work:
    """Plan a request; without a run time in its payload it ends at once."""
    plan = parse_payload(request.payload)
    ends_s = now_s + (plan.run_ms or 0) / MS_PER_S
    return plan_work(request, plan, now_s, now_s if fail_at_once else ends_s, fail_at_once)


def plan_work(
    request: StartTask | RunRequest,
    plan: WorkPlan,
    now_s: float,
    ends_s: float,
    fail_at_once: bool,
) -> Work:
    """Create the work with its planned end, state and result."""
    fails = plan.fail or fail_at_once
    is_task = isinstance(request, StartTask)
    return Work(
        task_id=request.task_id,
        workspace=request.workspace,
        resources=request.resources,
        leased=is_task,
        retained=is_task or request.retain,
        started_s=now_s,
        ends_s=ends_s,
        planned_state=TaskState.failed if fails else TaskState.finished,
        planned_result=plan_result(request.payload, plan, fails),
        ignore_stop=plan.ignore_stop,
    )


def plan_result(payload: str, plan: WorkPlan, fails: bool) -> str:
    """Return the result at the planned end."""
    prefix = 'failed' if fails else 'done'
    return f'{prefix}:{payload}' if plan.answer is None else plan.answer


def parse_payload(payload: str) -> WorkPlan:
    """Parse a payload; one that is not a valid `WorkPlan` yields the default plan."""
    try:
        return msgspec.json.decode(payload, type=WorkPlan)
    except msgspec.MsgspecError:
        return WorkPlan()
