"""What a worker offers to the holder of its fencing token, as a protocol."""

from enum import Enum
from typing import Protocol

import msgspec

from marigoldlift.submissions.model import TaskRef

__all__ = ('EndKind', 'EndedRun', 'HeldRun', 'WorkerStatus', 'StartOrder', 'Worker', 'WorkerCalls')


class EndKind(Enum):
    """How a run ended."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'


class Worker(msgspec.Struct, frozen=True):
    """A worker as the registry of the platform lists it.

    Attributes:
        born_ms: Unix time of the start of this life; another value is another life under the same id.
        leaving_ms: least time that is left while the worker drains, None when it has not said.
    """

    id: str
    address: str
    failure_domain: str
    service: str
    ready: bool
    born_ms: int
    cpu_m: int
    mem_mb: int
    gpus: int
    labels: tuple[str, ...]
    leaving_ms: float | None = None


class HeldRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as there.

    Attributes:
        checkpoint: newest saved state, empty when there is none.
        percent: share of the work that is done.
    """

    task: TaskRef
    run: int
    checkpoint: str
    percent: float


class EndedRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as ended, under a number that rises within the worker's life."""

    number: int
    task: TaskRef
    run: int
    kind: EndKind
    checkpoint: str


class WorkerStatus(msgspec.Struct, frozen=True):
    """What a worker holds.

    Attributes:
        clock_ms: the worker's own clock.
        whole: whether all its ends are listed.
    """

    clock_ms: float
    born_ms: int
    running: list[HeldRun]
    ended: list[EndedRun]
    whole: bool
    leaving_ms: float | None = None


class StartOrder(msgspec.Struct, frozen=True):
    """A run to start.

    Attributes:
        until_ms: lease on the worker's clock.
        ticket: leave of the placement advice, empty where the queue has none.
    """

    task: TaskRef
    run: int
    content: str
    until_ms: int
    checkpoint: str
    ticket: str


class WorkerCalls(Protocol):
    """Calls to one worker after the other.

    All raise `WorkerRefusedError` when the worker did nothing, and `WorkerUnavailableError` when that isn't known.
    """

    async def start(self, worker: Worker, token: int, order: StartOrder) -> float:
        """Start a run and return the worker's clock in ms."""

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Ask a run to end."""

    async def poll(
        self,
        worker: Worker,
        token: int,
        last_acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus:
        """Renew the lease, forget the ends up to `last_acknowledged`, and list what is there.

        Args:
            worker: whom to ask.
            token: fencing token.
            last_acknowledged: highest number of an end that need not be listed again.
            until_ms: new lease on the worker's clock, None to leave it.
            wait_ms: how long the answer may wait for an end.
        """
