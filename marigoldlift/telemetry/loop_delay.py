"""Measures how late the event loop wakes a sleeping task."""

import asyncio

from loguru import logger

from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('watch_loop',)

#: Delay from which a measurement is logged, in s.
LOGGED_DELAY_S = 0.5


async def watch_loop(metrics: Metrics, interval_s: float) -> None:
    """Measure the delay periodically until cancelled.

    A delay without a slow part of a round comes from other handlers, or from a machine that stood still.

    Args:
        metrics: receives the delays.
        interval_s: time between two measurements, in s.
    """
    while True:
        due_s = loop_now() + interval_s
        await asyncio.sleep(interval_s)
        delay_s = loop_now() - due_s
        metrics.observe(Metric.event_loop_delay, delay_s)
        if delay_s >= LOGGED_DELAY_S:
            logger.warning('event loop was held up: delay_s={:.3f}', delay_s)
