"""Errors with which the stand-ins refuse or abort calls."""

__all__ = (
    'KilledError',
    'PastRetentionError',
    'RateLimitedError',
    'RefusedError',
    'StandInError',
)


class StandInError(Exception):
    """Base of all errors of the stand-ins."""


class KilledError(StandInError):
    """The worker restarted while a request was running."""


class PastRetentionError(StandInError):
    """A read from an offset that retention has already dropped.

    Attributes:
        oldest: oldest offset that can still be read.
    """

    def __init__(self, oldest: int) -> None:
        """Store the oldest offset."""
        super().__init__(f'oldest offset kept is {oldest}')
        self.oldest = oldest


class RateLimitedError(StandInError):
    """An append that exceeds the rate limit; nothing was appended."""


class RefusedError(StandInError):
    """A command refused by a worker; it had no effect.

    Attributes:
        code: `fenced`, `duplicate`, `leaving` or `not_running`.
        reason: human-readable explanation.
    """

    def __init__(self, code: str, reason: str) -> None:
        """Store code and reason."""
        super().__init__(reason)
        self.code = code
        self.reason = reason
