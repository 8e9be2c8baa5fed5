"""Limit on the requests that the HTTP server handles concurrently."""

from collections.abc import Iterator
from contextlib import contextmanager

from marigoldlift.errors import OverloadedError

__all__ = ('DEFAULT_LIMIT', 'OPERATOR_RESERVE', 'ConnectionLimit')

#: Maximum number of concurrent requests; each holds a socket and its buffers.
DEFAULT_LIMIT = 4096

#: Concurrent requests reserved for operators, so that they are still served during an overload.
OPERATOR_RESERVE = 16


class ConnectionLimit:
    """Limits the number of requests in progress.

    Attributes:
        active: number of requests in progress.
        refused: number of requests refused so far.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT, reserve: int = OPERATOR_RESERVE) -> None:
        """Start with no requests in progress.

        Args:
            limit: maximum number of concurrent requests, of callers and operators together.
            reserve: how many of these are reserved for operators.
        """
        self.limit = limit
        self.reserve = reserve
        self.active = 0
        self.refused = 0

    @contextmanager
    def admit(self, *, operator: bool = False) -> Iterator[None]:
        """Count a request as in progress while the block runs.

        Raises:
            OverloadedError: the limit is reached; the block does not run.
        """
        allowed = self.limit if operator else self.limit - self.reserve
        if self.active >= allowed:
            self.refused += 1
            raise OverloadedError(f'{self.active} requests are in progress')
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
