"""Reading of requests with limits on size and time, and conversion of errors to JSON replies."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import TypeVar

import msgspec
from aiohttp import web
from loguru import logger

from marigoldlift import errors
from marigoldlift.configuration.decoding import decode_json
from marigoldlift.operators.messages import ErrorReply

__all__ = ('BODY_TIMEOUT_S', 'json_response', 'read_json', 'read_query', 'reply_to_errors')

#: Time limit for receiving the body of a request, so that a slow sender does not hold a connection forever.
BODY_TIMEOUT_S = 10

OK = 200
BAD_REQUEST = 400
BAD_GATEWAY = 502
UNAVAILABLE = 503
INTERNAL = 500

#: HTTP statuses by error class; the first class that matches the error applies.
STATUS_OF_ERROR: tuple[tuple[type[errors.MarigoldliftError], int], ...] = (
    (errors.AppendOutcomeUnknownError, BAD_GATEWAY),
    (errors.InvalidInputError, BAD_REQUEST),
    (errors.NotFoundError, 404),
    (errors.ConflictError, 409),
    (errors.OverloadedError, 429),
    (errors.PlatformError, UNAVAILABLE),
)

#: Error codes of the HTTP statuses that the HTTP library or `read_json` raises.
CODE_OF_STATUS: Mapping[int, str] = MappingProxyType(
    {
        404: 'not_found',
        405: 'method_not_allowed',
        408: 'body_timeout',
        413: 'body_too_large',
    }
)

MessageT = TypeVar('MessageT', bound=msgspec.Struct)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(message: msgspec.Struct, status: int = OK) -> web.Response:
    """Return a response with the message as JSON."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type='application/json',
    )


async def read_json(request: web.Request, expected: type[MessageT], limit: int) -> MessageT:
    """Read and decode the body of a request, with limits on its size and on the time.

    Raises:
        InvalidInputError: the body is not a message of the expected type.
        web.HTTPRequestEntityTooLarge: the body is longer than `limit` bytes.
        web.HTTPRequestTimeout: the body did not arrive within `BODY_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await read_body(request, limit)
    except TimeoutError:
        raise web.HTTPRequestTimeout(reason=f'no body within {BODY_TIMEOUT_S} s') from None
    return decode_json(body, expected)


async def read_body(request: web.Request, limit: int) -> bytes:
    """Read the body, and stop once it is longer than `limit` bytes.

    Raises:
        web.HTTPRequestEntityTooLarge: the body is longer than `limit` bytes.
    """
    body = bytearray()
    async for chunk in request.content.iter_any():
        body.extend(chunk)
        if len(body) > limit:
            raise web.HTTPRequestEntityTooLarge(limit, len(body))
    return bytes(body)


def read_query(request: web.Request, *allowed: str) -> dict[str, str]:
    """Return the query parameters, each of which may be given only once.

    Raises:
        InvalidInputError: a parameter is unknown or given more than once.
    """
    for name in request.query:
        if name not in allowed:
            raise errors.InvalidInputError(f'unknown; known are {allowed}', f'query.{name}')
        if len(request.query.getall(name)) > 1:
            raise errors.InvalidInputError('is given twice', f'query.{name}')
    return dict(request.query)


@web.middleware
async def reply_to_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert every exception of a handler to an error reply."""
    try:
        return await handler(request)
    except web.HTTPException as http_error:
        return reply_to_http_error(http_error)
    except errors.MarigoldliftError as fault:
        return json_response(
            ErrorReply(fault.code, fault.reason, fault.path),
            status_of(fault),
        )
    except Exception:
        logger.opt(exception=True).error('operator request failed: {}', request.path)
        return json_response(ErrorReply('internal', 'internal error, see the log'), INTERNAL)


def reply_to_http_error(fault: web.HTTPException) -> web.Response:
    """Return the error reply for an exception raised by the HTTP library or `read_json`."""
    code = CODE_OF_STATUS.get(fault.status, 'http')
    return json_response(ErrorReply(code, fault.reason), fault.status)


def status_of(fault: errors.MarigoldliftError) -> int:
    """Return the HTTP status of an error."""
    if isinstance(fault, errors.PeerUnavailableError):
        return BAD_GATEWAY if fault.may_have_run else UNAVAILABLE
    matching = (status for error_type, status in STATUS_OF_ERROR if isinstance(fault, error_type))
    return next(matching, INTERNAL)
