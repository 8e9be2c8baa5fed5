"""Estimates of service times from decaying histograms."""

import math
from array import array
from bisect import bisect_left
from collections import OrderedDict
from itertools import accumulate

from marigoldlift.admission.messages import NO_OBSERVATION, ServiceTime

__all__ = ('ServiceTimes', 'TimeHistogram')

#: The histogram buckets cover 0.1 ms to about 2 h; each bound is 1.2 times the previous one, which
#: limits the error of a quantile to 10%.
SHORTEST_S = 0.0001
GROWTH = 1.2
BUCKETS = 100
LOG_GROWTH = math.log(GROWTH)
MIDPOINT_FACTOR = math.sqrt(GROWTH)

#: Number of observations after which the weight of all earlier ones is halved.
HALF_LIFE = 256
DECAY = 0.5

#: Number of observations between two updates of an estimate; each of the first ones updates it at once.
REFRESH_INTERVAL = 16

MEDIAN = 0.5
TAIL = 0.95

#: Maximum number of services or workers kept; the least recently observed one is evicted.
DEFAULT_CAPACITY = 1024


class TimeHistogram:
    """Decaying histogram of the service times of one service or worker."""

    __slots__ = ('cached', 'count', 'total_s', 'until_decay', 'weights')

    def __init__(self) -> None:
        """Start empty."""
        self.weights = array('f', bytes(4 * BUCKETS))
        self.count = 0
        self.total_s = float(0)
        self.until_decay = HALF_LIFE
        self.cached = NO_OBSERVATION

    def observe(self, seconds: float) -> None:
        """Record a service time in seconds."""
        self.weights[bucket_index(seconds)] += 1
        self.total_s += seconds
        self.count += 1
        self.until_decay -= 1
        if not self.until_decay:
            self.decay()
        if self.count <= REFRESH_INTERVAL or not self.count % REFRESH_INTERVAL:
            self.cached = self.compute()

    def decay(self) -> None:
        """Halve the weight of the earlier observations."""
        self.until_decay = HALF_LIFE
        self.weights = array('f', (weight * DECAY for weight in self.weights))
        self.total_s *= DECAY

    def compute(self) -> ServiceTime:
        """Compute the current estimate from the histogram."""
        sums = list(accumulate(self.weights))
        weight = sums[-1]
        return ServiceTime(
            mean_s=self.total_s / weight,
            median_s=bucket_midpoint_s(bisect_left(sums, weight * MEDIAN)),
            tail_s=bucket_midpoint_s(bisect_left(sums, weight * TAIL)),
            count=self.count,
        )


class ServiceTimes:
    """Service time estimates by service or worker name, in bounded memory."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Keep estimates for at most `capacity` names."""
        self.capacity = capacity
        self.histograms: OrderedDict[str, TimeHistogram] = OrderedDict()

    def observe(self, name: str, seconds: float) -> None:
        """Record a service time in seconds; for an abandoned request, the time until it was abandoned."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = TimeHistogram()
            self.histograms[name] = histogram
        self.histograms.move_to_end(name)
        if len(self.histograms) > self.capacity:
            self.histograms.popitem(last=False)
        histogram.observe(seconds)

    def estimate(self, name: str) -> ServiceTime:
        """Return the estimate; its count is 0 when the name was never observed."""
        histogram = self.histograms.get(name)
        return histogram.cached if histogram else NO_OBSERVATION


def bucket_index(seconds: float) -> int:
    """Return the index of the bucket that a time in seconds falls into."""
    if seconds <= SHORTEST_S:
        return 0
    return min(BUCKETS - 1, int(math.log(seconds / SHORTEST_S) / LOG_GROWTH))


def bucket_midpoint_s(bucket: int) -> float:
    """Return the geometric mean of the bounds of a bucket, in seconds."""
    return SHORTEST_S * GROWTH**bucket * MIDPOINT_FACTOR
