"""When the log has answered this entry, and whether requests may have waited while it did not."""

from collections.abc import Callable

__all__ = ('LogContact',)

#: Time without an answer that counts as an outage of the store, in s; a read waits for 1 s at most.
OUTAGE_S = 1.8

#: Time without an answer after which the requests that an entry reads may be older than any caller waits, in s: they
#: were waiting in its sockets while it was paused.
AWAY_S = 30

#: How long after such a time requests count as old, in s; those that were waiting are read at once.
RETURN_S = 1.0


class LogContact:
    """Times of the answers to reads of one topic.

    Attributes:
        last_response_at: when the last answer of the store arrived, in seconds of the monotonic clock.
        resumed_at: when the first answer after the last failure or outage arrived.
        returned_at: when the first answer after the last time of at least `AWAY_S` without one arrived.
        interrupted: whether a read has failed since the last answer.
        known_end: offset after the last record that the log is known to hold.
        behind_since: since when it is known to hold records that are not applied, None if it is not.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start as if the log had just answered.

        Args:
            clock: monotonic time in seconds.
        """
        self.clock = clock
        self.last_response_at = clock()
        self.resumed_at = self.last_response_at
        self.returned_at = float('-inf')
        self.interrupted = False
        self.known_end = 0
        self.behind_since: float | None = None

    def note_end(self, end: int, offset: int) -> None:
        """Record the end of the log that an answer tells.

        Args:
            end: offset after the last record.
            offset: offset of the next record to apply.
        """
        self.known_end = max(self.known_end, end)
        self.note_offset(offset)

    def note_offset(self, offset: int) -> None:
        """Record up to which offset records are applied."""
        if offset >= self.known_end:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = self.clock()

    def note_answer(self) -> None:
        """Record an answer of the store, and whether it ends an outage."""
        now = self.clock()
        if now - self.last_response_at > AWAY_S:
            self.returned_at = now
        if self.interrupted or now - self.last_response_at > OUTAGE_S:
            self.resumed_at = now
            self.interrupted = False
        self.last_response_at = now

    def was_away(self) -> bool:
        """Return whether this entry was paused or without the log so long that requests may have waited as long."""
        now = self.clock()
        return now - self.last_response_at > AWAY_S or now - self.returned_at < RETURN_S
