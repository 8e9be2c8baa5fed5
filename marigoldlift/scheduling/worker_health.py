"""How workers fare with what they are given; health checks and registry may say otherwise."""

from marigoldlift.orders.api import EndKind

__all__ = ('WorkerHealth',)

#: Failures in a row, with no success between, after which a worker gets no work for a while.
QUARANTINE_FAILURES = 2

#: How long a worker gets no work after such failures, in s; faults of workers seen so far last 4 to 7 s.
QUARANTINE_S = 4

#: How long one failure makes other workers preferable, in s.
SUSPICION_S = 3


class WorkerHealth:
    """Recent failures of one worker.

    Attributes:
        consecutive_failures: failures since the last success.
        failed_at: time of the last failure, in seconds of the steady clock.
    """

    __slots__ = ('failed_at', 'consecutive_failures')

    def __init__(self) -> None:
        """Start without failures."""
        self.consecutive_failures = 0
        self.failed_at = float('-inf')

    def note(self, kind: EndKind, now: float) -> None:
        """Take in the end of a run."""
        if kind is EndKind.done:
            self.consecutive_failures = 0
        elif kind is EndKind.failed:
            self.fail(now)

    def fail(self, now: float) -> None:
        """Count a failure, or a run that stood still."""
        self.consecutive_failures += 1
        self.failed_at = now

    def is_quarantined(self, now: float) -> bool:
        """Tell whether the worker gets no work; after that time one more failure is enough."""
        return (
            self.consecutive_failures >= QUARANTINE_FAILURES
            and now - self.failed_at < QUARANTINE_S
        )

    def is_suspect(self, now: float) -> bool:
        """Tell whether other workers are preferable."""
        if not self.consecutive_failures:
            return False
        return now - self.failed_at < SUSPICION_S + QUARANTINE_S * (self.consecutive_failures - 1)
