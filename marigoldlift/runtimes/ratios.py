"""Distribution of the ratio of run time to estimate: a log-scaled histogram that forgets and knows censored runs."""

import math
from array import array
from collections.abc import Iterator, Sequence

__all__ = ('BUCKETS', 'HIGHEST_RATIO', 'LOWEST_RATIO', 'RatioHistogram', 'bucket_of', 'ratio_of')

#: Resolution: the ratios of neighbouring buckets differ by 9%.
BUCKETS_PER_DOUBLING = 8

#: Largest ratio either way, in doublings; an estimate that is wrong by more counts as wrong by this much.
MAX_DOUBLINGS = 6

HIGHEST_RATIO = math.pow(2, MAX_DOUBLINGS)
LOWEST_RATIO = 1 / HIGHEST_RATIO

CENTER = BUCKETS_PER_DOUBLING * MAX_DOUBLINGS
BUCKETS = 2 * CENTER + 1

#: Weight of a new run above which all weights are scaled down, well within the range of a float.
MAX_SCALE = 1e6


def bucket_of(ratio: float) -> int:
    """Return the bucket of a ratio; the bucket `CENTER` holds a ratio of 1."""
    if ratio <= 0:
        return 0
    position = round(math.log2(ratio) * BUCKETS_PER_DOUBLING) + CENTER
    return min(max(position, 0), BUCKETS - 1)


def ratio_of(bucket: int) -> float:
    """Return the ratio at the center of a bucket."""
    return math.pow(2, (bucket - CENTER) / BUCKETS_PER_DOUBLING)


class RatioHistogram:
    """Weights of the observed ratios by bucket; the weight of a run fades as further ones are added.

    A weight that grows with each run has the same effect as fading all earlier ones, in constant time.

    Attributes:
        ended: weights of the runs that were done.
        censored: weights of the runs of which only a lower bound is known.
        scale: weight of the next run.
        growth: factor by which the scale grows with each run.
    """

    __slots__ = ('censored', 'ended', 'growth', 'scale')

    def __init__(self, memory: int) -> None:
        """Start empty.

        Args:
            memory: number of runs after which a weight has faded to 1/e.
        """
        self.ended = array('f', bytes(4 * BUCKETS))
        self.censored = array('f', bytes(4 * BUCKETS))
        self.scale: float = 1
        self.growth = math.exp(1 / memory)

    def add(self, bucket: int, *, is_censored: bool) -> None:
        """Add a run."""
        weights = self.censored if is_censored else self.ended
        weights[bucket] += self.scale
        self.scale *= self.growth
        if self.scale > MAX_SCALE:
            self.rescale()

    def rescale(self) -> None:
        """Scale all weights down, so that a new run counts as 1."""
        self.ended = array('f', self.counts(self.ended))
        self.censored = array('f', self.counts(self.censored))
        self.scale = 1

    def counts(self, weights: Sequence[float]) -> Iterator[float]:
        """Yield the weights in units of the newest run."""
        return (weight / self.scale for weight in weights)

    def total(self) -> float:
        """Return how many done runs the weights stand for; at most the memory."""
        return sum(self.ended) / self.scale
