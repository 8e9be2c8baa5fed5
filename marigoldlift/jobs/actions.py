"""What the owner of a worker knows of it, and what it is to do next."""

import msgspec

from marigoldlift.ids import (
    Epoch,
    Incarnation,
    KeyId,
    Offset,
    TaskId,
    WorkerId,
)
from marigoldlift.journal.messages import KeyClosed, TaskFinished, TaskReleased
from marigoldlift.platform.messages import StartTask, TaskInventory

__all__ = (
    'Action',
    'Adopt',
    'OwnedWorker',
    'Propose',
    'StartAssigned',
    'StopRunning',
)


class OwnedWorker(msgspec.Struct, frozen=True):
    """A worker as the holder of its control lease knows it.

    Attributes:
        holder: VM id and incarnation of this entry, as in its key claims.
        inventory: what the worker runs or still remembers. An entry leaves it only after the
            record that ends it has been read back.
        inventory_ms: wall clock in milliseconds after the answer of the claim under this epoch
            whose inventory `inventory` continues; None when there is no such claim, so that
            absence proves nothing.
        confirmed: offset that this entry had applied before it sent its last claim or renewal
            that was granted. Records after it may name an incarnation newer than ours.
        started: tasks for which this entry may have sent a start under this epoch.
        dispatching: keys that this entry may have dispatched or may still dispatch, from before
            the claim is appended until the closing record is read back. A key whose answer was
            lost stays in it until a new claim of the worker has raised the epoch.
    """

    worker_id: WorkerId
    incarnation: Incarnation
    epoch: Epoch
    holder: str
    inventory: tuple[TaskInventory, ...]
    inventory_ms: int | None
    confirmed: Offset
    started: frozenset[TaskId]
    dispatching: frozenset[KeyId]


class StartAssigned(msgspec.Struct, frozen=True):
    """Send a start; the worker refuses a repeated task id, so a repeated action is safe."""

    start: StartTask


class Adopt(msgspec.Struct, frozen=True):
    """Account for something that an earlier owner started, and wait for its end."""

    running: TaskInventory


class Propose(msgspec.Struct, frozen=True):
    """Append a record; an ended task is acknowledged once the record is read back."""

    record: TaskFinished | TaskReleased | KeyClosed


class StopRunning(msgspec.Struct, frozen=True):
    """Stop a task.

    When the worker does not know the task, a start may still be on its way: claim the worker
    again, and let the next inventory decide.
    """

    task_id: TaskId


Action = StartAssigned | Adopt | Propose | StopRunning
