"""Delay of the event loop."""

import asyncio

from loguru import logger

from marigoldlift.telemetry.loop_delay import LOGGED_DELAY_S, watch_loop
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from tests.model.clock import Gate, ModelLoop


def test_loop_that_stood_still_is_logged():
    """Guards against a process that stands still for seconds and leaves no trace of it."""
    metrics, logged = Metrics(), []
    sink = logger.add(logged.append, format='{message}', level='WARNING')

    async def stand_still(gate):
        await asyncio.sleep(1.2)
        assert not logged
        gate.pause()
        await asyncio.sleep(LOGGED_DELAY_S + 1)
        gate.resume()
        await asyncio.sleep(0.1)

    with asyncio.Runner(loop_factory=ModelLoop) as runner:
        gate = Gate(runner.get_loop())
        gate.spawn(watch_loop(metrics, 0.5))
        runner.run(stand_still(gate))
        runner.run(runner.get_loop().end_tasks())
    logger.remove(sink)
    assert len(logged) == 1
    assert metrics.latencies[Metric.event_loop_delay][()].count >= 3
