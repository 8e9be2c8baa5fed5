"""Errors of the learned median and 95th percentile against the runs that have ended since."""

import math

from marigoldlift.runtimes.quantiles import RatioDistribution

__all__ = ('Accuracy', 'TAIL')

MEDIAN = 0.5
TAIL = 0.95

#: Runs after which the weight of an earlier one has faded to 1/e.
MEMORY = 512


class FadingMean:
    """Mean over the newest observations.

    Attributes:
        mean: the mean, 0 without observations.
        seen: number of observations, at most the memory.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.mean: float = 0
        self.seen = 0

    def note(self, observed: float) -> None:
        """Add an observation."""
        self.seen = min(self.seen + 1, MEMORY)
        self.mean += (observed - self.mean) / self.seen


class Accuracy:
    """Errors of what was expected of each run just before it ended.

    Attributes:
        median_error: mean distance of a run from the learned median, in doublings.
        estimate_error: the same distance from the caller's estimate.
        beyond_median: share of the runs above the learned median; 0.5 if it is right.
        beyond_tail: share of the runs above the learned 95th percentile; 0.05 if it is right.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.median_error = FadingMean()
        self.estimate_error = FadingMean()
        self.beyond_median = FadingMean()
        self.beyond_tail = FadingMean()

    def note(self, ratio: float, expected: RatioDistribution) -> None:
        """Compare a run with what was expected.

        Args:
            ratio: run time to estimate, without the slowness of the worker.
            expected: distribution that was expected.
        """
        median = expected.quantile(MEDIAN)
        self.median_error.note(abs(math.log2(ratio / median)))
        self.estimate_error.note(abs(math.log2(ratio)))
        self.beyond_median.note(float(ratio > median))
        self.beyond_tail.note(float(ratio > expected.quantile(TAIL)))
