"""Responses to callers."""

import math
from http import HTTPStatus

import msgspec
from aiohttp import web

__all__ = ('error_reply', 'refused_reply', 'reply')

#: Pause before a retry that a 503 asks for, in ms and in whole s.
RETRY_AFTER_MS = 500
RETRY_AFTER_S = '1'

MS_PER_S = 1000


def reply(status: HTTPStatus, fields: dict[str, object] | None = None) -> web.Response:
    """Build a JSON response; a 503 carries the pause before a retry instead of the given fields."""
    headers = {}
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers['Retry-After'] = RETRY_AFTER_S
        fields = {'retry_after_ms': RETRY_AFTER_MS}
    elif status is HTTPStatus.UNAUTHORIZED:
        headers['WWW-Authenticate'] = 'Bearer'
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
