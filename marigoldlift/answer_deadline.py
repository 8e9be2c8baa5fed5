"""Deadline for the answer to a call, which allows for answers that this process itself reads late."""

import asyncio
from collections.abc import Callable
from types import TracebackType

__all__ = ('AnswerDeadline',)

#: Turns of the event loop that may begin after the deadline before the wait ends. The first reads what has arrived by then, and
#: an answer passes through some more until its caller has it; while the loop is idle, all of them together take well under 1 ms.
READ_TURNS = 8


def always() -> bool:
    """Return that a request may be sent."""
    return True


class AnswerDeadline:
    """Context that raises `TimeoutError` if its body has not ended in time.

    A process whose event loop was held up finds the deadline passed in the same turn in which it reads the answer, however
    early that arrived. So the body is cancelled only after the loop has read and handled what was there at the deadline, unless the
    request has not been sent by then, so that it must not be sent any more.

    Attributes:
        due_at: the deadline, in seconds of the event loop's clock.
        is_sent: whether an answer may have arrived.
        may_send: returns whether the request may still be sent.
        is_withdrawn: whether the request was not sent because of that.
    """

    def __init__(
        self, wait_s: float, *, is_sent: bool = True, may_send: Callable[[], bool] = always
    ) -> None:
        """Begin nothing yet; `wait_s` is the longest wait, in s."""
        self.may_send = may_send
        self.is_withdrawn = False
        self.loop = asyncio.get_running_loop()
        self.wait_s = wait_s
        self.due_at = self.loop.time() + wait_s
        self.is_sent = is_sent
        self.limit = asyncio.timeout(None)
        self.next_turn: asyncio.Handle | None = None

    async def __aenter__(self) -> None:
        """Start to wait."""
        await self.limit.__aenter__()
        self.next_turn = self.loop.call_at(self.due_at, self.read_on, READ_TURNS)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        fault: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the wait.

        Raises:
            TimeoutError: the deadline has passed; the error tells how late this process has noticed it.
        """
        if self.next_turn is not None:
            self.next_turn.cancel()
        try:
            await self.limit.__aexit__(kind, fault, trace)
        except TimeoutError as passed:
            late_s = self.loop.time() - self.due_at
            raise TimeoutError(f'wait_s={self.wait_s:.3f} noticed_late_s={late_s:.3f}') from passed

    def note_sent(self) -> None:
        """Record that the request is sent now.

        Raises:
            TimeoutError: the deadline has passed, or the request was withdrawn, so that it must not be sent any more.
        """
        if not self.is_sent:
            if self.loop.time() >= self.due_at:
                raise TimeoutError('not sent by the deadline')
            self.is_withdrawn = not self.may_send()
            if self.is_withdrawn:
                raise TimeoutError('withdrawn before it was sent')
        self.is_sent = True

    def read_on(self, turns: int) -> None:
        """Let the event loop read for a number of further turns, then end the wait."""
        if turns and self.is_sent:
            self.next_turn = self.loop.call_soon(self.read_on, turns - 1)
        else:
            self.limit.reschedule(self.loop.time())
