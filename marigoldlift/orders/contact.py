"""What the status polls of a session have shown of whether its worker can be reached."""

__all__ = ('Contact',)


class Contact:
    """Results of the status polls of one incarnation of a worker.

    Attributes:
        opened_at: when the session was opened, or earlier if orders with a lease had ended before for the incarnation before
            this one; like all times in seconds of the monotonic clock.
        answered_sent_at: when the newest poll was sent that this incarnation has answered.
        poll_failed: whether the last poll got no answer.
        is_displaced: whether the last poll found no listener, or another instance, at the worker's address, or a start has
            found one since.
        claimed_at: since when an entry of a later incarnation is checked, so that no order with a lease is sent; None if
            none is, or this incarnation has answered since.
    """

    __slots__ = ('answered_sent_at', 'claimed_at', 'is_displaced', 'opened_at', 'poll_failed')

    def __init__(self, opened_at: float) -> None:
        """Begin without polls."""
        self.opened_at = opened_at
        self.answered_sent_at = float('-inf')
        self.poll_failed = False
        self.is_displaced = False
        self.claimed_at: float | None = None

    def note_answered(self, sent_at: float) -> None:
        """Record that this incarnation has answered a poll that was sent at a time."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)
        self.is_displaced = False
        if self.claimed_at is not None and sent_at > self.claimed_at:
            self.claimed_at = None

    def note_claim(self, now: float) -> None:
        """Record that an entry of a later incarnation is checked from now on, unless another one already is."""
        if self.claimed_at is None:
            self.claimed_at = now

    def note_failed(self, *, may_have_arrived: bool) -> None:
        """Record that a poll got no answer; one that cannot have arrived found no listener."""
        self.poll_failed = True
        self.is_displaced = not may_have_arrived
