"""Quantiles of a distribution of ratios, and their estimate from a histogram."""

import itertools
import math
from bisect import bisect_left
from collections.abc import Sequence

from marigoldlift.runtimes.ratios import BUCKETS, RatioHistogram, bucket_of, ratio_of

__all__ = ('AS_ESTIMATED', 'RatioDistribution', 'estimate_distribution')

#: Probability below which the remaining tail is ignored.
NEGLIGIBLE = 1e-6

#: Quantiles that lie one standard deviation to either side of the median if the distribution is log-normal.
LOWER_SPREAD = 0.16
UPPER_SPREAD = 0.84


class RatioDistribution:
    """Probabilities of the ratio by bucket.

    Attributes:
        probabilities: probability of each bucket.
        cumulative: probability of each bucket or a lower one.
        known: quantiles that were asked for, by share.
    """

    __slots__ = ('cumulative', 'known', 'probabilities')

    def __init__(self, probabilities: Sequence[float]) -> None:
        """Sum up the probabilities, which add up to 1."""
        self.probabilities = probabilities
        self.cumulative = list(itertools.accumulate(probabilities))
        self.known: dict[float, float] = {}

    def quantile(self, share: float) -> float:
        """Return the ratio that a share of the runs does not exceed; cached, since few shares are asked for."""
        ratio = self.known.get(share)
        if ratio is None:
            ratio = self.find(share)
            self.known[share] = ratio
        return ratio

    def find(self, share: float) -> float:
        """Return the ratio that a share of the runs does not exceed."""
        bucket = bisect_left(self.cumulative, share - NEGLIGIBLE)
        return ratio_of(min(bucket, BUCKETS - 1))

    def spread(self) -> float:
        """Return the standard deviation in doublings, as a log-normal distribution with the same quantiles has it."""
        return math.log2(self.quantile(UPPER_SPREAD) / self.quantile(LOWER_SPREAD)) / 2

    def survival(self, ratio: float) -> float:
        """Return the share of the runs that exceed a ratio."""
        return 1 - self.cumulative[bucket_of(ratio)]

    def quantile_beyond(self, share: float, ratio: float) -> float:
        """Return the ratio that a share of the runs does not exceed, among those that exceed the given one."""
        survival = self.survival(ratio)
        if survival < NEGLIGIBLE:
            return ratio
        return max(ratio, self.find(1 - survival * (1 - share)))


def point_distribution(ratio: float) -> RatioDistribution:
    """Return the distribution of a ratio that is certain."""
    certain = bucket_of(ratio)
    return RatioDistribution([float(bucket == certain) for bucket in range(BUCKETS)])


#: Distribution while nothing is known: runs take as long as estimated.
AS_ESTIMATED = point_distribution(1)


def estimate_distribution(
    histogram: RatioHistogram, prior: RatioDistribution, prior_weight: float
) -> RatioDistribution:
    """Return the product-limit estimate of the distribution, shrunk towards a prior.

    The product-limit estimate (Kaplan and Meier) takes a censored run as one that has lasted at least as long, so that
    runs that were stopped for their length are not left out.

    Args:
        histogram: the observed runs.
        prior: distribution to assume without runs.
        prior_weight: number of runs that the prior counts as.
    """
    ended = [
        weight / histogram.scale + prior_weight * assumed
        for weight, assumed in zip(histogram.ended, prior.probabilities, strict=True)
    ]
    at_risk = sum(ended) + sum(histogram.censored) / histogram.scale
    surviving: float = 1
    probabilities = []
    for count, weight in zip(ended, histogram.censored, strict=True):
        # The remainder of the subtractions below may be less than a weight that has almost faded.
        ending = surviving * count / max(at_risk, count) if count else 0
        probabilities.append(ending)
        surviving -= ending
        at_risk -= count + weight / histogram.scale
    # What the longest censored runs leave open lies beyond all that were seen.
    probabilities[highest_bucket(ended, histogram.censored)] += surviving
    return RatioDistribution(probabilities)


def highest_bucket(ended: Sequence[float], censored: Sequence[float]) -> int:
    """Return the highest bucket with a run."""
    occupied = (bucket for bucket in range(BUCKETS) if ended[bucket] or censored[bucket])
    return max(occupied, default=bucket_of(1))
