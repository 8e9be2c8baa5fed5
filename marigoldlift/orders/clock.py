"""Estimate of a worker's clock, used to compute when its lease expires."""

__all__ = ('WorkerClock',)

MS_PER_S = 1000

#: Lowest rate of a worker's clock relative to this one; the platform's pages allow it to be 2% slow.
MIN_CLOCK_RATE = 0.98

#: Added to a deadline before it counts as passed, in ms; timers of workers fire late.
MARGIN_MS = 150

#: Share of a lease that must remain for a start to carry it again; status polls renew it every 0.7 s.
REUSED_SHARE = 0.5


class WorkerClock:
    """Estimate of a worker's clock, and the latest lease deadline sent to it.

    Attributes:
        read_ms: newest reading of the worker's clock, None before the first.
        read_at: when it arrived, in seconds of the monotonic clock.
        lease_ms: latest deadline sent, in ms of the worker's clock, whether or not the order was answered.
    """

    __slots__ = ('lease_ms', 'read_at', 'read_ms')

    def __init__(self) -> None:
        """Create an estimate without a reading."""
        self.read_ms: float | None = None
        self.read_at: float = 0
        self.lease_ms: int = 0

    def note(self, clock_ms: float, now: float) -> None:
        """Store a reading unless it is behind the current estimate, since answers may arrive out of order."""
        if self.read_ms is None or clock_ms >= self.estimate(now, MIN_CLOCK_RATE):
            self.read_ms = clock_ms
            self.read_at = now

    def estimate(self, now: float, rate: float = 1) -> float:
        """Return the worker's clock in ms, for a clock of the given rate."""
        return (self.read_ms or 0) + (now - self.read_at) * MS_PER_S * rate

    def grant(self, now: float, lease_s: float) -> int | None:
        """Return the deadline of a new lease in ms of the worker's clock, None before the first reading."""
        if self.read_ms is None:
            return None
        deadline = int(self.estimate(now) + lease_s * MS_PER_S)
        self.lease_ms = max(self.lease_ms, deadline)
        return deadline

    def start_lease(self, now: float, lease_s: float) -> int | None:
        """Return the lease deadline that a start carries, in ms of the worker's clock.

        The last deadline is reused while enough of it remains, so that starts do not extend the lease of a lost worker.
        """
        left_s = (self.lease_ms - self.estimate(now)) / MS_PER_S
        return self.lease_ms if left_s > lease_s * REUSED_SHARE else self.grant(now, lease_s)

    def may_hold_lease(self, now: float) -> bool:
        """Return whether a lease was sent that may not have expired yet."""
        return self.lease_ms > 0 and not self.has_lapsed(now)

    def has_lapsed(self, now: float) -> bool:
        """Return whether every lease ever sent has certainly expired on the worker's clock."""
        return (
            self.read_ms is not None
            and self.estimate(now, MIN_CLOCK_RATE) > self.lease_ms + MARGIN_MS
        )
