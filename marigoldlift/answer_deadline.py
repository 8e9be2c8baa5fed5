"""Deadline for the answer to a call."""

import asyncio
from types import TracebackType

__all__ = ('AnswerDeadline',)


class AnswerDeadline:
    """Context that raises `TimeoutError` if its body has not ended in time.

    The error tells how late this process has noticed the deadline: a late one may have been missed by this process, whose
    event loop was held up, and not by the other side.

    Attributes:
        due_at: the deadline, in seconds of the event loop's clock.
    """

    def __init__(self, wait_s: float) -> None:
        """Begin nothing yet; `wait_s` is the longest wait, in s."""
        self.loop = asyncio.get_running_loop()
        self.wait_s = wait_s
        self.due_at = self.loop.time() + wait_s
        self.limit = asyncio.timeout_at(self.due_at)

    async def __aenter__(self) -> None:
        """Start to wait."""
        await self.limit.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        fault: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """End the wait.

        Raises:
            TimeoutError: the deadline has passed.
        """
        try:
            return await self.limit.__aexit__(kind, fault, trace)
        except TimeoutError as passed:
            late_s = self.loop.time() - self.due_at
            raise TimeoutError(f'wait_s={self.wait_s:.3f} noticed_late_s={late_s:.3f}') from passed
