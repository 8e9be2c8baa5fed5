"""HTTP routes for callers, load balancer checks and metrics."""

import secrets
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import TypeVar

import msgspec
from aiohttp import web
from loguru import logger

from marigoldlift.admission.connection_limit import ConnectionLimit
from marigoldlift.callers.backend import CallerBackend
from marigoldlift.callers.messages import JobBody, ReplyBody, RequestBody
from marigoldlift.callers.tokens import format_token, parse_token
from marigoldlift.errors import InvalidInputError, MarigoldliftError, OverloadedError
from marigoldlift.ids import IdempotencyKey, WorkspaceId
from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    QueryReply,
    QueryRequest,
    ReadToken,
    ReplyStatus,
    SubmitRequest,
)
from marigoldlift.telemetry.tracing import Tracing, trace_id_of

__all__ = ('AdmissionLimit', 'CallerRoutes', 'typed_errors')

HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_SERVER_ERROR = 500
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504

STATUS_CODES = MappingProxyType(
    {
        ReplyStatus.completed: HTTP_OK,
        ReplyStatus.accepted: HTTP_ACCEPTED,
        ReplyStatus.failed: HTTP_SERVER_ERROR,
        ReplyStatus.unknown: HTTP_BAD_GATEWAY,
        ReplyStatus.not_run: HTTP_UNAVAILABLE,
        ReplyStatus.invalid: HTTP_BAD_REQUEST,
    }
)

#: HTTP statuses of error codes; more specific than the status of the reply.
CODE_STATUS = MappingProxyType(
    {
        'not_found': HTTP_NOT_FOUND,
        'conflict': HTTP_CONFLICT,
        'overloaded': HTTP_TOO_MANY,
        'deadline_passed': HTTP_TIMEOUT,
        'log_unavailable': HTTP_UNAVAILABLE,
    }
)

#: Random bytes in a request id, which, unlike a trace id, is never taken from the caller.
REQUEST_ID_BYTES = 8

MAX_WORKSPACE_LENGTH = 128

#: Deadline of a read without `deadline_ms`, in milliseconds.
DEFAULT_READ_DEADLINE_MS = 5000
MAX_READ_DEADLINE_MS = 600_000

TRACE_HEADER = 'traceparent'

BodyT = TypeVar('BodyT')

HttpHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerRoutes:
    """HTTP handlers of the caller interface, which validate the input and call the backend."""

    def __init__(self, backend: CallerBackend, tracing: Tracing) -> None:
        """Create the handlers."""
        self.backend = backend
        self.tracing = tracing

    def add_to(self, app: web.Application) -> None:
        """Register all routes with an application."""
        base = '/v1/workspaces/{workspace}'
        app.router.add_post(f'{base}/requests', self.execute)
        app.router.add_get(f'{base}/requests/{{handle}}', self.query)
        app.router.add_post(f'{base}/jobs', self.submit)
        app.router.add_get(f'{base}/jobs/{{handle}}', self.query)
        app.router.add_delete(f'{base}/jobs/{{handle}}', self.cancel)
        app.router.add_get('/healthz', self.health)
        app.router.add_get('/readyz', self.ready)
        app.router.add_get('/metrics', self.metrics)

    async def execute(self, http: web.Request) -> web.Response:
        """Run an interactive request."""
        workspace = workspace_of(http)
        body = await decode_body(http, RequestBody)
        with self.tracing.span('caller', parent=traceparent_of(http)) as span:
            trace_id = trace_id_of(span.traceparent)
            request = ExecuteRequest(
                request_id=secrets.token_hex(REQUEST_ID_BYTES),
                workspace=workspace,
                key=IdempotencyKey(body.key),
                service=body.service,
                payload=body.payload,
                attempt=body.attempt,
                deadline_ms=body.deadline_ms,
                traceparent=span.traceparent,
            )
            return reply_response(await self.backend.execute(request), trace_id)

    async def submit(self, http: web.Request) -> web.Response:
        """Submit a job."""
        workspace = workspace_of(http)
        body = await decode_body(http, JobBody)
        with self.tracing.span('caller', parent=traceparent_of(http)) as span:
            request = SubmitRequest(
                workspace=workspace,
                key=IdempotencyKey(body.key),
                spec=body.spec,
                attempt=body.attempt,
                deadline_ms=body.deadline_ms,
                traceparent=span.traceparent,
            )
            reply = await self.backend.submit(request)
            return reply_response(reply, trace_id_of(span.traceparent))

    async def cancel(self, http: web.Request) -> web.Response:
        """Cancel a job."""
        with self.tracing.span('caller', parent=traceparent_of(http)) as span:
            request = CancelRequest(
                workspace=workspace_of(http),
                handle=http.match_info['handle'],
                deadline_ms=deadline_of(http),
                token=token_of(http),
                traceparent=span.traceparent,
            )
            reply = await self.backend.cancel(request)
            return reply_response(reply, trace_id_of(span.traceparent))

    async def query(self, http: web.Request) -> web.Response:
        """Read a job or the outcome of a non-repeatable request."""
        with self.tracing.span('caller', parent=traceparent_of(http)) as span:
            request = QueryRequest(
                workspace=workspace_of(http),
                handle=http.match_info['handle'],
                deadline_ms=deadline_of(http),
                token=token_of(http),
                explain='explain' in http.query,
                traceparent=span.traceparent,
            )
            return view_response(await self.backend.query(request))

    async def health(self, http: web.Request) -> web.Response:
        """Answer the liveness check: a response shows that the event loop is running."""
        return web.Response(text='ok\n')

    async def ready(self, http: web.Request) -> web.Response:
        """Answer the readiness check: whether the load balancer may route callers to this entry."""
        if self.backend.is_ready():
            return web.Response(text='ready\n')
        return web.Response(text='not ready\n', status=HTTP_UNAVAILABLE)

    async def metrics(self, http: web.Request) -> web.Response:
        """Return all metrics in the text exposition format."""
        return web.Response(text=self.backend.render_metrics())


async def decode_body(http: web.Request, body_type: type[BodyT]) -> BodyT:
    """Decode and validate a JSON body.

    Raises:
        InvalidInputError: the body does not match `body_type`; `path` is the invalid field, if any.
    """
    body = await http.read()
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as fault:
        reason, _, path = str(fault).partition(' - at `$.')
        raise InvalidInputError(reason, path.removesuffix('`')) from None


def workspace_of(http: web.Request) -> WorkspaceId:
    """Return the workspace in the URL path.

    Raises:
        InvalidInputError: the workspace name is too long.
    """
    workspace = http.match_info['workspace']
    if len(workspace) > MAX_WORKSPACE_LENGTH:
        raise InvalidInputError(f'longer than {MAX_WORKSPACE_LENGTH} characters', 'workspace')
    return WorkspaceId(workspace)


def deadline_of(http: web.Request) -> int:
    """Return the deadline of a read from the query string, in milliseconds.

    Raises:
        InvalidInputError: the value is not a number in the allowed range.
    """
    text = http.query.get('deadline_ms', str(DEFAULT_READ_DEADLINE_MS))
    if not text.isdecimal() or not 1 <= int(text) <= MAX_READ_DEADLINE_MS:
        raise InvalidInputError(f'allowed are 1 to {MAX_READ_DEADLINE_MS}', 'deadline_ms')
    return int(text)


def token_of(http: web.Request) -> ReadToken | None:
    """Return the token of the write that a read has to reflect, None if the caller sent none.

    Raises:
        InvalidInputError: the value is not a token.
    """
    return parse_token(http.query.get('token', ''))


def traceparent_of(http: web.Request) -> str:
    """Return the W3C trace context that the caller sent, empty if there is none."""
    return http.headers.get(TRACE_HEADER, '')


def reply_response(reply: ExecuteReply, trace_id: str) -> web.Response:
    """Return the JSON response to a request, submission or cancellation."""
    status = STATUS_CODES[reply.status]
    if reply.status in {ReplyStatus.invalid, ReplyStatus.not_run}:
        status = CODE_STATUS.get(reply.code, status)
    body = ReplyBody(
        status=reply.status,
        answer=reply.answer,
        code=reply.code,
        reason=reply.reason,
        path=reply.path,
        handle=reply.handle,
        token=format_token(reply.token),
        trace_id=trace_id,
    )
    return json_response(msgspec.json.encode(body), status)


def view_response(reply: QueryReply) -> web.Response:
    """Return the JSON response to a read."""
    if reply.code:
        status = CODE_STATUS.get(reply.code, HTTP_UNAVAILABLE)
        body = {'status': 'unavailable', 'code': reply.code, 'reason': reply.reason}
        return json_response(msgspec.json.encode(body), status)
    return json_response(reply.view.encode(), HTTP_OK)


def json_response(body: bytes, status: int) -> web.Response:
    """Return a JSON response."""
    return web.Response(body=body, status=status, content_type='application/json')


def error_response(error: MarigoldliftError) -> web.Response:
    """Return the JSON response for an error of the project."""
    status = CODE_STATUS.get(error.code, HTTP_BAD_REQUEST)
    overloaded = isinstance(error, OverloadedError)
    reply = ReplyBody(
        ReplyStatus.unknown if overloaded else ReplyStatus.invalid,
        code=error.code,
        reason=error.reason,
        path=error.path,
    )
    return json_response(msgspec.json.encode(reply), status)


class AdmissionLimit:
    """Middleware that limits the requests in progress and reserves some capacity for operators."""

    def __init__(self, limit: ConnectionLimit, operator_prefix: str) -> None:
        """Create the middleware; paths that start with `operator_prefix` are those of operators."""
        self.limit = limit
        self.operator_prefix = operator_prefix

    @web.middleware
    async def admit(self, http: web.Request, handler: HttpHandler) -> web.StreamResponse:
        """Handle a request if the limit allows it.

        Raises:
            OverloadedError: the limit is reached; the request was not processed.
        """
        with self.limit.admit(operator=http.path.startswith(self.operator_prefix)):
            return await handler(http)


@web.middleware
async def typed_errors(http: web.Request, handler: HttpHandler) -> web.StreamResponse:
    """Convert exceptions to JSON error responses, so that callers never receive a traceback."""
    try:
        return await handler(http)
    except MarigoldliftError as error:
        return error_response(error)
    except web.HTTPException as error:
        reply = ReplyBody(ReplyStatus.invalid, code=f'http_{error.status}', reason=error.reason)
        return json_response(msgspec.json.encode(reply), error.status)
    except Exception:
        logger.exception('caller request failed', path=http.path)
        reply = ReplyBody(ReplyStatus.unknown, code='internal', reason='fault of the scheduler')
        return json_response(msgspec.json.encode(reply), HTTP_SERVER_ERROR)
