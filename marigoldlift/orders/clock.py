"""What is known of a worker's clock, and so of the end of its lease."""

__all__ = ('WorkerClock',)

MS_PER_S = 1000

#: Share by which a worker's clock may be slow; the platform's pages give 2%.
MIN_CLOCK_RATE = 0.98

#: Added to a deadline before it counts as passed, in ms; timers of workers fire late.
MARGIN_MS = 150

#: Share of a lease that has to be left for a start to carry it again; looks renew it each 0.7 s.
REUSED_SHARE = 0.5


class WorkerClock:
    """Estimate of a worker's clock, and the latest lease that any order may have given it.

    Attributes:
        read_ms: newest reading of the worker's clock, None before the first.
        read_at: when it arrived, in seconds of the steady clock.
        lease_ms: latest deadline sent, on the worker's clock, answered or not.
    """

    __slots__ = ('lease_ms', 'read_at', 'read_ms')

    def __init__(self) -> None:
        """Start without a reading."""
        self.read_ms: float | None = None
        self.read_at: float = 0
        self.lease_ms: int = 0

    def note(self, clock_ms: float, now: float) -> None:
        """Take in a reading; answers may overtake each other, so the latest estimate wins."""
        if self.read_ms is None or clock_ms >= self.estimate(now, MIN_CLOCK_RATE):
            self.read_ms = clock_ms
            self.read_at = now

    def estimate(self, now: float, rate: float = 1) -> float:
        """Return the worker's clock in ms, for a clock of the given rate."""
        return (self.read_ms or 0) + (now - self.read_at) * MS_PER_S * rate

    def grant(self, now: float, lease_s: float) -> int | None:
        """Return a new lease on the worker's clock, None before the first reading."""
        if self.read_ms is None:
            return None
        deadline = int(self.estimate(now) + lease_s * MS_PER_S)
        self.lease_ms = max(self.lease_ms, deadline)
        return deadline

    def start_lease(self, now: float, lease_s: float) -> int | None:
        """Return the lease that a start carries: the last one sent, so that a start prolongs none on a worker that is gone."""
        left_s = (self.lease_ms - self.estimate(now)) / MS_PER_S
        return self.lease_ms if left_s > lease_s * REUSED_SHARE else self.grant(now, lease_s)

    def has_lapsed(self, now: float) -> bool:
        """Tell whether every lease ever sent has surely ended on the worker's clock."""
        return (
            self.read_ms is not None
            and self.estimate(now, MIN_CLOCK_RATE) > self.lease_ms + MARGIN_MS
        )
