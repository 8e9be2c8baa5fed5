"""Growing delays between attempts, with jitter so that entries do not retry in step."""

from collections.abc import Callable

__all__ = ('Backoff',)

FIRST_DELAY_S = 0.1

# Entries that are cut off from the log poll their peers at this pace, and a configuration has to
# be in force within 4 s.
LONGEST_DELAY_S = 1.0

#: Part of a delay that is not random.
FIXED_SHARE = 0.5


class Backoff:
    """Delays that double from attempt to attempt until one succeeds."""

    def __init__(
        self,
        uniform: Callable[[], float],
        first_s: float = FIRST_DELAY_S,
        longest_s: float = LONGEST_DELAY_S,
    ) -> None:
        """Use `uniform` as the source of random numbers between 0 and 1."""
        self.uniform = uniform
        self.first_s = first_s
        self.longest_s = longest_s
        self.limit_s = first_s

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        share = FIXED_SHARE + (1 - FIXED_SHARE) * self.uniform()
        delay_s = self.limit_s * share
        self.limit_s = min(2 * self.limit_s, self.longest_s)
        return delay_s

    def reset(self) -> None:
        """Start with the shortest delay again, after a success."""
        self.limit_s = self.first_s
