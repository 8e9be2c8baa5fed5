"""HTTP client for workers, and decoding of their entries in the platform's registry."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import (
    MalformedMessageError,
    OrderWithdrawnError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun, WorkerStatus, StartOrder, Worker
from marigoldlift.platform.addresses import is_socket_address
from marigoldlift.answer_deadline import always
from marigoldlift.platform.calls import (
    CallUnansweredError,
    CallWithdrawnError,
    HttpClient,
    Reply,
)
from marigoldlift.platform.wire import PollReply, OrderReply, WorkerBody
from marigoldlift.submissions.model import TaskRef, parse_task_name

__all__ = ('PlatformWorkers', 'decode_worker')

MS_PER_S = 1000

#: Longest wait for the answer to an order, in s; a healthy worker answers within a few ms.
ANSWER_TIMEOUT_S = 0.4

#: Wait for the answer to every second poll while a worker leaves them unanswered, in s, so that one which is slow to answer
#: keeps its lease. The polls between them notice early that one which was cut off is back.
PATIENT_TIMEOUT_S = 1.0

#: Longest checkpoint that is kept, in characters; it becomes part of records and of starts.
MAX_CHECKPOINT_CHARS = 4096

#: Number of leading fields of a row that are used; a further field is a rough figure of resource usage.
HELD_FIELDS = 4
ENDED_FIELDS = 5

#: Largest number of ended runs that a worker lists.
MAX_ENDED_ROWS = 500

OK = 200
CONFLICT = 409
OTHER_INSTANCE = 421
MIN_SERVER_ERROR = 500
UNHEALTHY = frozenset((429, 503))

EXPECT_HEADER = 'X-Expect-Instance'

#: Largest messages of a worker, in bytes: answer to an order, status, and registry entry.
MAX_ORDER_REPLY_BYTES = 65_536
MAX_STATUS_BYTES = 8_388_608
MAX_ENTRY_BYTES = 262_144

#: Longest id of a worker; it becomes part of the key of a record, which has at most 255 bytes.
MAX_ID_LENGTH = 200

#: Largest number of an end or a run in a row.
MAX_ROW_NUMBER = 9_007_199_254_740_992

#: Errors of the conversion of a row with other fields than expected.
ROW_ERRORS = (AttributeError, TypeError, ValueError, OverflowError)

order_decoder: JsonDecoder[OrderReply] = JsonDecoder(OrderReply, MAX_ORDER_REPLY_BYTES)
poll_decoder: JsonDecoder[PollReply] = JsonDecoder(PollReply, MAX_STATUS_BYTES)
worker_decoder: JsonDecoder[WorkerBody] = JsonDecoder(WorkerBody, MAX_ENTRY_BYTES)
STATES = frozenset(('ready', 'draining'))


class PlatformWorkers:
    """Sends orders and status polls to workers over HTTP.

    Attributes:
        unanswered_polls: number of consecutive status polls without an answer, by worker id; others are left out.
    """

    def __init__(self, calls: HttpClient) -> None:
        """Use the shared client."""
        self.calls = calls
        self.unanswered_polls: Counter[str] = Counter()

    async def start(
        self, worker: Worker, token: int, order: StartOrder, may_send: Callable[[], bool]
    ) -> float:
        """Start a run and return the time of the worker's clock in ms; `may_send` is asked just before the first byte."""
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
        reply = await self.order(worker, 'run-start', fields, ANSWER_TIMEOUT_S, may_send)
        return decode_order(reply).clock_ms

    async def stop(self, worker: Worker, token: int, task: TaskRef, run: int) -> None:
        """Request that a run stops."""
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
        """Renew the lease, acknowledge ended runs, and return the worker's status.

        Args:
            worker: the worker to poll.
            token: fencing token of this leader.
            last_acknowledged: number of the last ended run that the worker need not list again.
            until_ms: time of the worker's clock at which the lease ends, in ms; None to leave it as it is.
            wait_ms: how long the worker may wait for a run to end before it answers, in ms.
        """
        fields: dict[str, Any] = {'fencing_token': token, 'last_seen': last_acknowledged}
        if until_ms is not None:
            fields['deadline_ms'] = until_ms
        if wait_ms:
            fields['wait_ms'] = wait_ms
        is_patient = self.unanswered_polls[worker.id] % 2
        timeout_s = PATIENT_TIMEOUT_S if is_patient else ANSWER_TIMEOUT_S
        try:
            reply = await self.order(worker, 'hold', fields, timeout_s + wait_ms / MS_PER_S)
        except WorkerUnavailableError:
            self.unanswered_polls[worker.id] += 1
            raise
        self.unanswered_polls.pop(worker.id, None)
        try:
            return parse_poll(poll_decoder.decode(reply.body))
        except MalformedMessageError as fault:
            raise WorkerUnavailableError(
                f'poll answer cannot be read: {fault}', may_have_run=True
            ) from fault

    def forget(self, worker: str) -> None:
        """Forget the polls of a worker that is polled no more."""
        self.unanswered_polls.pop(worker, None)

    async def order(
        self,
        worker: Worker,
        verb: str,
        fields: Mapping[str, Any],
        wait_s: float,
        may_send: Callable[[], bool] = always,
    ) -> Reply:
        """Send an order to a worker; a header with its id makes any other instance at its address refuse the order."""
        url = f'http://{worker.address}/-/{verb}'
        try:
            reply = await self.calls.post(
                url, msgspec.json.encode(fields), wait_s, {EXPECT_HEADER: worker.id}, may_send
            )
        except CallWithdrawnError as withdrawn:
            raise OrderWithdrawnError(str(withdrawn)) from withdrawn
        except CallUnansweredError as fault:
            raise WorkerUnavailableError(str(fault), may_have_run=fault.was_sent) from fault
        check_order(reply)
        return reply


def check_order(reply: Reply) -> None:
    """Raise the error that an answer without success stands for.

    Raises:
        WorkerRefusedError: the order had no effect.
        WorkerUnavailableError: a server error; the order may have taken effect.
    """
    if reply.status == OK:
        return
    if reply.status in UNHEALTHY:
        raise WorkerRefusedError('unhealthy', f'worker answered {reply.status}')
    if reply.status == OTHER_INSTANCE:
        raise WorkerRefusedError('instance', 'another incarnation answered')
    if reply.status == CONFLICT:
        reason = decode_order(reply).reason
        raise WorkerRefusedError(reason, f'worker refused: {reason}')
    if reply.status < MIN_SERVER_ERROR:
        raise WorkerRefusedError('invalid', f'worker answered {reply.status}: {reply.body!r}')
    raise WorkerUnavailableError(f'worker answered {reply.status}', may_have_run=True)


def decode_order(reply: Reply) -> OrderReply:
    """Decode the body of an answer to an order."""
    try:
        return order_decoder.decode(reply.body)
    except MalformedMessageError as fault:
        raise WorkerUnavailableError(
            f'answer cannot be read: {fault}', may_have_run=True
        ) from fault


def parse_poll(reply: PollReply) -> WorkerStatus:
    """Convert the answer to a status poll.

    The status is `whole` only if no row was skipped and the worker listed fewer than the largest number of ended runs;
    otherwise a run that is missing from it may still exist.
    """
    running = [held for held in map(parse_held_row, reply.running) if held is not None]
    ended = [end for end in map(parse_ended_row, reply.finished) if end is not None]
    rows = len(reply.running) + len(reply.finished)
    more_ends = len(reply.finished) >= MAX_ENDED_ROWS
    return WorkerStatus(
        clock_ms=reply.clock_ms,
        born_ms=reply.born,
        running=running,
        ended=ended,
        whole=len(running) + len(ended) == rows and not more_ends,
        leaving_ms=reply.remaining_ms,
        more_ends=more_ends,
    )


def parse_held_row(row: Sequence[Any]) -> HeldRun | None:
    """Convert a row to a run on the worker; log a row of another form and return None."""
    try:
        name, run, checkpoint, percent = row[:HELD_FIELDS]
        held = HeldRun(
            parse_task_name(name), row_number(run), row_checkpoint(checkpoint), float(percent)
        )
    except ROW_ERRORS as fault:
        logger.warning('row of a run skipped: {} {}', row, fault)
        return None
    return held


def parse_ended_row(row: Sequence[Any]) -> EndedRun | None:
    """Convert a row to an ended run; log a row of another form and return None."""
    try:
        number, name, run, kind, checkpoint = row[:ENDED_FIELDS]
        ended = EndedRun(
            row_number(number),
            parse_task_name(name),
            row_number(run),
            EndKind(kind),
            row_checkpoint(checkpoint),
        )
    except ROW_ERRORS as fault:
        logger.warning('row of an ended run skipped: {} {}', row, fault)
        return None
    return ended


def row_number(field: Any) -> int:
    """Return a field of a row that has to be a whole number of at least 0.

    Raises:
        ValueError: it is none, or it is too large.
    """
    if type(field) is not int or not 0 <= field <= MAX_ROW_NUMBER:  # noqa: WPS516 a bool is no number
        raise ValueError(f'not a number of a run: {field!r}')
    return field


def row_checkpoint(field: Any) -> str:
    """Return a field of a row that has to be a checkpoint or missing; one that is too long is left out.

    Raises:
        ValueError: it is neither.
    """
    checkpoint = row_text(field)
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_CHARS else ''


def row_text(field: Any) -> str:
    """Return a field of a row that has to be a text or missing.

    Raises:
        ValueError: it is neither.
    """
    if field is not None and not isinstance(field, str):
        raise ValueError(f'not a text: {field!r}')
    return field or ''


def decode_worker(key: str, content: bytes) -> Worker:
    """Decode a registry entry.

    Raises:
        MalformedMessageError: the entry does not describe a worker; the registry has other writers too.
    """
    body = worker_decoder.decode(content)
    if not is_worker_id(key):
        raise MalformedMessageError('the key is no id of a worker')
    if body.state not in STATES:
        raise MalformedMessageError(f'unknown state {body.state[:MAX_ID_LENGTH]!r}')
    if not is_socket_address(body.addr):
        raise MalformedMessageError(f'no address of a worker: {body.addr[:MAX_ID_LENGTH]!r}')
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


def is_worker_id(key: str) -> bool:
    """Return whether a key can be an id; orders carry it in a header."""
    return 0 < len(key) <= MAX_ID_LENGTH and key.isascii() and key.isprintable()
