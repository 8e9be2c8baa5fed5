"""How long the parts of a scheduling round hold the event loop, on which the leadership is renewed as well."""

import contextlib
from collections.abc import Callable, Iterator

from loguru import logger

from marigoldlift.supervision import FaultBoundary, ItemKind
from marigoldlift.telemetry.loop_delay import watch_loop
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('RoundTimes',)

#: Duration from which a part of a round is logged, in s.
SLOW_PART_S = 0.2

#: Time between two log lines about the same part, in s.
LOG_INTERVAL_S = 1.0

#: Time between two measurements of the event loop's delay, in s.
LOOP_CHECK_S = 0.5


class RoundTimes:
    """Measures the parts of the rounds of one tenure.

    Attributes:
        checks_s: how long the last periodic checks took, in s.
        logged_at: when a slow part was last logged, in seconds of the monotonic clock, by its name.
    """

    def __init__(
        self, faults: FaultBoundary, metrics: Metrics, waiting_steps: Callable[[], int]
    ) -> None:
        """Start without measurements.

        Args:
            faults: logs exceptions; its clock measures.
            metrics: receives the longest time that a part has held the loop.
            waiting_steps: returns the number of steps that wait, for the log line.
        """
        self.faults = faults
        self.clock = faults.clock
        self.metrics = metrics
        self.waiting_steps = waiting_steps
        self.checks_s: float = 0
        self.logged_at: dict[str, float] = {}

    async def watch_loop(self) -> None:
        """Measure the delay of the event loop until cancelled."""
        await watch_loop(self.metrics, LOOP_CHECK_S)

    @contextlib.contextmanager
    def contain(self, part: str) -> Iterator[None]:
        """Measure a part, and let an exception end that part alone."""
        with self.faults.contain(ItemKind.round, part), self.measure(part):
            yield

    @contextlib.contextmanager
    def measure(self, part: str) -> Iterator[None]:
        """Measure a part that does not yield to the event loop, also if it raises."""
        began_at = self.clock()
        try:
            yield
        finally:
            self.note(part, self.clock() - began_at)

    def note(self, part: str, took_s: float) -> None:
        """Record the duration of a part, and log a long one."""
        self.metrics.observe(Metric.round_part, took_s, part=part)
        if took_s < SLOW_PART_S:
            return
        now = self.clock()
        if now - self.logged_at.get(part, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self.logged_at[part] = now
            logger.warning(
                'round is slow: part={} took_s={:.3f} waiting_steps={}',
                part,
                took_s,
                self.waiting_steps(),
            )
