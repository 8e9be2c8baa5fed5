"""The one HTTP client for all services of the platform."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

__all__ = ('CallUnansweredError', 'HttpClient', 'Reply')

#: How long an unused connection is kept, in s; opening one to a worker is priced.
KEEP_ALIVE_S = 30

JSON_TYPE = 'application/json'


class CallUnansweredError(Exception):
    """A call without an answer.

    Attributes:
        was_sent: false only when the call surely never left this VM.
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.was_sent = was_sent


class Reply(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Makes calls over kept connections; one whose answer is late is closed, since nothing more may come there."""

    def __init__(self) -> None:
        """Start without connections."""
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=KEEP_ALIVE_S)
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
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
    ) -> Reply:
        """Make a call with a body."""
        return await self.call(
            'POST', url, body, {'Content-Type': JSON_TYPE, **(headers or {})}, wait_s
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        wait_s: float,
        idle_timeout_s: float | None = None,
    ) -> Reply:
        """Make a call and wait for its whole answer.

        Args:
            method: `GET` or `POST`.
            url: where the call goes.
            body: what a `POST` carries.
            headers: headers beside the usual ones.
            wait_s: longest wait for the whole answer.
            idle_timeout_s: longest wait for the connection and for each next part of the answer; None for no such limit.

        Raises:
            CallUnansweredError: no whole answer came in time.
        """
        content = body if method == 'POST' else None
        limits = aiohttp.ClientTimeout(
            total=None, sock_connect=idle_timeout_s, sock_read=idle_timeout_s
        )
        try:
            async with asyncio.timeout(wait_s):
                async with self.session.request(
                    method, url, data=content, headers=headers, timeout=limits
                ) as answer:
                    return Reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError as refused:
            raise CallUnansweredError(str(refused), was_sent=False) from refused
        except (aiohttp.ClientError, TimeoutError, OSError) as fault:
            raise CallUnansweredError(f'{type(fault).__name__} {fault}', was_sent=True) from fault
