"""One HTTP exchange with a service of the platform; errors say whether the request may have had an effect."""

import aiohttp
import msgspec
from yarl import URL

from marigoldlift.errors import InvalidInputError, PlatformError

__all__ = (
    'JSON',
    'MSGPACK',
    'AnswerTooLargeError',
    'HttpAnswer',
    'HttpCall',
    'NoAnswerError',
    'NotSentError',
    'Refusal',
    'base_url',
    'decode_refusal',
    'exchange',
    'open_session',
)

JSON = 'application/json'
MSGPACK = 'application/msgpack'

CONNECT_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 65_536

# In s; shorter than the usual keep-alive of servers (75 s). A POST on a connection that the server
# is closing has an unknown outcome, because it cannot be sent again.
KEEP_ALIVE_S = 10

HTTP_OK = 200
HTTP_REDIRECT = 300
HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500

NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


class NotSentError(PlatformError):
    """No connection was opened, so the request was not sent."""

    code = 'not_sent'


class NoAnswerError(PlatformError):
    """The request may have arrived, but no usable answer came back."""

    code = 'no_answer'


class AnswerTooLargeError(NoAnswerError):
    """The answer is larger than the limit of the call."""

    code = 'answer_too_large'


class HttpCall(msgspec.Struct, frozen=True):
    """One request.

    Attributes:
        timeout_s: limit for the whole exchange, in seconds.
        body_limit: largest answer that is accepted, in bytes.
        query: query parameters.
        body: body of a POST.
        content_type: type of `body`.
        headers: additional headers.
    """

    method: str
    url: URL
    timeout_s: float
    body_limit: int
    query: dict[str, str] = {}
    body: bytes | None = None
    content_type: str = JSON
    headers: dict[str, str] = {}


class HttpAnswer(msgspec.Struct, frozen=True):
    """Status and whole body of an answer."""

    status: int
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether the status is a 2xx."""
        return HTTP_OK <= self.status < HTTP_REDIRECT

    @property
    def client_error(self) -> bool:
        """Whether the status is a 4xx."""
        return HTTP_CLIENT_ERROR <= self.status < HTTP_SERVER_ERROR


class Refusal(msgspec.Struct):
    """JSON body with which a service refuses a request."""

    code: str
    reason: str


def open_session(host_connections: int) -> aiohttp.ClientSession:
    """Open the session that all adapters of a process share.

    The total number of connections is not limited, so that a long poll never delays a lease
    request; `host_connections` limits those to one host, such as a worker.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=host_connections,
        keepalive_timeout=KEEP_ALIVE_S,
    )
    return aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())


def base_url(address: str) -> URL:
    """Return the URL of a service at `host:port`.

    Raises:
        InvalidInputError: the address is not of this form.
    """
    try:
        return URL.build(scheme='http', authority=address) / 'v1'
    except ValueError as error:
        raise InvalidInputError(f'not an address: {address!r}', 'address') from error


def decode_refusal(answer: HttpAnswer) -> Refusal | None:
    """Return the refusal in the body, or None if the body has another form."""
    try:
        return msgspec.json.decode(answer.body, type=Refusal)
    except msgspec.MsgspecError:
        return None


async def exchange(session: aiohttp.ClientSession, call: HttpCall) -> HttpAnswer:
    """Send a request and read the whole answer.

    A POST is sent at most once: aiohttp repeats only idempotent methods on a stale connection,
    and redirects are not followed.

    Raises:
        NotSentError: no connection was opened, so the request had no effect.
        NoAnswerError: no usable answer; the request may have arrived.
        AnswerTooLargeError: the answer is larger than the call's limit.
    """
    if session.closed:
        raise NotSentError(f'{call.url}: session is closed')
    try:
        return await send(session, call)
    except NOT_SENT_ERRORS as unsent:
        raise NotSentError(f'{call.url}: {unsent!r}') from unsent
    except (aiohttp.ClientError, TimeoutError, OSError) as unanswered:
        raise NoAnswerError(f'{call.url}: {unanswered!r}') from unanswered


async def send(session: aiohttp.ClientSession, call: HttpCall) -> HttpAnswer:
    """Send a request and read the answer; errors of aiohttp are passed on."""
    request = session.request(
        call.method,
        call.url,
        params=call.query,
        data=call.body,
        headers={
            'Content-Type': call.content_type,
            'Accept-Encoding': 'identity',
            **call.headers,
        },
        timeout=aiohttp.ClientTimeout(total=call.timeout_s, connect=CONNECT_TIMEOUT_S),
        allow_redirects=False,
    )
    async with request as response:
        return HttpAnswer(response.status, await read_limited(response, call.body_limit))


async def read_limited(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Read the body, at most `limit` bytes.

    Raises:
        AnswerTooLargeError: the body is larger.
    """
    body = bytearray()
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        body.extend(chunk)
        if len(body) > limit:
            response.close()
            raise AnswerTooLargeError(f'{response.url}: answer exceeds {limit} bytes')
    return bytes(body)
