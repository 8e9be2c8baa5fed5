"""Run times and speeds as a leader learns them from the ends of runs."""

import math
from collections.abc import Callable, Iterator

from marigoldlift.orders.api import Worker
from marigoldlift.runtimes.accuracy import Accuracy
from marigoldlift.runtimes.api import Factors, WorkKey
from marigoldlift.runtimes.quantiles import (
    AS_ESTIMATED,
    RatioDistribution,
    estimate_distribution,
)
from marigoldlift.runtimes.ratios import HIGHEST_RATIO, LOWEST_RATIO, RatioHistogram, bucket_of
from marigoldlift.runtimes.samples import Measurement, RunSample
from marigoldlift.runtimes.speeds import SpeedTable, speed_class
from marigoldlift.runtimes.summary import (
    MAX_WORKERS,
    is_current,
    restore_histogram,
    restore_levels,
    summarize_histograms,
    summarize_levels,
)
from marigoldlift.submissions.run_time_records import RunTimesSummary

__all__ = ('RunTimes',)

#: Runs after which the weight of an earlier one has faded to 1/e.
MEMORY = 128

#: Runs that the estimate, or the queue as a whole for one of its steps, counts as.
PRIOR_RUNS = 4

#: Runs below which a distribution is too uncertain to rule something out.
MIN_KNOWN_RUNS = 24

#: Steps that are told apart; later ones share the last number.
MAX_STEPS = 4

#: Distributions kept; the one that was updated least recently is forgotten beyond them.
MAX_KEYS = 256

#: Number of the distribution of all steps of a queue.
ALL_STEPS = -1

#: Answers kept; all are derived anew beyond it.
MAX_ANSWERS = 2000

#: Shortest pause between two renewals of the answers, in s; each takes 0.1 ms for each distribution that has changed.
RENEWAL_PAUSE_S = 0.5

MEDIAN = 0.5

#: Quantile of the run time that a worker has to meet to count as fast enough.
SAFE_SHARE = 0.9

#: Quantile at which a lucky run lies.
LUCKY_SHARE = 0.1


class RunTimes:
    """Distributions of the ratio of run time to estimate by queue and step, and speeds of workers.

    The speed of the worker is taken out of a ratio before it is added, and the typical ratio of the work before a worker
    is judged by it.

    Attributes:
        version: changes whenever the factors of any work have changed.
        histograms: observed ratios; the least recently updated one comes first.
        speeds: speeds of the workers.
        accuracy: errors of the learned times.
        touched: queues of which runs have ended since the answers were renewed.
        fresh: distributions by queue and key.
        known: factors that were asked for, by key.
        classes: classes of speed by worker id.
        renewed_at: when the answers were renewed, in seconds of the monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with nothing learned.

        Args:
            clock: monotonic clock in seconds.
        """
        self.clock = clock
        self.version = 1
        self.histograms: dict[WorkKey, RatioHistogram] = {}
        self.speeds = SpeedTable(clock)
        self.accuracy = Accuracy()
        self.touched: set[str] = set()
        self.fresh: dict[str, dict[WorkKey, RatioDistribution]] = {}
        self.known: dict[WorkKey, Factors] = {}
        self.classes: dict[str, int] = {}
        self.renewed_at = clock()

    def note(
        self,
        key: WorkKey,
        estimate_s: float,
        worker: Worker,
        sample: RunSample,
        *,
        is_gang: bool = False,
    ) -> float:
        """Learn from the end of a run, and return the ratio of its time to the estimate on a worker of the common speed.

        Args:
            key: the work.
            estimate_s: its estimated time, in s, above 0.
            worker: worker of the run, or of the slowest member of a gang.
            sample: its time.
            is_gang: whether other workers have part in the time, so that it does not judge this one.
        """
        self.refresh()
        slowness = self.slowness(worker)
        expected = self.ratios(key)
        ratio = min(max(sample.took_s / estimate_s, LOWEST_RATIO), HIGHEST_RATIO)
        is_whole = sample.measurement is Measurement.whole
        if is_whole:
            self.accuracy.note(ratio / slowness, expected)
        if is_whole and not is_gang:
            self.judge_worker(key, worker, ratio, expected)
        for owner in (kept_key(key), whole_queue(key)):
            histogram = self.histogram(owner)
            histogram.add(bucket_of(ratio / slowness), is_censored=not is_whole)
        return ratio / slowness

    def note_longest(self, key: WorkKey, ratio: float) -> None:
        """Learn from a step whose tasks are all done, with the highest of their ratios."""
        histogram = self.histogram(kept_key(WorkKey(key.queue, key.step, longest=True)))
        histogram.add(bucket_of(ratio), is_censored=False)

    def judge_worker(
        self, key: WorkKey, worker: Worker, ratio: float, expected: RatioDistribution
    ) -> None:
        """Note a run in the speeds unless the work is hardly known; it counts less if its times vary much."""
        if self.is_known(key):
            weight = 1 / (1 + expected.spread() ** 2)
            self.speeds.note(worker, math.log2(ratio / expected.quantile(MEDIAN)), weight)

    def histogram(self, key: WorkKey) -> RatioHistogram:
        """Return the histogram of a key as the most recently updated one."""
        self.touched.add(key.queue)
        histogram = self.histograms.pop(key, None) or RatioHistogram(MEMORY)
        self.histograms[key] = histogram
        if len(self.histograms) > MAX_KEYS:
            self.histograms.pop(next(iter(self.histograms)))
        return histogram

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return the distribution of run time to estimate on a worker of the common speed."""
        of_queue = self.fresh.setdefault(key.queue, {})
        known = of_queue.get(key)
        if known is None:
            known = self.estimate(key)
            of_queue[key] = known
        return known

    def factors(self, key: WorkKey) -> Factors:
        """Return the factors of a step."""
        kept = kept_key(key)
        known = self.known.get(kept)
        if known is None:
            known = self.find_factors(kept)
            self.known[kept] = known
        return known

    def find_factors(self, key: WorkKey) -> Factors:
        """Derive the factors of a step from its distributions."""
        ratios = self.ratios(key)
        return Factors(
            longest=self.ratios(WorkKey(key.queue, key.step, longest=True)).quantile(MEDIAN),
            safe=ratios.quantile(SAFE_SHARE),
            lucky=ratios.quantile(LUCKY_SHARE) * self.speeds.fastest()
            if self.is_known(key)
            else 0,
        )

    def estimate(self, key: WorkKey) -> RatioDistribution:
        """Return a distribution, shrunk towards a more common one.

        That of the longest task of a step is shrunk towards that of all its tasks, which is shrunk towards that of the
        queue, which is shrunk towards the estimate.
        """
        histogram = self.histograms.get(kept_key(key))
        if key.longest:
            prior = self.ratios(WorkKey(key.queue, key.step))
        elif key.step == ALL_STEPS:
            prior = AS_ESTIMATED
        else:
            prior = self.ratios(whole_queue(key))
        if histogram is None:
            return prior
        return estimate_distribution(histogram, prior, PRIOR_RUNS)

    def is_known(self, key: WorkKey) -> bool:
        """Return whether enough runs have ended for a verdict that rests on them alone."""
        histogram = self.histograms.get(kept_key(key))
        return histogram is not None and histogram.total() >= MIN_KNOWN_RUNS

    def slowness(self, worker: Worker) -> float:
        """Return how many times as long a worker takes as one of the common speed."""
        return math.exp2(self.speeds.doublings(worker))

    def speed_class(self, worker: Worker) -> int:
        """Return the class of speed of a worker, 0 for the common one; cached, since each placement asks for many."""
        known = self.classes.get(worker.id)
        if known is None:
            known = speed_class(self.slowness(worker))
            self.classes[worker.id] = known
        return known

    def medians(self) -> Iterator[tuple[str, float]]:
        """Yield the queues and the learned median of their ratios; the queue with the newest end comes first."""
        for key in reversed(self.histograms):
            if key.step == ALL_STEPS:
                yield key.queue, self.ratios(key).quantile(MEDIAN)

    def summary(self, wall_ms: float) -> RunTimesSummary:
        """Return what the next leader starts with.

        Args:
            wall_ms: Unix time in ms.
        """
        return RunTimesSummary(
            wall_ms,
            list(summarize_histograms(self.histograms)),
            summarize_levels(self.speeds.failure_domains),
            summarize_levels(self.speeds.kinds),
            summarize_levels(self.speeds.workers, MAX_WORKERS),
        )

    def restore(self, summary: RunTimesSummary, wall_ms: float) -> bool:
        """Start with the summary of an earlier leader; return whether it is young enough to be used."""
        if not is_current(summary, wall_ms):
            return False
        for kept in summary.distributions[-MAX_KEYS:]:
            self.histograms[WorkKey(kept.queue, kept.step, kept.longest)] = restore_histogram(
                kept, MEMORY
            )
        now = self.clock()
        restore_levels(self.speeds.failure_domains, summary.failure_domains, now)
        restore_levels(self.speeds.kinds, summary.kinds, now)
        restore_levels(self.speeds.workers, summary.workers, now)
        self.touched.update(key.queue for key in self.histograms)
        self.version += 1
        self.renew()
        return True

    def refresh(self) -> None:
        """Renew the answers if the pause is over."""
        now = self.clock()
        if now - self.renewed_at >= RENEWAL_PAUSE_S:
            self.renewed_at = now
            self.renew()

    def renew(self) -> None:
        """Derive the answers anew where runs have ended; a new version begins only if factors have changed."""
        self.classes.clear()
        self.speeds.rebase()
        for queue in self.touched:
            self.fresh.pop(queue, None)
        renewed = {key: self.find_factors(key) for key in self.known if key.queue in self.touched}
        self.touched.clear()
        if any(self.known[key] != factors for key, factors in renewed.items()):
            self.version += 1
        self.known.update(renewed)
        if len(self.known) > MAX_ANSWERS:
            self.known.clear()
            self.fresh.clear()
            self.version += 1


def whole_queue(key: WorkKey) -> WorkKey:
    """Return the key of all steps of a queue."""
    return WorkKey(key.queue, ALL_STEPS)


def kept_key(key: WorkKey) -> WorkKey:
    """Return the key under which the runs of a step are kept."""
    return WorkKey(key.queue, min(key.step, MAX_STEPS - 1), key.longest)
