"""HTTP interface for clients: submit and cancel submissions, query their state and a queue's pending count."""

import string
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from aiohttp import web
from loguru import logger

from marigoldlift.errors import InvalidInputError, LogUnavailableError, ShareExceededError
from marigoldlift.platform.callers import Gatekeeper, Refusal
from marigoldlift.platform.configuration import CellConfiguration, ConfigurationFreshness, Queue
from marigoldlift.platform.draining_server import has_pipelined_request
from marigoldlift.platform.replies import error_reply, refused_reply, reply
from marigoldlift.platform.submission_parsing import parse_submission, submission_decoder
from marigoldlift.submissions.acceptance import Acceptance, AcceptanceResult
from marigoldlift.submissions.access import Caller
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import monotonic_now

__all__ = ('ClientRequestHandler',)

MS_PER_S = 1000

#: Timeout of a caller that sends no deadline, in s.
DEFAULT_TIMEOUT_S = 3.0

#: Longest timeout of a caller that is taken into account, in s.
MAX_TIMEOUT_S = 300

#: Fraction of a caller's timeout within which the request is answered.
TIMEOUT_SHARE = 0.8

ID_LENGTH = 16
HEX_DIGITS = frozenset(string.hexdigits)

DEADLINE_HEADER = 'X-Deadline-Ms'
KEY_HEADER = 'Authorization'

STATUS_OF = MappingProxyType(
    {
        AcceptanceResult.done: HTTPStatus.OK,
        AcceptanceResult.refused: HTTPStatus.SERVICE_UNAVAILABLE,
        AcceptanceResult.unknown: HTTPStatus.GATEWAY_TIMEOUT,
        AcceptanceResult.gone: HTTPStatus.GONE,
        AcceptanceResult.taken: HTTPStatus.CONFLICT,
    }
)


class Call(msgspec.Struct, frozen=True):
    """A request that may be served.

    Attributes:
        queue: queue that is called.
        caller: who calls.
        configuration: configuration under which it may be served.
    """

    queue: Queue
    caller: Caller
    configuration: CellConfiguration


class ClientRequestHandler:
    """Handles the requests of clients.

    Attributes:
        acceptance: accepts and cancels submissions, and looks up their state.
        relay: address of this entry, kept in each submission that it accepts.
        configuration: the newest configuration, None before the first one was read.
        freshness: tells whether the configuration may be older than the one in the store.
        gatekeeper: identifies callers.
        leaving: whether the entry is about to stop; answers then close their connection so that clients reconnect
            to other entries.
        metrics: counts answers and records response times.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        relay: str,
        freshness: ConfigurationFreshness,
        metrics: Metrics,
    ) -> None:
        """Start without a configuration."""
        self.acceptance = acceptance
        self.relay = relay
        self.freshness = freshness
        self.gatekeeper = Gatekeeper(freshness, metrics)
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
        """Answer a request for a queue or for one of its submissions."""
        call = self.admit(request)
        if isinstance(call, HTTPStatus):
            return reply(call)
        name = request.path[len(call.queue.prefix) :]
        if not name and request.method == 'GET':
            return self.pending(call.queue)
        if len(name) != ID_LENGTH or not HEX_DIGITS.issuperset(name):
            return error_reply(
                HTTPStatus.NOT_FOUND, 'the path ends with no id of 16 hexadecimal digits'
            )
        if request.method == 'POST':
            return await self.submit(request, SubmissionId(name))
        return await self.handle_submission(request, call.caller, SubmissionId(name))

    def admit(self, request: web.BaseRequest) -> Call | HTTPStatus:
        """Find the queue by host and path and the caller by its key; return the status of a refusal."""
        configuration = self.configuration
        if configuration is None or self.freshness.is_outdated():
            return HTTPStatus.SERVICE_UNAVAILABLE
        host = request.headers.get('Host', '').partition(':')[0]
        queue = configuration.queue_of(host, request.path)
        if queue is None:
            stale = self.freshness.may_be_stale()
            return HTTPStatus.SERVICE_UNAVAILABLE if stale else HTTPStatus.NOT_FOUND
        keys = request.headers.getall(KEY_HEADER, ())
        caller = self.gatekeeper.identify(keys, configuration, queue)
        if isinstance(caller, Refusal):
            return caller.status
        return Call(queue, caller, configuration)

    def pending(self, queue: Queue) -> web.Response:
        """Answer with the number of accepted submissions of a queue of which no task has started."""
        try:
            pending_count = self.acceptance.pending(queue.policy.queue)
        except LogUnavailableError as fault:
            logger.info('pending count unavailable: queue={} {}', queue.policy.queue, fault.reason)
            return reply(HTTPStatus.SERVICE_UNAVAILABLE)
        return reply(HTTPStatus.OK, {'pending': pending_count})

    async def handle_submission(
        self, request: web.BaseRequest, caller: Caller, name: SubmissionId
    ) -> web.Response:
        """Answer a request about one submission."""
        if request.method == 'DELETE':
            return reply(STATUS_OF[await self.acceptance.cancel(name, timeout_s(request), caller)])
        if request.method != 'GET':
            return error_reply(HTTPStatus.METHOD_NOT_ALLOWED, 'allowed: GET, POST, DELETE')
        try:
            outcome = await self.acceptance.outcome(name, timeout_s(request), caller)
        except LogUnavailableError as fault:
            logger.info('submission state unavailable: submission={} {}', name, fault.reason)
            return reply(HTTPStatus.SERVICE_UNAVAILABLE)
        if outcome is None:
            return reply(HTTPStatus.GONE)
        return reply(HTTPStatus.OK, {'state': outcome.value})

    async def submit(self, request: web.BaseRequest, name: SubmissionId) -> web.Response:
        """Parse a submission and store it.

        The request is admitted once more after its body was read: the caller may have sent that much later, or the
        process may have been paused meanwhile.
        """
        body = await request.read()
        call = self.admit(request)
        if isinstance(call, HTTPStatus):
            return reply(call)
        refusal = self.gatekeeper.refusal_to_submit(call.caller, call.configuration, call.queue)
        if refusal is not None:
            return reply(refusal.status)
        try:
            submission = parse_submission(
                submission_decoder.decode(body),
                call.queue,
                name,
                self.relay,
                call.caller.workspace,
            )
        except InvalidInputError as fault:
            logger.info('submission invalid: submission={} {}', name, fault)
            return error_reply(HTTPStatus.BAD_REQUEST, str(fault))
        try:
            answer = await self.acceptance.submit(submission, timeout_s(request), call.caller)
        except ShareExceededError as exceeded:
            return refused_reply(exceeded.retry_after_s)
        return reply(STATUS_OF[answer])


def timeout_s(request: web.BaseRequest) -> float:
    """Return the time within which a client's request has to be answered, in s."""
    deadline_ms = request.headers.get(DEADLINE_HEADER, '')
    caller_timeout_s = DEFAULT_TIMEOUT_S
    if deadline_ms.isascii() and deadline_ms.isdigit():
        caller_timeout_s = min(float(deadline_ms) / MS_PER_S, MAX_TIMEOUT_S)
    return caller_timeout_s * TIMEOUT_SHARE
