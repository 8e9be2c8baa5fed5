"""Time-out of a call that allows for an event loop that was held up."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ('call_timeout',)

#: Delay of the event loop from which it counts as held up, and longest time that is added then, in s.
LATE_S = 0.05
MAX_GRACE_S = 0.25


@contextlib.asynccontextmanager
async def call_timeout(wait_s: float) -> AsyncIterator[None]:
    """Limit the duration of a call.

    If the event loop was held up until after the limit, as in a process that was paused, the answer may lie in the socket and
    not have been read. So the call gets as long again as the limit is late, at most `MAX_GRACE_S`.

    Args:
        wait_s: longest wait for the answer, in s.

    Raises:
        TimeoutError: the block did not end in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    async with asyncio.timeout(None) as limit:
        timer = loop.call_at(deadline, expire, limit, deadline)
        try:
            yield
        finally:
            timer.cancel()


def expire(limit: asyncio.Timeout, deadline: float) -> None:
    """End a call, at once unless the event loop was held up.

    Args:
        limit: time-out of the call.
        deadline: time of the event loop's clock at which the call was to end, in s.
    """
    now = asyncio.get_running_loop().time()
    late_s = now - deadline
    limit.reschedule(now + min(late_s, MAX_GRACE_S) if late_s >= LATE_S else now)
