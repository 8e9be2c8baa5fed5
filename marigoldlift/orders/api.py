"""Protocol of the calls that a worker accepts from the holder of its fencing token."""

from collections.abc import Callable
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
        born_ms: Unix time of the start of this incarnation; another value is another incarnation under the same id.
        leaving_ms: minimum time left while the worker drains, None if it has not announced one.
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
    """A run that a worker lists as running.

    Attributes:
        checkpoint: newest saved state, empty if there is none.
        percent: completed share of the work.
    """

    task: TaskRef
    run: int
    checkpoint: str
    percent: float


class EndedRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as ended, with a number that increases within an incarnation of the worker."""

    number: int
    task: TaskRef
    run: int
    kind: EndKind
    checkpoint: str


class WorkerStatus(msgspec.Struct, frozen=True):
    """Answer to a status poll.

    Attributes:
        clock_ms: reading of the worker's own clock.
        whole: whether all its ended runs are listed.
        more_ends: whether the worker lists only the first of its ended runs.
    """

    clock_ms: float
    born_ms: int
    running: list[HeldRun]
    ended: list[EndedRun]
    whole: bool
    leaving_ms: float | None = None
    more_ends: bool = False


class StartOrder(msgspec.Struct, frozen=True):
    """A run to start.

    Attributes:
        until_ms: lease deadline on the worker's clock.
        ticket: permission of the placement advice, empty if the queue uses none.
    """

    task: TaskRef
    run: int
    content: str
    until_ms: int
    checkpoint: str
    ticket: str


class WorkerCalls(Protocol):
    """Calls to workers.

    All raise `WorkerRefusedError` if the worker did nothing, and `WorkerUnavailableError` if that is unknown.
    """

    async def start(
        self, worker: Worker, token: int, order: StartOrder, may_send: Callable[[], bool]
    ) -> float:
        """Start a run and return the worker's clock in ms.

        Args:
            worker: the worker.
            token: fencing token.
            order: the run to start.
            may_send: returns whether the order may still be sent; asked just before it is, since it may wait for a connection.

        Raises:
            OrderWithdrawnError: `may_send` has returned False, and nothing was sent.
        """

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Request that a run stops."""

    async def poll(
        self,
        worker: Worker,
        token: int,
        last_acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus:
        """Renew the lease, acknowledge ended runs up to `last_acknowledged`, and list the runs.

        Args:
            worker: the worker to poll.
            token: fencing token.
            last_acknowledged: highest number of an ended run that need not be listed again.
            until_ms: new lease deadline on the worker's clock, None to keep the current one.
            wait_ms: how long the answer may wait for a run to end.
        """

    def forget(self, worker: str) -> None:
        """Forget what is kept of a worker, by its id, that is polled no more."""
