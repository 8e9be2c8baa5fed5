"""Fixtures of a learner on a clock that tests advance."""

import pytest

from marigoldlift.orders.api import Worker
from marigoldlift.runtimes.api import WorkKey
from marigoldlift.runtimes.learner import RunTimes
from marigoldlift.runtimes.samples import Measurement, RunSample

KEY = WorkKey('plans', 0)
DOMAINS = ('north', 'east', 'south', 'west')


class Site:
    """Four failure domains with four workers each, whose runs a learner is told of.

    Attributes:
        slow: by how much workers are slower than the others, by id or failure domain.
    """

    def __init__(self):
        """Start with equal workers."""
        self.now = 0
        self.times = RunTimes(lambda: self.now)
        self.slow = {}
        self.workers = [
            Worker(f'{name}{number}', '', name, 'service', True, 1, 8000, 0, 0, ('plain', name))
            for name in DOMAINS
            for number in range(4)
        ]

    def end_run(self, ratio, worker, key=KEY, measurement=Measurement.whole):
        """Tell the learner of a run that took this many times the estimate of 1 s on a worker of the common speed."""
        self.now += 0.02
        factor = self.slow.get(worker.id, 1) * self.slow.get(worker.failure_domain, 1)
        self.times.note(key, 1, worker, RunSample(measurement, ratio * factor))

    def end_runs(self, count, ratio=1, key=KEY):
        """Tell the learner of runs on all workers in turn."""
        for number in range(count):
            drawn = ratio(number) if callable(ratio) else ratio
            self.end_run(drawn, self.workers[number % len(self.workers)], key)
        self.pause(1)

    def pause(self, seconds):
        """Let time pass, and renew the answers."""
        self.now += seconds
        self.times.refresh()

    def median(self, key=KEY):
        """Return the learned median."""
        return self.times.ratios(key).quantile(0.5)


@pytest.fixture
def site():
    """Return a site with equal workers and nothing learned."""
    return Site()
