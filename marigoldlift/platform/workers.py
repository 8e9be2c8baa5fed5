"""Calls to workers, and their entries in the platform's registry."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from loguru import logger

from marigoldlift.errors import WorkerRefusedError, WorkerUnavailableError
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun, WorkerStatus, StartOrder, Worker
from marigoldlift.platform.calls import CallUnansweredError, HttpClient, Reply
from marigoldlift.platform.wire import PollReply, OrderReply, WorkerBody
from marigoldlift.submissions.model import TaskRef, parse_task_name

__all__ = ('PlatformWorkers', 'decode_worker')

MS_PER_S = 1000

#: Longest wait for the answer to an order, in s; a sound worker answers within a few ms.
ANSWER_TIMEOUT_S = 0.4

#: Fields of a row that are used; a later field is a rough figure of use.
HELD_FIELDS = 4
ENDED_FIELDS = 5

#: Rows of ends that a worker lists at most.
MAX_ENDED_ROWS = 500

OK = 200
CONFLICT = 409
OTHER_INSTANCE = 421
SERVER_FAULTS = 500
UNHEALTHY = frozenset((429, 503))

EXPECT_HEADER = 'X-Expect-Instance'

order_decoder = msgspec.json.Decoder(OrderReply)
poll_decoder = msgspec.json.Decoder(PollReply)
worker_decoder = msgspec.json.Decoder(WorkerBody)
STATES = frozenset(('ready', 'draining'))


class PlatformWorkers:
    """Orders over HTTP."""

    def __init__(self, calls: HttpClient) -> None:
        """Use the shared client."""
        self.calls = calls

    async def start(self, worker: Worker, token: int, order: StartOrder) -> float:
        """Start a run and return the worker's clock in ms."""
        fields: dict[str, Any] = {
            'task': order.task.name,
            'run': order.run,
            'spec': order.content,
            'deadline_ms': order.until_ms,
            'fencing_token': token,
        }
        if order.checkpoint:
            fields['checkpoint'] = order.checkpoint
        if order.ticket:
            fields['ticket'] = order.ticket
        reply = await self.order(worker, 'run-start', fields, ANSWER_TIMEOUT_S)
        return decode_order(reply).clock_ms

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Ask a run to end."""
        fields = {'task': task.name, 'run': run, 'fencing_token': token}
        await self.order(worker, 'run-stop', fields, ANSWER_TIMEOUT_S)

    async def poll(
        self,
        worker: Worker,
        token: int,
        last_acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus:
        """Renew the lease, forget the ends up to `last_acknowledged`, and list what is there."""
        fields: dict[str, Any] = {'fencing_token': token, 'last_seen': last_acknowledged}
        if until_ms is not None:
            fields['deadline_ms'] = until_ms
        if wait_ms:
            fields['wait_ms'] = wait_ms
        reply = await self.order(worker, 'hold', fields, ANSWER_TIMEOUT_S + wait_ms / MS_PER_S)
        try:
            return parse_poll(poll_decoder.decode(reply.body))
        except msgspec.DecodeError as fault:
            raise WorkerUnavailableError(
                f'look cannot be read: {fault}', may_have_run=True
            ) from fault

    async def order(
        self, worker: Worker, verb: str, fields: Mapping[str, Any], wait_s: float
    ) -> Reply:
        """Send an order to the one incarnation that it is meant for."""
        url = f'http://{worker.address}/-/{verb}'
        try:
            reply = await self.calls.post(
                url, msgspec.json.encode(fields), wait_s, {EXPECT_HEADER: worker.id}
            )
        except CallUnansweredError as fault:
            raise WorkerUnavailableError(str(fault), may_have_run=fault.was_sent) from fault
        check_order(reply)
        return reply


def check_order(reply: Reply) -> None:
    """Raise what an answer other than success means."""
    if reply.status == OK:
        return
    if reply.status in UNHEALTHY:
        raise WorkerRefusedError('unhealthy', f'worker answered {reply.status}')
    if reply.status == OTHER_INSTANCE:
        raise WorkerRefusedError('instance', 'another incarnation answered')
    if reply.status == CONFLICT:
        reason = decode_order(reply).reason
        raise WorkerRefusedError(reason, f'worker refused: {reason}')
    if reply.status < SERVER_FAULTS:
        raise WorkerRefusedError('invalid', f'worker answered {reply.status}: {reply.body!r}')
    raise WorkerUnavailableError(f'worker answered {reply.status}', may_have_run=True)


def decode_order(reply: Reply) -> OrderReply:
    """Return the body of an answer to an order."""
    try:
        return order_decoder.decode(reply.body)
    except msgspec.DecodeError as fault:
        raise WorkerUnavailableError(
            f'answer cannot be read: {fault}', may_have_run=True
        ) from fault


def parse_poll(reply: PollReply) -> WorkerStatus:
    """Return a look as the product has it; with a row that cannot be read it does not tell what is absent."""
    running = [held for held in map(parse_held_row, reply.running) if held is not None]
    ended = [found for found in map(parse_ended_row, reply.finished) if found is not None]
    rows = len(reply.running) + len(reply.finished)
    return WorkerStatus(
        clock_ms=reply.clock_ms,
        born_ms=reply.born,
        running=running,
        ended=ended,
        whole=len(running) + len(ended) == rows and len(reply.finished) < MAX_ENDED_ROWS,
        leaving_ms=reply.remaining_ms,
    )


def parse_held_row(row: Sequence[Any]) -> HeldRun | None:
    """Return the run of a row, None with a log line when the row has another form."""
    try:
        name, run, checkpoint, percent = row[:HELD_FIELDS]
        held = HeldRun(parse_task_name(name), int(run), checkpoint or '', float(percent))
    except (AttributeError, TypeError, ValueError) as fault:
        logger.warning('row of a run skipped: {} {}', row, fault)
        return None
    return held


def parse_ended_row(row: Sequence[Any]) -> EndedRun | None:
    """Return the end of a row, None with a log line when the row has another form."""
    try:
        number, name, run, kind, checkpoint = row[:ENDED_FIELDS]
        ended = EndedRun(
            int(number), parse_task_name(name), int(run), EndKind(kind), checkpoint or ''
        )
    except (AttributeError, TypeError, ValueError) as fault:
        logger.warning('row of an end skipped: {} {}', row, fault)
        return None
    return ended


def decode_worker(key: str, content: bytes) -> Worker | None:
    """Return the worker of a registry entry, None when another writer has left it."""
    try:
        body = worker_decoder.decode(content)
    except msgspec.DecodeError as fault:
        logger.debug('registry entry skipped: key={} {}', key, fault)
        return None
    if body.state not in STATES:
        logger.debug('registry entry skipped: key={} state={}', key, body.state)
        return None
    return Worker(
        id=key,
        address=body.addr,
        failure_domain=body.zone,
        service=body.service,
        ready=body.state == 'ready',
        born_ms=body.born,
        cpu_m=body.capacity.cpu,
        mem_mb=body.capacity.mem_mb,
        gpus=body.capacity.gpu,
        labels=tuple(body.labels),
        leaving_ms=body.remaining_ms,
    )
