"""What an owner knows of the tasks on one worker, and what it has stored of their ends."""

import msgspec

from marigoldlift.ids import (
    Epoch,
    Incarnation,
    KeyId,
    Offset,
    TaskId,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.jobs.actions import OwnedWorker
from marigoldlift.platform.messages import LeaseGrant, TaskEvent, TaskInventory, TaskState
from marigoldlift.resources import ZERO_RESOURCES

__all__ = ('WorkerBook',)


class WorkerBook(msgspec.Struct):
    """Tasks of a worker as its owner knows them.

    Attributes:
        inventory: running tasks, and ended ones whose end is not stored yet.
        inventory_ms: wall clock of the claim whose inventory this continues; None before a claim.
        asked_at: offset applied when the last lease request was sent.
        confirmed: offset applied when the last granted lease request was sent.
        started: tasks whose start may have been sent under the present epoch.
        unstored: sequence of each task event whose end is not stored yet, by task.
        newest_event: sequence of the last event received.
    """

    worker_id: WorkerId
    incarnation: Incarnation = Incarnation('')
    epoch: Epoch = Epoch(0)
    inventory: dict[TaskId, TaskInventory] = {}
    inventory_ms: int | None = None
    asked_at: Offset = Offset(0)
    confirmed: Offset = Offset(0)
    started: set[TaskId] = set()
    unstored: dict[TaskId, int] = {}
    newest_event: int = 0

    def claimed(self, grant: LeaseGrant, at_ms: int) -> None:
        """Begin anew with the inventory of a claim."""
        # Events whose end is not stored must come again: the worker alone remembers them.
        same_life = grant.incarnation == self.incarnation
        self.newest_event = self.acknowledged() if same_life else 0
        self.incarnation = grant.incarnation
        self.epoch = grant.epoch
        self.inventory = {task.task_id: task for task in grant.inventory}
        self.inventory_ms = at_ms
        self.confirmed = self.asked_at
        self.started = set()
        self.unstored = {}

    def renewed(self, grant: LeaseGrant) -> list[TaskEvent]:
        """Take in the events of a renewal; return those not seen before."""
        self.confirmed = self.asked_at
        fresh = [event for event in grant.events if event.sequence > self.newest_event]
        for event in fresh:
            self.newest_event = event.sequence
            self.unstored[event.task_id] = event.sequence
            self.note_end(event)
        return fresh

    def note_end(self, event: TaskEvent) -> None:
        """Note the end of a task."""
        known = self.inventory.get(event.task_id)
        self.inventory[event.task_id] = TaskInventory(
            event.task_id,
            known.workspace if known else WorkspaceId(''),
            known.resources if known else ZERO_RESOURCES,
            event.state,
            event.result,
        )

    def note_running(self, task_id: TaskId, inventory: TaskInventory) -> None:
        """Note that the worker confirmed a start, unless its end is known already."""
        self.inventory.setdefault(task_id, inventory)

    def ended(self) -> list[TaskId]:
        """Return the tasks whose end is not stored yet."""
        return [
            task_id
            for task_id, task in self.inventory.items()
            if task.state is not TaskState.running
        ]

    def stored(self, task_id: TaskId) -> None:
        """Note that the end of a task is in the log, or of no interest to anybody."""
        self.inventory.pop(task_id, None)
        self.unstored.pop(task_id, None)

    def acknowledged(self) -> int:
        """Return the sequence up to which the worker may forget its events."""
        return min(self.unstored.values(), default=self.newest_event + 1) - 1

    def view(self, holder: str, dispatching: set[KeyId]) -> OwnedWorker:
        """Return what the reconciliation looks at."""
        return OwnedWorker(
            worker_id=self.worker_id,
            incarnation=self.incarnation,
            epoch=self.epoch,
            holder=holder,
            inventory=tuple(self.inventory.values()),
            inventory_ms=self.inventory_ms,
            confirmed=self.confirmed,
            started=frozenset(self.started),
            dispatching=frozenset(dispatching),
        )
