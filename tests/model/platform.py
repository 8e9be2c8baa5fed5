"""In-memory workers, log and VM list, called over wires that can fail."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Any

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    FencedError,
    LogUnavailableError,
    RetentionPassedError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.platform.messages import AppendRequest, RequestResult, VmSnapshot
from marigoldlift.util import MS_PER_S
from standins.errors import PastRetentionError, RateLimitedError, RefusedError
from standins.log_state import LogState
from standins.messages import WorkerSettings
from standins.work import Work
from standins.worker_state import WorkerState

from tests.model.network import LostCallError, Wire

__all__ = ('LogPort', 'ModelDirectory', 'ModelLog', 'ModelWorker', 'WorkerPort')

#: Timeouts of the HTTP adapters, in seconds.
LEASE_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0
ANSWER_GRACE_S = 0.5
APPEND_TIMEOUT_S = 2.0
READ_GRACE_S = 0.5

#: Rounding error of the virtual clock, in seconds.
TICK_S = 0.000_002


class ModelWorker:
    """Worker stand-in that answers requests when their runs end."""

    def __init__(self, settings: WorkerSettings, clock: Callable[[], float]) -> None:
        """Start the first incarnation."""
        self.incarnation_count = 0
        self.state = WorkerState(settings, clock, self.new_incarnation)
        self.state.on_end = self.note_end
        self.ended: dict[tuple[str, str], Work] = {}

    def new_incarnation(self) -> str:
        """Return numbered names, so that a run can be reproduced."""
        self.incarnation_count += 1
        return f'life{self.incarnation_count}'

    def note_end(self, work: Work) -> None:
        """Record how a piece of work ended."""
        self.ended[self.state.current.incarnation, work.task_id] = work

    async def run_request(self, request: Any) -> RequestResult:
        """Start a request and wait for its end.

        Raises:
            LostCallError: the worker has restarted.
        """
        self.state.start_request(request)
        current = self.state.current
        while True:
            self.state.advance()
            work = self.ended.get((current.incarnation, request.task_id))
            if work is not None:
                return RequestResult(work.state, work.result)
            if self.state.current is not current:
                raise LostCallError('worker restarted', may_have_run=True)
            ends_s = current.running.by_id[request.task_id].ends_s
            await asyncio.sleep(max(ends_s - self.state.clock(), 0) + TICK_S)


class WorkerPort:
    """API client of a worker for one entry."""

    def __init__(self, worker: ModelWorker, wire: Wire) -> None:
        """Create a client that calls a worker over a wire."""
        self.worker = worker
        self.wire = wire

    async def lease(self, request):
        """Claim, renew or release the control lease."""
        return await self.command('lease', self.worker.state.lease, request, LEASE_TIMEOUT_S)

    async def start_task(self, request):
        """Start a task."""
        await self.command('start', self.worker.state.start_task, request, COMMAND_TIMEOUT_S)

    async def stop_task(self, request):
        """Stop a task."""
        await self.command('stop', self.worker.state.stop_task, request, COMMAND_TIMEOUT_S)

    async def run_request(self, request):
        """Run a request."""
        timeout_s = request.deadline_ms / MS_PER_S + ANSWER_GRACE_S
        return await self.send('run', self.worker.run_request, request, timeout_s)

    async def command(self, name, method, request, timeout_s):
        """Send a command that is answered at once."""

        async def execute(message):
            return method(message)

        return await self.send(name, execute, request, timeout_s)

    async def send(self, name, method, request, timeout_s):
        """Send a request and raise the same errors as the HTTP adapter."""
        try:
            return await self.wire.call(name, lambda: method(request), timeout_s)
        except RefusedError as refusal:
            kind = FencedError if refusal.code == 'fenced' else WorkerRefusedError
            raise kind(refusal.code, refusal.reason) from None
        except LostCallError as lost:
            raise WorkerUnavailableError(lost.reason, may_have_run=lost.may_have_run) from None


class ModelLog:
    """In-memory log whose reads wait for records."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without records; retention drops none."""
        self.state = LogState(clock, retain_records=10**6, retain_s=math.inf, appends_per_s=400)
        self.appended_events: dict[str, asyncio.Event] = {}

    async def append(self, stream, batch):
        """Append a batch and wake the readers of the stream."""
        appended = self.state.append(stream, batch)
        self.appended_events.pop(stream, asyncio.Event()).set()
        return appended

    async def read(self, stream, first, limit, wait_ms):
        """Read records; wait up to `wait_ms` if there are none yet."""
        page = self.state.read(stream, first, limit)
        if page.records or not wait_ms:
            return page
        event = self.appended_events.setdefault(stream, asyncio.Event())
        await asyncio.wait((asyncio.ensure_future(event.wait()),), timeout=wait_ms / MS_PER_S)
        return self.state.read(stream, first, limit)


class LogPort:
    """Log client of one entry."""

    def __init__(self, log: ModelLog, wire: Wire) -> None:
        """Create a client that calls the log over a wire."""
        self.log = log
        self.wire = wire

    async def append(self, stream, producer, sequence, payloads: Sequence[bytes]):
        """Append a batch."""
        batch = AppendRequest(producer, sequence, list(payloads))
        try:
            return await self.wire.call(
                'append',
                lambda: self.log.append(stream, batch),
                APPEND_TIMEOUT_S,
            )
        except RateLimitedError:
            raise AppendRefusedError('too many appends') from None
        except LostCallError as lost:
            kind = AppendOutcomeUnknownError if lost.may_have_run else LogUnavailableError
            raise kind(lost.reason) from None

    async def read(self, stream, first, limit, wait_ms):
        """Read records."""
        try:
            return await self.wire.call(
                'read',
                lambda: self.log.read(stream, first, limit, wait_ms),
                wait_ms / MS_PER_S + READ_GRACE_S,
            )
        except PastRetentionError as past:
            raise RetentionPassedError(past.oldest) from None
        except LostCallError as lost:
            raise LogUnavailableError(lost.reason) from None


class ModelDirectory:
    """VM list that does not change and always answers."""

    def __init__(self, snapshot: VmSnapshot) -> None:
        """Keep the list to answer with."""
        self.snapshot = snapshot

    async def list_vms(self) -> VmSnapshot:
        """Return the list."""
        return self.snapshot
