"""HTTP interface for clients: submit and cancel submissions, query their state and a queue's pending count."""

import math
import string
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from aiohttp import web
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import InvalidInputError, LogUnavailableError, ShareExceededError
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.draining_server import has_pipelined_request
from marigoldlift.platform.configuration import CellConfiguration, Queue
from marigoldlift.platform.wire import StepBody, SubmissionBody
from marigoldlift.submissions.acceptance import Acceptance, AcceptanceResult
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import monotonic_now
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('ClientRequestHandler',)

MS_PER_S = 1000

#: Pause before a retry that a 503 asks for, in ms and in whole s.
RETRY_AFTER_MS = 500
RETRY_AFTER_S = '1'

#: Timeout of a caller that sends no deadline, in s.
DEFAULT_TIMEOUT_S = 3.0

#: Longest timeout of a caller that is taken into account, in s.
MAX_TIMEOUT_S = 300

#: Fraction of a caller's timeout within which the request is answered.
TIMEOUT_SHARE = 0.8

ID_LENGTH = 16
HEX_DIGITS = frozenset(string.hexdigits)
MAX_CONTENT_BYTES = 4000

#: Largest submission: steps, and tasks over all occurrences. Its progress has to fit into one record.
MAX_STEPS = 1000
MAX_TASKS = 10_000

DEADLINE_HEADER = 'X-Deadline-Ms'

#: Largest body of a submission, in bytes.
MAX_BODY_BYTES = 262_144

submission_decoder: JsonDecoder[SubmissionBody] = JsonDecoder(SubmissionBody, MAX_BODY_BYTES)

STATUS_OF = MappingProxyType(
    {
        AcceptanceResult.done: HTTPStatus.OK,
        AcceptanceResult.refused: HTTPStatus.SERVICE_UNAVAILABLE,
        AcceptanceResult.unknown: HTTPStatus.GATEWAY_TIMEOUT,
        AcceptanceResult.gone: HTTPStatus.GONE,
    }
)


class ClientRequestHandler:
    """Handles the requests of clients.

    Attributes:
        acceptance: accepts and cancels submissions, and looks up their state.
        relay: address of this entry, kept in each submission that it accepts.
        configuration: the newest configuration, None before the first one was read.
        may_be_stale: returns whether the configuration may be older than the one in the store.
        leaving: whether the entry is about to stop; answers then close their connection so that clients reconnect
            to other entries.
        metrics: counts answers and records response times.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        relay: str,
        may_be_stale: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Start without a configuration."""
        self.acceptance = acceptance
        self.relay = relay
        self.may_be_stale = may_be_stale
        self.configuration: CellConfiguration | None = None
        self.leaving = False
        self.metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and record its status and duration."""
        arrived_at = monotonic_now()
        response = await self.answer(request)
        if self.leaving and not has_pipelined_request(request):
            response.force_close()
        self.metrics.add(Metric.requests, workspace=request.method, status=str(response.status))
        self.metrics.observe(Metric.request, monotonic_now() - arrived_at, service=request.method)
        return response

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Find the queue by host and path, and answer a request for the queue or for one of its submissions."""
        if self.configuration is None:
            return reply(HTTPStatus.SERVICE_UNAVAILABLE)
        host = request.headers.get('Host', '').partition(':')[0]
        queue = self.configuration.queue_of(host, request.path)
        if queue is None:
            stale = self.may_be_stale()
            return reply(HTTPStatus.SERVICE_UNAVAILABLE if stale else HTTPStatus.NOT_FOUND)
        workspace = self.workspace_of(request, self.configuration, queue)
        if workspace is None:
            stale = self.may_be_stale()
            return reply(HTTPStatus.SERVICE_UNAVAILABLE if stale else HTTPStatus.UNAUTHORIZED)
        name = request.path[len(queue.prefix) :]
        if not name and request.method == 'GET':
            return self.pending(queue)
        if len(name) != ID_LENGTH or not HEX_DIGITS.issuperset(name):
            return error_reply(
                HTTPStatus.NOT_FOUND, 'the path ends with no id of 16 hexadecimal digits'
            )
        return await self.handle_submission(request, queue, workspace, SubmissionId(name))

    def workspace_of(
        self, request: web.BaseRequest, configuration: CellConfiguration, queue: Queue
    ) -> WorkspaceId | None:
        """Return the workspace of a caller, None if its key is unknown."""
        keys = configuration.workspace_of_key
        if keys is None:
            return NO_WORKSPACE
        scheme, _, key = request.headers.get('Authorization', '').partition(' ')
        found = keys.get(key.strip()) if scheme.lower() == 'bearer' else None
        if found is None and queue.anonymous:
            return NO_WORKSPACE
        return found

    def pending(self, queue: Queue) -> web.Response:
        """Answer with the number of accepted submissions of a queue of which no task has started."""
        try:
            pending_count = self.acceptance.pending(queue.policy.queue)
        except LogUnavailableError as fault:
            logger.info('pending count unavailable: queue={} {}', queue.policy.queue, fault.reason)
            return reply(HTTPStatus.SERVICE_UNAVAILABLE)
        return reply(HTTPStatus.OK, {'pending': pending_count})

    async def handle_submission(
        self,
        request: web.BaseRequest,
        queue: Queue,
        workspace: WorkspaceId,
        name: SubmissionId,
    ) -> web.Response:
        """Answer a request about one submission."""
        if request.method == 'POST':
            return await self.submit(request, queue, workspace, name)
        if request.method == 'DELETE':
            return reply(STATUS_OF[await self.acceptance.cancel(name, timeout_s(request))])
        if request.method != 'GET':
            return error_reply(HTTPStatus.METHOD_NOT_ALLOWED, 'allowed: GET, POST, DELETE')
        try:
            outcome = await self.acceptance.outcome(name, timeout_s(request))
        except LogUnavailableError as fault:
            logger.info('submission state unavailable: submission={} {}', name, fault.reason)
            return reply(HTTPStatus.SERVICE_UNAVAILABLE)
        if outcome is None:
            return reply(HTTPStatus.GONE)
        return reply(HTTPStatus.OK, {'state': outcome.value})

    async def submit(
        self,
        request: web.BaseRequest,
        queue: Queue,
        workspace: WorkspaceId,
        name: SubmissionId,
    ) -> web.Response:
        """Parse a submission and store it."""
        body = await request.read()
        try:
            submission = parse_submission(
                submission_decoder.decode(body), queue, name, self.relay, workspace
            )
        except InvalidInputError as fault:
            logger.info('submission invalid: submission={} {}', name, fault)
            return error_reply(HTTPStatus.BAD_REQUEST, str(fault))
        try:
            answer = await self.acceptance.submit(submission, timeout_s(request))
        except ShareExceededError as refusal:
            return refused_reply(refusal.retry_after_s)
        return reply(STATUS_OF[answer])


def timeout_s(request: web.BaseRequest) -> float:
    """Return the time within which a client's request has to be answered, in s."""
    deadline_ms = request.headers.get(DEADLINE_HEADER, '')
    caller_timeout_s = DEFAULT_TIMEOUT_S
    if deadline_ms.isascii() and deadline_ms.isdigit():
        caller_timeout_s = min(float(deadline_ms) / MS_PER_S, MAX_TIMEOUT_S)
    return caller_timeout_s * TIMEOUT_SHARE


def reply(status: HTTPStatus, fields: dict[str, object] | None = None) -> web.Response:
    """Build a JSON response; a 503 carries the pause before a retry instead of the given fields."""
    headers = {}
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers['Retry-After'] = RETRY_AFTER_S
        fields = {'retry_after_ms': RETRY_AFTER_MS}
    return web.Response(
        status=status,
        body=msgspec.json.encode(fields or {}),
        headers=headers,
        content_type='application/json',
    )


def refused_reply(retry_after_s: float) -> web.Response:
    """Build a 503 response that says when the caller should come back."""
    response = reply(HTTPStatus.SERVICE_UNAVAILABLE)
    response.headers['Retry-After'] = str(math.ceil(retry_after_s))
    response.body = msgspec.json.encode({'retry_after_ms': math.ceil(retry_after_s * MS_PER_S)})
    return response


def error_reply(status: HTTPStatus, reason: str) -> web.Response:
    """Build a response that says what is wrong with the request."""
    return reply(status, {'error': reason})


def parse_submission(
    body: SubmissionBody,
    queue: Queue,
    name: SubmissionId,
    relay: str,
    workspace: WorkspaceId = NO_WORKSPACE,
) -> Submission:
    """Validate the body of a submission and convert it.

    Raises:
        InvalidInputError: there are no steps, the content is too long, there are too many tasks, or a step has no
            tasks or a wrong dependency.
    """
    check_submission(body)
    return Submission(
        id=name,
        content=body.spec,
        steps=tuple(map(parse_step, body.phases)),
        policy=queue.policy,
        relay=relay,
        occurrences=max(1, body.repeat_count),
        first_due_ms=body.start_at_ms if body.repeat_count else 0,
        interval_ms=body.interval_ms,
        workspace=workspace,
    )


def check_submission(body: SubmissionBody) -> None:
    """Validate the body of a submission beyond the types and ranges of its fields.

    Raises:
        InvalidInputError: it cannot be accepted.
    """
    if not 1 <= len(body.phases) <= MAX_STEPS:
        raise InvalidInputError(f'phases: 1 to {MAX_STEPS} steps are allowed')
    if len(body.spec.encode()) > MAX_CONTENT_BYTES:
        raise InvalidInputError(f'spec: longer than {MAX_CONTENT_BYTES} bytes')
    tasks = sum(phase.count for phase in body.phases) * max(1, body.repeat_count)
    if tasks > MAX_TASKS:
        raise InvalidInputError(f'phases: {tasks} tasks in total, allowed are {MAX_TASKS}')
    for number, phase in enumerate(body.phases):
        if not is_step_valid(number, phase):
            raise InvalidInputError(
                f'phases[{number}]: count is below 1, or after names no earlier step'
            )


def is_step_valid(number: int, phase: StepBody) -> bool:
    """Return whether a step has tasks and depends on earlier steps only."""
    return phase.count >= 1 and all(0 <= earlier < number for earlier in phase.after)


def parse_step(body: StepBody) -> Step:
    """Convert one step of a submission."""
    return Step(
        count=body.count,
        cpu_m=body.cpu,
        mem_mb=body.mem_mb,
        gpus=body.gpu,
        estimate_ms=body.est_ms,
        after=tuple(body.after),
        gang=body.gang,
        same_rack=body.same_rack,
        requires=body.requires,
        data_rack=body.data_rack,
        spread_limit=body.anti_affinity,
        checkpointing=body.checkpointing,
        speculative=body.speculative,
        long_running=body.long_running,
        fills=body.fills,
        may_be_away=body.may_miss,
    )
