"""Run times and speeds as a leader learns them from the ends of runs."""

import math
from collections.abc import Callable, Iterator

from marigoldlift.orders.api import Worker
from marigoldlift.runtimes.accuracy import Accuracy
from marigoldlift.runtimes.api import WorkKey
from marigoldlift.runtimes.quantiles import (
    AS_ESTIMATED,
    RatioDistribution,
    estimate_distribution,
)
from marigoldlift.runtimes.ratios import RatioHistogram, bucket_of
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

#: Shortest pause between two changes of the answers, in s; all open submissions are assessed anew after one.
CHANGE_PAUSE_S = 0.5

MEDIAN = 0.5


class RunTimes:
    """Distributions of the ratio of run time to estimate by queue and step, and speeds of workers.

    The speed of the worker is taken out of a ratio before it is added, and the typical ratio of the work before a worker
    is judged by it.

    Attributes:
        version: changes whenever an answer may have changed.
        histograms: observed ratios; the least recently updated one comes first.
        speeds: speeds of the workers.
        accuracy: errors of the learned times.
        fresh: distributions by key, as of the current version.
        classes: classes of speed by worker id, as of the current version.
        changed_at: time of the current version, in seconds of the monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with nothing learned.

        Args:
            clock: monotonic clock in seconds.
        """
        self.clock = clock
        self.version = 0
        self.histograms: dict[WorkKey, RatioHistogram] = {}
        self.speeds = SpeedTable(clock)
        self.accuracy = Accuracy()
        self.fresh: dict[WorkKey, RatioDistribution] = {}
        self.classes: dict[str, int] = {}
        self.changed_at = clock()

    def note(self, key: WorkKey, estimate_s: float, worker: Worker, sample: RunSample) -> float:
        """Learn from the end of a run, and return the ratio of its time to the estimate on a worker of the common speed.

        Args:
            key: the work.
            estimate_s: its estimated time, in s, above 0.
            worker: worker of the run.
            sample: its time.
        """
        self.refresh()
        slowness = self.slowness(worker)
        expected = self.ratios(key)
        ratio = sample.took_s / estimate_s
        is_whole = sample.measurement is Measurement.whole
        if is_whole:
            self.accuracy.note(ratio / slowness, expected)
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
        histogram = self.histograms.pop(key, None) or RatioHistogram(MEMORY)
        self.histograms[key] = histogram
        if len(self.histograms) > MAX_KEYS:
            self.histograms.pop(next(iter(self.histograms)))
        return histogram

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return the distribution of run time to estimate on a worker of the common speed."""
        known = self.fresh.get(key)
        if known is None:
            known = self.estimate(key)
            self.fresh[key] = known
        return known

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

    def factors(self) -> Iterator[tuple[str, float]]:
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
        self.forget_answers()
        return True

    def refresh(self) -> None:
        """Renew the answers if the pause is over."""
        now = self.clock()
        if now - self.changed_at >= CHANGE_PAUSE_S:
            self.changed_at = now
            self.forget_answers()

    def forget_answers(self) -> None:
        """Begin a new version of the answers."""
        self.version += 1
        self.fresh.clear()
        self.classes.clear()
        self.speeds.rebase()


def whole_queue(key: WorkKey) -> WorkKey:
    """Return the key of all steps of a queue."""
    return WorkKey(key.queue, ALL_STEPS)


def kept_key(key: WorkKey) -> WorkKey:
    """Return the key under which the runs of a step are kept."""
    return WorkKey(key.queue, min(key.step, MAX_STEPS - 1), key.longest)
