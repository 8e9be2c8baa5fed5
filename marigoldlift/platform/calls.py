"""HTTP client that is shared by the adapters of all services of the platform."""

from collections.abc import Callable, Mapping
from types import SimpleNamespace

import aiohttp
import msgspec

from marigoldlift.answer_deadline import AnswerDeadline, always

__all__ = ('CallUnansweredError', 'CallWithdrawnError', 'HttpClient', 'Reply', 'Transfer')

#: How long an idle connection is kept open, in s; the platform charges for each new connection to a worker.
KEEP_ALIVE_S = 30

JSON_TYPE = 'application/json'

#: Largest body of an answer, in bytes.
MAX_BODY_BYTES = 16_777_216

#: Errors of a call. `ValueError` and `OverflowError` come from addresses, ports and headers that no request can have.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError, OverflowError)


class CallUnansweredError(Exception):
    """A request got no answer.

    Attributes:
        was_sent: False only if the request certainly never left this VM.
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        """Keep the reason and whether the request may have been sent."""
        super().__init__(reason)
        self.was_sent = was_sent


class CallWithdrawnError(Exception):
    """A request was not sent, because its caller did not want it any more once it could have left."""


class Reply(msgspec.Struct, frozen=True):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class Transfer:
    """Progress of the answer to one call.

    Attributes:
        received_bytes: size of what has arrived of the body, in bytes.
        on_part: called as each part of the body is read.
    """

    def __init__(self, on_part: Callable[[], None] | None = None) -> None:
        """Start without a part."""
        self.received_bytes = 0
        self.on_part = on_part

    def note_part(self, size: int) -> None:
        """Count a part of the body."""
        self.received_bytes += size
        if self.on_part is not None:
            self.on_part()


class HttpClient:
    """Sends requests over persistent connections.

    A connection whose answer is late is closed, because it may never deliver anything again.
    """

    def __init__(self) -> None:
        """Open the session; connections are opened on demand and their number is not limited."""
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=KEEP_ALIVE_S)
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[sending_trace()],
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def post(
        self,
        url: str,
        body: bytes,
        wait_s: float,
        headers: Mapping[str, str] | None = None,
        may_send: Callable[[], bool] = always,
    ) -> Reply:
        """Send a `POST` with a JSON body and wait for the whole answer.

        Args:
            url: URL of the request.
            body: its body.
            wait_s: longest wait for the whole answer, in s.
            headers: headers in addition to the type of the body.
            may_send: asked just before the first byte is sent.

        Raises:
            CallUnansweredError: no complete answer came in time.
            CallWithdrawnError: `may_send` has returned False, and nothing was sent.
        """
        content = {'Content-Type': JSON_TYPE, **(headers or {})}
        return await self.call('POST', url, body, content, wait_s, may_send=may_send)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        wait_s: float,
        idle_timeout_s: float | None = None,
        may_send: Callable[[], bool] = always,
        transfer: Transfer | None = None,
    ) -> Reply:
        """Send a request and wait for the whole answer.

        Args:
            method: `GET` or `POST`.
            url: URL of the request.
            body: body of a `POST`; ignored for a `GET`.
            headers: headers in addition to those that the session sets.
            wait_s: longest wait for the whole answer, in s.
            idle_timeout_s: longest wait for the connection and each next part of the answer, in s; None for no limit.
            may_send: asked just before the first byte is sent.
            transfer: counts the parts of the answer as they arrive.

        Raises:
            CallUnansweredError: no complete answer came in time.
            CallWithdrawnError: `may_send` has returned False, and nothing was sent.
        """
        content = body if method == 'POST' else None
        limits = aiohttp.ClientTimeout(
            total=None, sock_connect=idle_timeout_s, sock_read=idle_timeout_s
        )
        deadline = AnswerDeadline(wait_s, is_sent=False, may_send=may_send)
        try:
            async with deadline:
                async with self.session.request(
                    method,
                    url,
                    data=content,
                    headers=headers,
                    timeout=limits,
                    allow_redirects=False,
                    trace_request_ctx=deadline,
                ) as answer:
                    return Reply(answer.status, await read_body(answer, transfer or Transfer()))
        except aiohttp.ClientConnectorError as refused:
            raise CallUnansweredError(str(refused), was_sent=False) from refused
        except CALL_ERRORS as fault:
            if deadline.is_withdrawn:
                raise CallWithdrawnError(url) from fault
            raise CallUnansweredError(f'{type(fault).__name__} {fault}', was_sent=True) from fault


def sending_trace() -> aiohttp.TraceConfig:
    """Return a trace that tells the deadline of a request just before the first byte of it is written."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(note_headers)
    trace.on_request_chunk_sent.append(note_sent)
    return trace


async def note_headers(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    request: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Record that a request without a body is sent now; the headers of others leave with the body, in a later turn."""
    if request.method != 'POST':
        await note_sent(session, context, request)


async def note_sent(
    session: aiohttp.ClientSession, context: SimpleNamespace, request: object
) -> None:
    """Record that a request is sent now.

    Raises:
        TimeoutError: its deadline has passed.
    """
    context.trace_request_ctx.note_sent()


async def read_body(answer: aiohttp.ClientResponse, transfer: Transfer) -> bytes:
    """Return the body of an answer, and count its parts as they arrive.

    Raises:
        aiohttp.ClientPayloadError: it is larger than `MAX_BODY_BYTES`.
    """
    body = bytearray()
    async for part in answer.content.iter_any():
        transfer.note_part(len(part))
        body.extend(part)
        if len(body) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f'body exceeds {MAX_BODY_BYTES} bytes')
    return bytes(body)
