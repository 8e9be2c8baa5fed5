"""Log service that records metrics of its appends."""

from collections.abc import Sequence

from marigoldlift.errors import PlatformError
from marigoldlift.ids import Offset, StreamId
from marigoldlift.platform.api import LogService
from marigoldlift.platform.messages import AppendResult, RecordPage
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('MeteredLogService',)


class MeteredLogService:
    """Passes all calls on to another log service, and counts and times the appends."""

    def __init__(self, log: LogService, metrics: Metrics) -> None:
        """Wrap a log service."""
        self.log = log
        self.metrics = metrics

    async def append(
        self,
        stream: StreamId,
        producer: str,
        sequence: int,
        payloads: Sequence[bytes],
    ) -> AppendResult:
        """Append, and record the duration and the outcome."""
        started_s = loop_now()
        try:
            result = await self.log.append(stream, producer, sequence, payloads)
        except PlatformError as error:
            self.metrics.add(Metric.log_appends, outcome=error.code)
            raise
        self.metrics.add(Metric.log_appends, outcome='answered')
        self.metrics.observe(Metric.log_append, loop_now() - started_s, stream=stream)
        return result

    async def read(
        self,
        stream: StreamId,
        first: Offset,
        limit: int,
        wait_ms: int,
    ) -> RecordPage:
        """Read without recording the duration: that of a long poll says nothing about the log."""
        return await self.log.read(stream, first, limit, wait_ms)
