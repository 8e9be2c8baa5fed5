"""Durations of the parts of a scheduling round."""

import pytest
from loguru import logger

from marigoldlift.scheduling.round_times import LOG_INTERVAL_S, SLOW_PART_S, RoundTimes
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics


class Clock:
    """Monotonic clock that only the test advances."""

    def __init__(self):
        """Start at 0."""
        self.now = 0

    def __call__(self):
        """Return the time in s."""
        return self.now


def new_times(metrics):
    """Return the measurements of a tenure with twelve waiting steps."""
    return RoundTimes(FaultBoundary(Clock(), metrics), metrics, lambda: 12)


@pytest.fixture
def warnings():
    """Return the list of the messages that are logged as warnings."""
    logged = []
    sink = logger.add(logged.append, format='{message}', level='WARNING')
    yield logged
    logger.remove(sink)


def run_part(times, part, duration_s):
    """Run a part that takes a while."""
    with times.measure(part):
        times.clock.now += duration_s


def test_slow_part_is_logged_with_its_name_and_size(warnings):
    """Guards against a leader that stands still in a round while nothing tells in which part."""
    times = new_times(Metrics())
    run_part(times, 'pass', SLOW_PART_S / 2)
    assert not warnings
    run_part(times, 'sample_idle', SLOW_PART_S)
    assert 'part=sample_idle took_s=0.200 waiting_steps=12' in warnings[0]


def test_log_lines_about_one_part_are_limited(warnings):
    """Guards against a log line in each round, and one part that hides another."""
    times = new_times(Metrics())
    for part in ('pass', 'pass', 'backlogs'):
        run_part(times, part, LOG_INTERVAL_S / 3)
    assert len(warnings) == 2


def test_part_that_raises_is_measured():
    """Guards against an exception that leaves no trace of how long its part has held the loop."""
    metrics = Metrics()
    times = new_times(metrics)
    with pytest.raises(ZeroDivisionError), times.measure('pass'):
        raise ZeroDivisionError
    assert metrics.latencies[Metric.round_part]['pass',].count == 1
