"""Which ended runs a status poll lets its worker forget.

A restarted worker numbers its ends anew, and may execute starts and polls that were sent to it before, up to 12 s late. If
it executes such a start, ends the run, and then executes a poll that acknowledges this end, nothing is left that tells the
leader of the run. So no poll that is not answered yet acknowledges ends under the token of such a start or a higher one:

* a poll acknowledges nothing while a start is under way, or may be executed late, except for full pages of ends,
* a start has a higher token than the unanswered polls that were sent before it.
"""

import contextlib
from collections.abc import Iterator

from marigoldlift.orders.ends import EndList
from marigoldlift.orders.runs import RunTable

__all__ = ('Acknowledgements',)


class Acknowledgements:
    """Selects the acknowledgement of each status poll to one worker.

    Attributes:
        forgotten: highest number of an end that an answered poll has acknowledged; no poll repeats it, since a later
            incarnation may execute the poll late.
        confirmed_at: when the newest poll that was answered was sent, in seconds of the monotonic clock.
        starting: number of starts under way.
        unanswered: tokens of the polls that acknowledge ends and have not been answered.
        refused: newest token that the worker has refused, since it has seen a higher one; None while there is none.
    """

    def __init__(self, run_table: RunTable, ends: EndList) -> None:
        """Begin without acknowledgements.

        Args:
            run_table: runs on the worker.
            ends: ended runs that the worker has listed.
        """
        self.run_table = run_table
        self.ends = ends
        self.forgotten = 0
        self.confirmed_at: float = 0
        self.starting = 0
        self.unanswered: list[int] = []
        self.refused: int | None = None

    def next_number(self, *, is_suspected: bool) -> int:
        """Return the number of the last end that the next poll lets the worker forget, 0 for none.

        Args:
            is_suspected: whether the worker may have restarted; it must not forget ends before it has told that.
        """
        acknowledged = self.ends.last_acknowledged
        if is_suspected or acknowledged <= self.forgotten or self.are_held_back():
            return 0
        return acknowledged

    def are_held_back(self) -> bool:
        """Return whether the worker may execute a start of which no answer has arrived.

        While it lists full pages, the run of a late start may have ended on the next one, which it lists only once the ends
        before are acknowledged.
        """
        if self.starting:
            return True
        return not self.ends.incomplete and self.run_table.has_late_start(self.confirmed_at)

    def keep_ends_listed(self) -> bool:
        """Return whether the worker lists ends that are stored but held back, so that it answers each poll at once."""
        return self.ends.last_acknowledged > self.forgotten and self.are_held_back()

    @contextlib.contextmanager
    def start_under_way(self) -> Iterator[None]:
        """Count a start until the context ends."""
        self.starting += 1
        try:
            yield
        finally:
            self.starting -= 1

    def note_sent(self, token: int) -> None:
        """Record that a poll with an acknowledgement is sent; those under lower tokens cannot act after later starts."""
        self.unanswered = [earlier for earlier in self.unanswered if earlier >= token]
        self.unanswered.append(token)

    def note_answered(self, token: int, number: int, sent_at: float) -> None:
        """Record that the incarnation to which a poll was sent has answered it.

        Args:
            token: token of the poll.
            number: number of the last end that it acknowledges, 0 for none.
            sent_at: when it was sent, in seconds of the monotonic clock.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if number:
            self.forgotten = max(self.forgotten, number)
            if token in self.unanswered:
                self.unanswered.remove(token)

    def note_refused(self, token: int) -> None:
        """Record that the worker has refused a token."""
        self.refused = token

    def is_refused(self, token: int) -> bool:
        """Return whether the worker has refused a token, so that it answers nothing else under it."""
        return self.refused == token

    def is_unanswered(self, token: int) -> bool:
        """Return whether a poll with an acknowledgement under a token, or a higher one, has not been answered."""
        return max(self.unanswered, default=-1) >= token
