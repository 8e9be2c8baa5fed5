"""Limits of the starts that are placed but not answered yet."""

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from marigoldlift.orders.session import WorkerSession

__all__ = ('StartLimits',)

#: Starts in flight above which no further task is placed. Each takes up to 1.5 ms of a small VM's processor, and a start that
#: gets no answer within 0.4 s has an unknown outcome. Renewals of the leadership wait as long, and may wait for 0.7 s.
MAX_STARTS = 128

#: Starts in flight at one worker above which it gets no further task, since it may need some ms for each.
MAX_STARTS_AT_WORKER = 32

#: Time after which a start does not count any more, in s; one that waits for the store must not hold up all others.
COUNTED_S = 0.5


class StartLimits:
    """Counts the starts in flight and bounds them, in total and for each worker.

    Attributes:
        counts: number of starts in flight by session; sessions without any are left out.
        total: sum of these numbers.
    """

    def __init__(self, room_found: Callable[[], None]) -> None:
        """Begin without starts.

        Args:
            room_found: called when tasks can be placed again after a limit was reached.
        """
        self.room_found = room_found
        self.counts: Counter[WorkerSession] = Counter()
        self.total = 0

    def begin(self, session: WorkerSession) -> contextlib.ExitStack:
        """Count a start until the returned context ends, at most for `COUNTED_S`."""
        self.total += 1
        self.counts[session] += 1
        counted = contextlib.ExitStack()
        counted.callback(self.end, session)
        timer = asyncio.get_running_loop().call_later(COUNTED_S, counted.close)
        counted.callback(timer.cancel)
        return counted

    def end(self, session: WorkerSession) -> None:
        """Subtract a start."""
        was_limited = self.is_reached() or not self.accepts(session)
        self.total -= 1
        self.counts[session] -= 1
        if not self.counts[session]:
            self.counts.pop(session)
        if was_limited:
            self.room_found()

    def is_reached(self) -> bool:
        """Return whether no further task may be placed on any worker."""
        return self.total >= MAX_STARTS

    def until_reached(self, indexes: Iterable[int]) -> Iterator[int]:
        """Yield indexes of tasks until no further task may be placed on any worker."""
        return itertools.takewhile(lambda _: not self.is_reached(), indexes)

    def accepts(self, session: WorkerSession) -> bool:
        """Return whether further tasks may be placed on a worker."""
        return self.counts.get(session, 0) < MAX_STARTS_AT_WORKER

    def accepting(self, sessions: list[WorkerSession]) -> Iterator[WorkerSession]:
        """Yield the workers on which further tasks may be placed."""
        return filter(self.accepts, sessions)
