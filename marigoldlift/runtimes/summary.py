"""Compact summary of what a leader has learned, which the next leader starts with."""

from collections.abc import Iterable, Iterator, Mapping

from marigoldlift.runtimes.api import WorkKey
from marigoldlift.runtimes.ratios import BUCKETS, RatioHistogram
from marigoldlift.runtimes.speeds import GroupSpeeds, Level
from marigoldlift.submissions.run_time_records import KeptDistribution, KeptLevel, RunTimesSummary

__all__ = (
    'MAX_WORKERS',
    'restore_levels',
    'summarize_levels',
)

#: Distributions, groups and workers in a summary.
MAX_DISTRIBUTIONS = 64
MAX_LEVELS = 64
MAX_WORKERS = 500

#: Age above which a summary is not used, in s.
MAX_AGE_S = 600

#: Share of their weight with which the runs of an earlier leader count: what has changed since then is learned sooner.
RESTORED_SHARE = 0.5

#: Numbers of a summary are integers, which take 1 to 3 bytes.
HUNDREDTHS = 100

#: Largest weight of a bucket, in hundredths, and of a group, and largest deviation, in hundredths of a doubling, that a summary
#: may hold.
MAX_WEIGHT = 100_000
MAX_DEVIATION = 600

#: Longest name that a summary may hold, in characters.
MAX_NAME = 200

MS_PER_S = 1000


def is_current(summary: RunTimesSummary, wall_ms: float) -> bool:
    """Return whether a summary is young enough; one from the future is not used either."""
    return abs(wall_ms - summary.at_ms) <= MAX_AGE_S * MS_PER_S


def newest(names: Iterable[WorkKey]) -> list[WorkKey]:
    """Return the keys that were updated last, as many as a summary holds."""
    return list(names)[-MAX_DISTRIBUTIONS:]


def summarize_histograms(
    histograms: Mapping[WorkKey, RatioHistogram],
) -> Iterator[KeptDistribution]:
    """Yield the distributions that a summary holds."""
    for key in newest(histograms):
        histogram = histograms[key]
        yield KeptDistribution(
            key.queue,
            key.step,
            occupied(histogram.counts(histogram.ended)),
            occupied(histogram.counts(histogram.censored)),
            key.longest,
        )


def occupied(weights: Iterable[float]) -> list[tuple[int, int]]:
    """Return the buckets with a weight that matters."""
    rounded = ((bucket, round(weight * HUNDREDTHS)) for bucket, weight in enumerate(weights))
    return [(bucket, weight) for bucket, weight in rounded if weight > 0]


def restore_histogram(kept: KeptDistribution, memory: int) -> RatioHistogram:
    """Return the histogram of a kept distribution; buckets or weights out of range are skipped."""
    histogram = RatioHistogram(memory)
    for weights, pairs in ((histogram.ended, kept.ended), (histogram.censored, kept.censored)):
        for bucket, weight in pairs:
            if 0 <= bucket < BUCKETS and 0 < weight <= MAX_WEIGHT:
                weights[bucket] = weight * RESTORED_SHARE / HUNDREDTHS
    return histogram


def summarize_levels(groups: GroupSpeeds, most: int = MAX_LEVELS) -> list[KeptLevel]:
    """Return the levels of the groups that were updated last."""
    return [
        KeptLevel(name, round(level.doublings * HUNDREDTHS), round(level.runs))
        for name, level in list(groups.levels.items())[-most:]
    ]


def restore_levels(groups: GroupSpeeds, kept: Iterable[KeptLevel], now: float) -> None:
    """Add kept levels to groups; one with numbers out of range is skipped."""
    for level in kept:
        is_valid = 0 < level.runs <= MAX_WEIGHT and abs(level.deviation) <= MAX_DEVIATION
        if is_valid and len(level.name) <= MAX_NAME:
            runs = level.runs * RESTORED_SHARE
            groups.put(level.name, Level(level.deviation / HUNDREDTHS, runs, now))
