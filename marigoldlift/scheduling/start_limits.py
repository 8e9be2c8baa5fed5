"""Limits of the starts that are placed but not answered yet."""

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from marigoldlift.orders.session import WorkerSession

__all__ = ('StartLimits',)

#: Starts in flight above which no further task is placed, at most, at least, and before it is known how long a start takes. A start that
#: gets no answer within 0.4 s has an unknown outcome. Renewals of the leadership wait as long, and may wait for 0.7 s.
MAX_STARTS = 128
MIN_STARTS = 8
FIRST_STARTS = 32

#: Time that the starts in flight may take of the leader's processor, in s. One takes 1.5 ms on a small VM, and 12 ms with a tenth of it.
PROCESSOR_S = 0.2

#: Share of the known time of a start that is left after each measurement which finds it shorter.
FORGETTING = 0.9

#: Starts from which on a delay of the event loop is put down to them.
MEASURED_STARTS = 4

#: Starts in flight at one worker above which it gets no further task, since it may need some ms for each.
MAX_STARTS_AT_WORKER = 32

#: Time after which a start does not count any more, in s; one that waits for the store must not hold up all others.
COUNTED_S = 0.5


class StartLimits:
    """Counts the starts in flight and bounds them, in total and for each worker.

    Attributes:
        counts: number of starts in flight by session; sessions without any are left out.
        total: sum of these numbers.
        begun: starts that were counted since the last measurement.
        start_s: how long a start holds up the event loop, in s, by the longest recent delays.
    """

    def __init__(self, room_found: Callable[[], None]) -> None:
        """Begin without starts.

        Args:
            room_found: called when tasks can be placed again after a limit was reached.
        """
        self.room_found = room_found
        self.counts: Counter[WorkerSession] = Counter()
        self.total = 0
        self.begun = 0
        self.start_s = PROCESSOR_S / FIRST_STARTS

    @property
    def most(self) -> int:
        """Return the number of starts in flight above which no further task is placed."""
        start_s = max(self.start_s, PROCESSOR_S / MAX_STARTS)
        return max(MIN_STARTS, round(PROCESSOR_S / start_s))

    def note_delay(self, delay_s: float) -> None:
        """Measure how long a start holds up the event loop.

        Args:
            delay_s: how late the loop has woken a task, in s.
        """
        starts = max(self.total, self.begun)
        self.begun = 0
        if starts >= MEASURED_STARTS:
            found_s = max(delay_s / starts, self.start_s * FORGETTING)
            self.start_s = min(PROCESSOR_S / MIN_STARTS, max(PROCESSOR_S / MAX_STARTS, found_s))

    def begin(self, session: WorkerSession) -> contextlib.ExitStack:
        """Count a start until the returned context ends, at most for `COUNTED_S`."""
        self.total += 1
        self.begun += 1
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
        if was_limited and not self.is_reached():
            self.room_found()

    def is_reached(self) -> bool:
        """Return whether no further task may be placed on any worker."""
        return self.total >= self.most

    def until_reached(self, indexes: Iterable[int]) -> Iterator[int]:
        """Yield indexes of tasks until no further task may be placed on any worker."""
        return itertools.takewhile(lambda _: not self.is_reached(), indexes)

    def accepts(self, session: WorkerSession) -> bool:
        """Return whether further tasks may be placed on a worker."""
        return self.counts.get(session, 0) < MAX_STARTS_AT_WORKER

    def accepting(self, sessions: list[WorkerSession]) -> Iterator[WorkerSession]:
        """Yield the workers on which further tasks may be placed."""
        return filter(self.accepts, sessions)
