"""Ended runs that a worker lists: in pages, each until it is acknowledged."""

__all__ = ('EndList',)

#: Time after which a list that stays incomplete without a new end counts as stalled, in s.
STALL_S = 3.0

#: Ends in consecutive incomplete pages above which the list counts as stalled.
MAX_BACKLOG = 100_000


class EndList:
    """Ends that a worker has listed, and whether it holds more of them.

    The worker lists the next page once the ends of the page before are acknowledged, which needs the log. The outcome
    of what ran under earlier leaders is known only after the last page.

    Attributes:
        last_listed: highest number of a listed end.
        last_acknowledged: highest number up to which all ends are stored, so that the worker may forget them.
        unstored: numbers of the listed ends that are not stored yet.
        unhandled: numbers of the listed ends over which the observer has raised.
        is_read: whether a page was the last one, and each end up to it was handled, so that the outcome of each earlier
            run is known.
        incomplete: whether the newest page was not the last one, or an end is not handled before `is_read` is set.
        grew: whether the newest page held new ends.
        backlog: new ends in consecutive incomplete pages.
        stuck_since: when consecutive incomplete pages began to hold nothing new although all ends that were handled are
            stored, in seconds of the monotonic clock; None while there is progress.
    """

    def __init__(self) -> None:
        """Start without ends."""
        self.last_listed = 0
        self.last_acknowledged = 0
        self.unstored: set[int] = set()
        self.unhandled: set[int] = set()
        self.is_read = False
        self.incomplete = False
        self.grew = False
        self.backlog = 0
        self.stuck_since: float | None = None

    def is_new(self, number: int) -> bool:
        """Return whether an end was not listed before, or not handled."""
        return number > self.last_listed or number in self.unhandled

    def note(self, number: int) -> None:
        """Record a listed end that is not stored yet."""
        self.last_listed = max(self.last_listed, number)
        self.unstored.add(number)

    def note_page(self, new_ends: int, now: float, *, more: bool) -> None:
        """Record a page whose ends have been noted.

        Args:
            new_ends: number of ends that no page before has held.
            now: time of the monotonic clock in seconds.
            more: whether it is not the last page.
        """
        self.incomplete = more or (bool(self.unhandled) and not self.is_read)
        self.grew = bool(new_ends)
        if not self.incomplete:
            self.finish()
            return
        self.backlog += new_ends
        if self.grew or self.unstored - self.unhandled:
            self.stuck_since = None
        elif self.stuck_since is None:
            self.stuck_since = now

    def finish(self) -> None:
        """Record that no end of an earlier run is left to read."""
        self.is_read = True
        self.backlog = 0
        self.stuck_since = None

    def is_stalled(self, now: float) -> bool:
        """Return whether the worker cannot be expected to list its last page."""
        if self.backlog > MAX_BACKLOG:
            return True
        return self.stuck_since is not None and now - self.stuck_since > STALL_S

    def give_up(self) -> None:
        """Give up the ends that the worker does not list, and acknowledge those that could not be handled.

        This is safe once the worker's lease has lapsed: ends that are not acknowledged by then no longer count.
        """
        self.unstored -= self.unhandled
        self.unhandled.clear()
        self.acknowledge()
        self.finish()

    def store_confirmed(self, number: int) -> None:
        """Record that an end is stored."""
        self.unstored.discard(number)
        self.acknowledge()

    def acknowledge(self) -> None:
        """Acknowledge all listed ends before the first one that is not stored."""
        self.last_acknowledged = min(self.unstored) - 1 if self.unstored else self.last_listed
