"""Simulated workers of the platform over HTTP, one port each, with fault injection."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from aiohttp import web

from marigoldlift.ids import TaskId
from marigoldlift.platform.messages import (
    LeaseRequest,
    RequestResult,
    RunRequest,
    StartTask,
    StopTask,
)

from standins.errors import KilledError, RefusedError
from standins.messages import (
    CheckpointTask,
    Refusal,
    ThrottleTask,
    WorkerFaults,
    WorkerFleetSettings,
    WorkerSettings,
)
from standins.serving import (
    HttpListener,
    drop_connection,
    json_answer,
    loop_now,
    merge,
    pause_ms,
    read_body,
)
from standins.work import Work
from standins.worker_state import WorkerState

__all__ = ('WorkerFleet', 'WorkerServer')

HTTP_CONFLICT = 409


class Call(msgspec.Struct, frozen=True):
    """One call of the worker API: its path, its message type, and the method that executes it."""

    path: str
    message: type
    execute: Callable[[WorkerState, Any], Any]


CALLS = (
    Call('/v1/lease', LeaseRequest, WorkerState.lease),
    Call('/v1/tasks', StartTask, WorkerState.start_task),
    Call('/v1/tasks/stop', StopTask, WorkerState.stop_task),
    Call('/v1/tasks/checkpoint', CheckpointTask, WorkerState.checkpoint_task),
    Call('/v1/tasks/throttle', ThrottleTask, WorkerState.throttle_task),
    Call('/v1/requests', RunRequest, WorkerState.start_request),
)


class WorkerServer:
    """HTTP server of one worker; tests inject faults through `apply_faults` or `POST /v1/faults`.

    Attributes:
        faults: active faults.
        state: state of the worker.
        waiting: futures of the calls that wait for the end of their request, by task id.
        counted: connections that have carried a call of the worker API. Those used only to inject
            faults or to read journal and violations do not count against the limit.
    """

    def __init__(self, settings: WorkerSettings) -> None:
        """Create an idle worker."""
        self.settings = settings
        self.faults = WorkerFaults()
        self.state = WorkerState(settings, loop_now)
        self.state.on_end = self.resolve_request
        self.waiting: dict[TaskId, asyncio.Future[RequestResult]] = {}
        self.counted: set[web.RequestHandler] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.listener = HttpListener(
            (
                *(web.post(call.path, partial(self.serve_call, call)) for call in CALLS),
                web.post('/v1/faults', self.change_faults),
                web.get('/v1/journal', self.answer_journal),
                web.get('/v1/violations', self.answer_violations),
            ),
            settings.port,
        )

    async def start(self) -> dict[str, str]:
        """Start to listen, and return the address under the worker's id."""
        return {self.settings.worker_id: await self.listener.start()}

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.timer is not None:
            self.timer.cancel()
        await self.listener.stop()

    def apply_faults(self, faults: WorkerFaults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self.state.leaving = faults.leaving
        self.state.fail_everything = faults.fail_everything

    def restart(self, spared: web.RequestHandler | None = None) -> None:
        """Begin a new incarnation and close all connections except `spared`."""
        self.state.restart()
        for ended in self.waiting.values():
            if not ended.done():
                ended.set_exception(KilledError('the worker restarted'))
        self.waiting.clear()
        for connection in self.listener.connections():
            if connection is not spared and connection.transport is not None:
                connection.transport.close()
        self.schedule()

    async def serve_call(self, call: Call, request: web.Request) -> web.Response:
        """Execute a call of the worker API and answer it, unless a fault drops the answer."""
        self.count_connection(request)
        message = await read_body(request, call.message)
        await pause_ms(self.faults.hang_ms)
        try:
            result = await self.execute(call, message)
        except KilledError:
            return drop_connection(request)
        except RefusedError as error:
            response = json_answer(Refusal(error.code, error.reason), HTTP_CONFLICT)
        else:
            response = json_answer(result or {})
        if self.drops_answer(call):
            return drop_connection(request)
        return response

    async def change_faults(self, request: web.Request) -> web.Response:
        """Merge the given faults into the active ones, restart if requested, and answer with the result."""
        faults = await merge(request, self.faults)
        self.apply_faults(msgspec.structs.replace(faults, restart=False))
        if faults.restart:
            self.restart(request.protocol)
        return json_answer(self.faults)

    async def answer_journal(self, request: web.Request) -> web.Response:
        """Answer with all journal entries."""
        self.state.advance()
        return json_answer(self.state.observer.journal)

    async def answer_violations(self, request: web.Request) -> web.Response:
        """Answer with the number of violations by dimension."""
        return json_answer(self.state.observer.violations)

    async def execute(self, call: Call, message: Any) -> Any:
        """Execute a call; a call that runs a request returns when the request ends.

        Raises:
            KilledError: the worker restarted before the request ended.
            RefusedError: the worker refused the call.
        """
        result = call.execute(self.state, message)
        if not isinstance(message, RunRequest):
            self.schedule()
            return result
        ended = asyncio.get_running_loop().create_future()
        self.waiting[message.task_id] = ended
        self.advance()
        return await ended

    def advance(self) -> None:
        """End all work that is due, and set the timer to the next end."""
        self.state.advance()
        self.schedule()

    def schedule(self) -> None:
        """Set the timer to the next planned end or task lease expiry."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due_s = self.state.current.next_due_s()
        if due_s < math.inf:
            self.timer = asyncio.get_running_loop().call_at(due_s, self.advance)

    def resolve_request(self, work: Work) -> None:
        """Pass the result of a request to the call that waits for it, if any."""
        ended = self.waiting.pop(work.task_id, None)
        if ended is not None and not ended.done():
            ended.set_result(RequestResult(work.state, work.result))

    def count_connection(self, request: web.Request) -> None:
        """Count a connection against the limit when it makes its first call of the worker API."""
        if request.protocol in self.counted:
            return
        self.counted.intersection_update(self.listener.connections())
        self.counted.add(request.protocol)
        self.state.connected(len(self.counted))

    def drops_answer(self, call: Call) -> bool:
        """Return whether to drop the answer of a call; decrements `drop_answers` if so."""
        drops = self.faults.drop_answers and self.faults.drop_path in {'', call.path}
        self.faults.drop_answers -= bool(drops)
        return bool(drops)


class WorkerFleet:
    """Many workers in one process.

    Attributes:
        workers: servers by worker id.
    """

    def __init__(self, settings: WorkerFleetSettings) -> None:
        """Create idle workers."""
        self.workers = {config.worker_id: WorkerServer(config) for config in settings.workers}

    async def start(self) -> dict[str, str]:
        """Start to listen, and return the address of each worker by its id."""
        started = await asyncio.gather(*(worker.start() for worker in self.workers.values()))
        return {name: address for each in started for name, address in each.items()}

    async def stop(self) -> None:
        """Close all listeners and connections."""
        await asyncio.gather(*(worker.stop() for worker in self.workers.values()))
