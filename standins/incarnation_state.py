"""What belongs to one incarnation of a worker, and is gone when the worker restarts."""

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
    """Control lease, running work and kept results of one incarnation.

    Attributes:
        incarnation: name of this life.
        control: control lease.
        running: tasks and requests that run.
        retained: ends kept until they are acknowledged.
    """

    def __init__(self, incarnation: Incarnation, settings: WorkerSettings, now_s: float) -> None:
        """Start free and without work."""
        self.incarnation = incarnation
        self.task_lease_s = settings.task_lease_s
        self.control = ControlLease(now_s)
        self.running = RunningWork()
        self.retained = RetainedResults(settings.keep_results_s)

    def lease(self, request: LeaseRequest, now_s: float) -> str:
        """Do what is asked with the control lease; returns why not, empty when it was done."""
        if request.action is LeaseAction.claim:
            return self.claim(request, now_s)
        fault = self.holder_refusal(request, now_s)
        if fault:
            return fault
        self.retained.acknowledge(request.acknowledged)
        if request.action is LeaseAction.renew:
            self.control.extend(request, now_s)
        else:
            self.control.release()
        return ''

    def claim(self, request: LeaseRequest, now_s: float) -> str:
        """Grant a claim; returns why not, empty when it was granted."""
        holder = self.control.holder
        if not self.control.claim(request, now_s):
            return f'held by {holder}'
        if not self.running.leased:
            self.control.renewed_s = now_s
        return ''

    def holder_refusal(self, request: LeaseRequest, now_s: float) -> str:
        """Return why a renewal or release is not the holder's, empty when it is."""
        holder = self.control.holder
        if request.holder != holder:
            return f'holder is {holder}'
        return self.fence_refusal(request.incarnation, request.epoch, now_s)

    def fence_refusal(self, incarnation: Incarnation, epoch: Epoch, now_s: float) -> str:
        """Return why a command is fenced off, empty when it is not."""
        if incarnation != self.incarnation:
            return f'incarnation is {self.incarnation}'
        current = self.control.epoch
        if epoch != current:
            return f'epoch is {current}'
        return '' if self.control.is_live(now_s) else 'the lease has lapsed or was released'

    def next_lapse_s(self) -> float:
        """Return when the task lease lapses; infinite when there is no task."""
        return self.control.renewed_s + self.task_lease_s if self.running.leased else math.inf

    def next_due_s(self) -> float:
        """Return when something ends next; infinite when nothing will."""
        return min(self.running.next_end_s(), self.next_lapse_s())

    def inventory(self) -> list[TaskInventory]:
        """Return everything that runs and all kept ends."""
        known = (*self.running.by_id.values(), *self.retained.kept.values())
        return [work.inventory() for work in known]

    def events(self) -> list[TaskEvent]:
        """Return all kept ends as events."""
        return [work.event() for work in self.retained.kept.values()]
