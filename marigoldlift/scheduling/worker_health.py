"""Failures of runs by worker, counted independently of health checks and of the registry."""

from marigoldlift.orders.api import EndKind

__all__ = ('WorkerHealth',)

#: Consecutive failures, without a success in between, after which a worker is quarantined.
QUARANTINE_FAILURES = 2

#: How long a quarantined worker gets no new tasks, in s; worker faults seen so far last 4 to 7 s.
QUARANTINE_S = 4

#: How long other workers are preferred after a single failure, in s.
SUSPICION_S = 3


class WorkerHealth:
    """Recent failures of one worker.

    Attributes:
        consecutive_failures: failures since the last success.
        failed_at: time of the last failure, in seconds of the monotonic clock.
    """

    __slots__ = ('failed_at', 'consecutive_failures')

    def __init__(self) -> None:
        """Start without failures."""
        self.consecutive_failures = 0
        self.failed_at = float('-inf')

    def record_end(self, kind: EndKind, now: float) -> None:
        """Update the failure count with the end of a run; ends other than success and failure are ignored."""
        if kind is EndKind.done:
            self.consecutive_failures = 0
        elif kind is EndKind.failed:
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Count a failed run, a stalled run or a start refused as unhealthy."""
        self.consecutive_failures += 1
        self.failed_at = now

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker gets no new tasks.

        The count is reset only by a success, so after a quarantine one more failure starts the next one.
        """
        return (
            self.consecutive_failures >= QUARANTINE_FAILURES
            and now - self.failed_at < QUARANTINE_S
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether other workers are preferred; each further consecutive failure extends this time."""
        if not self.consecutive_failures:
            return False
        return now - self.failed_at < SUSPICION_S + QUARANTINE_S * (self.consecutive_failures - 1)
