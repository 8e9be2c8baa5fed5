"""Reads of the log on demand; callers that wait at the same time share one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ('SharedRead',)


class SharedRead:
    """Reads for all callers that wait, since each read of an entry that is behind transfers the same records.

    Attributes:
        read: begins a read.
        patience_s: returns after which time a read without an answer is no longer waited for by the next one, in s, or None
            if it is waited for until it ends.
        under_way: read that has begun last.
        following: begins the next read, for callers that came while one was under way.
    """

    def __init__(
        self,
        read: Callable[[], Coroutine[Any, Any, int]],
        patience_s: Callable[[], float | None],
    ) -> None:
        """Begin nothing."""
        self.read = read
        self.patience_s = patience_s
        self.under_way: asyncio.Task[int] | None = None
        self.following: asyncio.Task[int] | None = None

    def join(self) -> asyncio.Task[int]:
        """Return the read under way; begin one if there is none."""
        if self.under_way is None or self.under_way.done():
            return self.begin()
        return self.under_way

    def is_reading(self) -> bool:
        """Return whether a read is under way."""
        return self.under_way is not None and not self.under_way.done()

    async def read_after_now(self) -> int:
        """Wait for a read that begins after this call.

        Returns:
            The end of the log that the read has told.

        Raises:
            LogUnavailableError: the log did not answer.
            RetentionPassedError: the next records are no longer kept.
        """
        if self.under_way is None or self.under_way.done():
            return await asyncio.shield(self.begin())
        if self.following is None:
            self.following = asyncio.create_task(self.follow(self.under_way))
            self.following.add_done_callback(note_retrieved)
        return await asyncio.shield(self.following)

    def begin(self) -> asyncio.Task[int]:
        """Begin a read."""
        self.under_way = asyncio.create_task(self.read())
        self.under_way.add_done_callback(note_retrieved)
        return self.under_way

    async def follow(self, earlier: asyncio.Task[int]) -> int:
        """Read once an earlier read has ended, or has been waited for long enough."""
        await asyncio.wait((earlier,), timeout=self.patience_s())
        self.following = None
        return await self.begin()


def note_retrieved(task: asyncio.Task[Any]) -> None:
    """Retrieve the exception of a read whose callers have all left, which the event loop would report."""
    if not task.cancelled():
        task.exception()
