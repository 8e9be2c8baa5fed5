"""Dispatch of one request to a worker that this entry owns."""

import asyncio
import time
from collections.abc import Callable, Mapping

import msgspec

from marigoldlift.errors import WorkerRefusedError, WorkerUnavailableError
from marigoldlift.ids import Epoch, Incarnation, TaskId, WorkerId
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.peers.messages import ExecuteRequest
from marigoldlift.platform.api import WorkerApi
from marigoldlift.platform.messages import RequestResult, RunRequest, TaskState
from marigoldlift.resources import Resources
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import MS_PER_S, loop_now

__all__ = ('Placement', 'WorkerRunner')


class Placement(msgspec.Struct, frozen=True):
    """A hold on a worker for one request, under one epoch."""

    worker_id: WorkerId
    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId
    resources: Resources


class WorkerRunner:
    """Runs requests on owned workers and keeps the ledger true about them."""

    def __init__(
        self,
        ledger: WorkerLedger,
        workers: Mapping[WorkerId, WorkerApi],
        resolve_doubt: Callable[[WorkerId], None],
        tracing: Tracing,
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators; `resolve_doubt` makes the owner claim a worker anew."""
        self.ledger = ledger
        self.workers = workers
        self.resolve_doubt = resolve_doubt
        self.tracing = tracing
        self.metrics = metrics
        self.running: set[asyncio.Task[RequestResult]] = set()

    def place(
        self,
        task_id: TaskId,
        resources: Resources,
        selector: Mapping[str, str],
    ) -> Placement | None:
        """Hold resources on the best owned worker; None when none has room."""
        started_s = time.perf_counter()
        worker_id = self.ledger.index.choose_for_request(resources, selector)
        decided_s = time.perf_counter() - started_s
        self.metrics.observe(Metric.placement, decided_s, kind='request')
        if worker_id is None or not self.ledger.hold(worker_id, task_id, resources):
            return None
        worker = self.ledger.workers[worker_id]
        return Placement(worker_id, worker.incarnation, worker.epoch, task_id, resources)

    def start(
        self,
        placement: Placement,
        request: ExecuteRequest,
        deadline_s: float,
        *,
        retain: bool,
    ) -> asyncio.Task[RequestResult]:
        """Send a request to its worker.

        The task goes on when its awaiter gives up, so that the hold lasts as long as the work.

        Args:
            placement: hold taken by `place`; given back when the work is known to be over.
            request: what to run.
            deadline_s: loop time until which the caller waits.
            retain: whether the worker shall keep the result until it is acknowledged.
        """
        task = asyncio.create_task(self.run(placement, request, deadline_s, retain=retain))
        self.running.add(task)
        task.add_done_callback(self.forget)
        return task

    def forget(self, task: asyncio.Task[RequestResult]) -> None:
        """Drop an ended dispatch; its error was for the awaiter, if there still is one."""
        self.running.discard(task)
        if not task.cancelled():
            task.exception()

    async def run(
        self,
        placement: Placement,
        request: ExecuteRequest,
        deadline_s: float,
        *,
        retain: bool,
    ) -> RequestResult:
        """Send a request to its worker and wait for the result, past the caller's deadline.

        Raises:
            WorkerRefusedError: the worker did not run it.
            WorkerUnavailableError: no answer.
        """
        worker = self.ledger.workers[placement.worker_id]
        started_s = loop_now()
        worker.breaker.on_start(started_s)
        with self.tracing.span(
            'worker',
            parent=request.traceparent,
            worker=placement.worker_id,
        ) as span:
            message = RunRequest(
                incarnation=placement.incarnation,
                epoch=placement.epoch,
                task_id=placement.task_id,
                workspace=request.workspace,
                resources=placement.resources,
                payload=request.payload,
                deadline_ms=max(int((deadline_s - started_s) * MS_PER_S), 0),
                retain=retain,
                traceparent=span.traceparent,
            )
            return await self.send(placement, message, started_s)

    async def send(
        self,
        placement: Placement,
        message: RunRequest,
        started_s: float,
    ) -> RequestResult:
        """Send a request; the hold ends unless the work may still be there."""
        worker_id = placement.worker_id
        try:
            outcome = await self.workers[worker_id].run_request(message)
        except WorkerRefusedError as refusal:
            self.metrics.add(Metric.worker_errors, code=refusal.worker_code)
            self.ledger.workers[worker_id].breaker.on_refused()
            self.ledger.release(worker_id, placement.task_id)
            raise
        except WorkerUnavailableError as error:
            self.metrics.add(Metric.worker_errors, code=error.code)
            self.ledger.observe(worker_id, 0, ok=False)
            self.keep_or_release(placement, may_have_run=error.may_have_run)
            raise
        service_s = loop_now() - started_s
        self.metrics.observe(Metric.worker_call, service_s, call='request')
        self.ledger.release(worker_id, placement.task_id)
        service_ms = service_s * MS_PER_S
        self.ledger.observe(worker_id, service_ms, ok=outcome.state is TaskState.finished)
        return outcome

    def keep_or_release(self, placement: Placement, *, may_have_run: bool) -> None:
        """Give the hold back, or keep it until a new claim tells whether the work is there."""
        if may_have_run:
            self.resolve_doubt(placement.worker_id)
        else:
            self.ledger.release(placement.worker_id, placement.task_id)
