"""State of one incarnation of a worker, which is lost when the worker restarts."""

import math

from marigoldlift.ids import Epoch, Incarnation
from marigoldlift.platform.messages import (
    LeaseAction,
    LeaseRequest,
    RunRequest,
    StartTask,
    StopTask,
    TaskEvent,
    TaskInventory,
)

from standins.control_lease import ControlLease
from standins.messages import CheckpointTask, ThrottleTask, WorkerSettings
from standins.retained import RetainedResults
from standins.running_work import RunningWork

__all__ = ('Command', 'IncarnationState')

Command = StartTask | StopTask | RunRequest | CheckpointTask | ThrottleTask


class IncarnationState:
    """Control lease, running work and retained results of one incarnation.

    Attributes:
        incarnation: name of this incarnation.
        control: control lease.
        running: running tasks and requests.
        retained: finished work kept until it is acknowledged.
    """

    def __init__(self, incarnation: Incarnation, settings: WorkerSettings, now_s: float) -> None:
        """Initialize with a free control lease and no work."""
        self.incarnation = incarnation
        self.task_lease_s = settings.task_lease_s
        self.control = ControlLease(now_s)
        self.running = RunningWork()
        self.retained = RetainedResults(settings.keep_results_s)

    def lease(self, request: LeaseRequest, now_s: float) -> str:
        """Claim, renew or release the control lease; return why it was refused, empty if it was not."""
        if request.action is LeaseAction.claim:
            return self.claim(request, now_s)
        refusal_reason = self.holder_refusal(request, now_s)
        if refusal_reason:
            return refusal_reason
        self.retained.acknowledge(request.acknowledged)
        if request.action is LeaseAction.renew:
            self.control.extend(request, now_s)
        else:
            self.control.release()
        return ''

    def claim(self, request: LeaseRequest, now_s: float) -> str:
        """Try to claim the control lease; return why it was refused, empty if it was granted."""
        holder = self.control.holder
        if not self.control.claim(request, now_s):
            return f'held by {holder}'
        if not self.running.leased:
            self.control.renewed_s = now_s
        return ''

    def holder_refusal(self, request: LeaseRequest, now_s: float) -> str:
        """Return why a renewal or release does not come from the current holder, empty if it does."""
        holder = self.control.holder
        if request.holder != holder:
            return f'holder is {holder}'
        return self.fence_refusal(request.incarnation, request.epoch, now_s)

    def fence_refusal(self, incarnation: Incarnation, epoch: Epoch, now_s: float) -> str:
        """Return why a command is fenced off, empty if it is not."""
        if incarnation != self.incarnation:
            return f'incarnation is {self.incarnation}'
        current = self.control.epoch
        if epoch != current:
            return f'epoch is {current}'
        return '' if self.control.is_live(now_s) else 'the lease has lapsed or was released'

    def next_lapse_s(self) -> float:
        """Return the time at which the task lease expires; infinite when no task is running."""
        return self.control.renewed_s + self.task_lease_s if self.running.leased else math.inf

    def next_due_s(self) -> float:
        """Return the time of the next planned end or task lease expiry; infinite if there is none."""
        return min(self.running.next_end_s(), self.next_lapse_s())

    def inventory(self) -> list[TaskInventory]:
        """Return all running work and all retained results."""
        listed = (*self.running.by_id.values(), *self.retained.kept.values())
        return [work.inventory() for work in listed]

    def events(self) -> list[TaskEvent]:
        """Return all retained results as events."""
        return [work.event() for work in self.retained.kept.values()]
