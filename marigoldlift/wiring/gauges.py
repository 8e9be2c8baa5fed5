"""Gauges that are set from the state of an entry when the metrics are rendered."""

import asyncio
import resource
import time
from collections import Counter
from pathlib import Path

from marigoldlift.admission.connection_limit import ConnectionLimit
from marigoldlift.membership.liveness import Liveness
from marigoldlift.telemetry.loop_delay import watch_loop
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.requests import RequestsPart
from marigoldlift.wiring.streams import StreamsPart
from marigoldlift.wiring.workers import WorkersPart

__all__ = ('Gauges',)

#: Length of one window of the quantiles, in seconds.
WINDOW_S = 60.0

#: Time between two measurements of the event loop's delay, in seconds.
LOOP_CHECK_S = 1.0

#: Memory statistics of the process in pages; the second number is the resident set size.
STATM = Path('/proc/self/statm')


class Gauges:
    """Sets the gauges, rotates the windows of the quantiles and measures the event loop's delay."""

    def __init__(
        self,
        metrics: Metrics,
        membership: MembershipPart,
        streams: StreamsPart,
        workers: WorkersPart,
        requests: RequestsPart,
        connection_limit: ConnectionLimit,
    ) -> None:
        """Create the gauges of the given parts."""
        self.metrics = metrics
        self.membership = membership
        self.streams = streams
        self.workers = workers
        self.requests = requests
        self.connection_limit = connection_limit

    async def rotate(self) -> None:
        """Start a new window of the quantiles every `WINDOW_S` seconds, until cancelled."""
        while True:
            await asyncio.sleep(WINDOW_S)
            self.metrics.rotate()

    async def watch_loop(self) -> None:
        """Measure periodically how late the event loop wakes a sleeping task, until cancelled."""
        await watch_loop(self.metrics, LOOP_CHECK_S)

    def refresh(self) -> None:
        """Set all gauges."""
        self.refresh_process()
        self.refresh_streams()
        self.refresh_jobs()
        self.refresh_members()
        ledger = self.workers.ledger
        self.metrics.set(Metric.http_requests_active, self.connection_limit.active)
        self.metrics.set(Metric.queue_length, len(self.requests.queue))
        self.metrics.set(Metric.workers_owned, len(ledger.owned_ids()))
        self.metrics.set(Metric.worker_slots, ledger.free_slots(), state='free')
        self.metrics.set(Metric.worker_slots, ledger.owned_slots(), state='all')

    def refresh_process(self) -> None:
        """Set the gauges of CPU time and memory of the process."""
        self.metrics.set(Metric.process_cpu, time.process_time())
        self.metrics.set(Metric.process_memory, resident_bytes())

    def refresh_streams(self) -> None:
        """Set the gauges of the configuration version and of each stream's replica."""
        version = self.streams.configuration.version
        self.metrics.set(Metric.configuration_version, version)
        for stream, replica in self.streams.replicas.items():
            self.metrics.set(Metric.log_reachable, int(replica.log_reachable), stream=stream)
            self.metrics.set(Metric.log_records, replica.applied, stream=stream)

    def refresh_jobs(self) -> None:
        """Set the gauges of the failure domain's unfinished jobs and their tasks."""
        index = self.streams.domain.jobs.store.index
        pending = sum(map(len, index.pending.values()))
        live = sum(map(len, index.live.values()))
        self.metrics.set(
            Metric.jobs, len(self.streams.domain.jobs.unfinished()), state='unfinished'
        )
        self.metrics.set(Metric.tasks, pending, state='pending')
        self.metrics.set(Metric.tasks, live, state='live')

    def refresh_members(self) -> None:
        """Set the gauge that counts the other entries by liveness."""
        members = self.membership.members
        now_s = loop_now()
        counts = Counter(members.liveness(member, now_s) for member in members.members.values())
        for liveness in Liveness:
            self.metrics.set(Metric.members, counts[liveness], state=liveness.value)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(STATM.read_text().split()[1])
    return pages * resource.getpagesize()
