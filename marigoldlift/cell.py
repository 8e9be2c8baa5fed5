"""Process of an entry of the cell: connects to the platform, serves callers and other entries, stops gracefully."""

import asyncio
import gc
import signal
import uuid
from pathlib import Path

from loguru import logger

from marigoldlift.cell_node import CellNode, NodeLimits, NodeParts, exit_on_failure
from marigoldlift.ids import Incarnation, VmId
from marigoldlift.leadership.election import Candidacy, Candidate
from marigoldlift.platform.advice import PlatformAdvice
from marigoldlift.platform.calls import HttpClient
from marigoldlift.platform.configuration import (
    CellConfiguration,
    ConfigurationFreshness,
    ConfigurationReader,
)
from marigoldlift.platform.front import ClientRequestHandler
from marigoldlift.platform.node_settings import NodeSettings
from marigoldlift.platform.servers import (
    DrainingServer,
    PeerCalls,
    PeerRequestHandler,
    PlacementRequests,
    listen,
    listen_draining,
    ready_handler,
    text_handler,
)
from marigoldlift.platform.settings_watch import SettingsWatcher
from marigoldlift.platform.store import OPERATORS_TOPIC, WORK_TOPIC, WORKERS_TOPIC, PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.workers import PlatformWorkers, decode_worker
from marigoldlift.replication.replica import Replica
from marigoldlift.telemetry.logs import configure_logging
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now, monotonic_now

__all__ = ('Entry', 'run_cell_entry')

#: Port of the metrics, as deploy/system.toml names it.
METRICS_PORT = 7720

#: Shortest pause between two reads of the operators' log, in s: each read has a cost.
OPERATORS_READ_INTERVAL_S = 0.1

#: How long a leader that is asked to stop keeps the leadership, in s, and part of the grace time that it leaves for what
#: comes after. In a rolling restart its successors are stopped one after the other, and each change of the leader
#: delays all work.
KEEP_LEADERSHIP_S = 2.5
AFTER_LEADERSHIP_S = 3.5

#: Age of the store's last answer above which the entry is not ready, in s; reads wait for up to 1 s.
STALE_AFTER_S = 2.5


class Entry:
    """One entry of the cell.

    Attributes:
        watch: watches the settings file; set before the entry runs.
    """

    watch: SettingsWatcher

    def __init__(self, settings: NodeSettings) -> None:
        """Build the components."""
        self.settings = settings
        self.calls = HttpClient()
        own_address = settings.peer_address
        self.route = StoreRoute(self.calls, settings.store_address, own_address, monotonic_now)
        self.route.add_peers(settings.seeds)
        self.metrics = Metrics()
        self.advice = PlatformAdvice(self.calls, settings.advice_address, own_address)
        self.node = self.build_node()
        self.node.workspaces.share_limits = settings.shares
        self.peer_server = PeerRequestHandler(
            self.route, self.advice, self.node.appender, self.node.replica.contact.was_away
        )
        self.node.peer_observers.append(self.route.add_peer)
        for seed in settings.seeds:
            self.node.broker.note_relay(seed)
        reader = ConfigurationReader(self.configure, settings.needs_keys)
        operators = PlatformLog(self.route, OPERATORS_TOPIC, self.metrics)
        self.operators = Replica(
            operators,
            reader.apply,
            monotonic_now,
            OPERATORS_READ_INTERVAL_S,
            self.node.faults,
            newest_suffices=True,
        )
        self.freshness = ConfigurationFreshness(self.operators, monotonic_now, settings)
        self.node.workspaces.read_at = self.configuration_read_at
        self.front = ClientRequestHandler(
            self.node.acceptance, own_address, self.freshness, self.metrics
        )
        self.peer_server.explain = PlacementRequests(
            self.node, lambda: self.front.configuration, self.calls
        ).answer
        self.stopping = asyncio.Event()

    def build_node(self) -> CellNode:
        """Return the cell node, connected to the platform's services."""
        settings = self.settings
        candidate = Candidate(
            node=settings.node,
            life=uuid.uuid4().hex,
            failure_domain=settings.failure_domain,
            address=settings.peer_address,
            cores=settings.cores,
        )
        parts = NodeParts(
            log=PlatformLog(self.route, WORK_TOPIC, self.metrics),
            workers_log=PlatformLog(self.route, WORKERS_TOPIC, self.metrics),
            decode_worker=decode_worker,
            calls=PlatformWorkers(self.calls),
            advice=self.advice,
            metrics=self.metrics,
            is_indirect=self.route.is_relayed,
            leader_calls=PeerCalls(self.calls),
        )
        limits = NodeLimits(
            settings.longest_lease_s,
            settings.gang_wait_s,
            settings.outcome_kept_s,
            settings.learns_run_times,
        )
        return CellNode(candidate, parts, limits, monotonic_now)

    def configure(self, configuration: CellConfiguration) -> None:
        """Apply a new configuration."""
        self.front.configuration = configuration
        self.node.workspaces.replace(configuration.version, configuration.workspaces)
        self.metrics.set(Metric.configuration_version, configuration.version)
        self.metrics.set(Metric.configuration_workspaces, len(configuration.workspaces))
        self.metrics.set(Metric.configuration_keys, configuration.key_count)

    def configuration_read_at(self) -> float:
        """Return when the newest read that reached the end of the operators' log was sent, in s of the monotonic clock."""
        return self.operators.confirmed_at

    def render_metrics(self) -> str:
        """Return all metrics as text."""
        self.node.set_gauges()
        age_s = monotonic_now() - self.operators.contact.last_response_at
        self.metrics.set(Metric.log_age, age_s, stream='operators')
        return self.metrics.render()

    def is_stale(self) -> bool:
        """Return whether the store's last answer is older than `STALE_AFTER_S`, or a newer configuration is not read."""
        if self.freshness.is_outdated():
            return True
        last_response_at = min(
            self.node.replica.contact.last_response_at, self.operators.contact.last_response_at
        )
        return monotonic_now() - last_response_at > STALE_AFTER_S

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers."""
        if self.front.leaving or self.front.configuration is None:
            return False
        return self.node.replica.ready.is_set() and not self.is_stale()

    async def run(self) -> None:
        """Serve until asked to stop."""
        self.follow_signals()
        peers = await listen_draining(self.settings.peer_address, self.peer_server.handle)
        callers = await listen_draining(self.settings.caller_address, self.front.handle)
        servers = [
            await listen(self.settings.ready_address, ready_handler(self.is_ready)),
            await listen(f'{self.settings.ip}:{METRICS_PORT}', text_handler(self.render_metrics)),
        ]
        tasks = [
            asyncio.create_task(work)
            for work in (*self.node.loops(), self.operators.run(), self.watch.run())
        ]
        for task in tasks:
            task.add_done_callback(exit_on_failure)
        gc.freeze()
        await self.stopping.wait()
        until = await self.drain(callers, peers)
        # Also a leader whose token was refused, which has no tenure to hand over, may know of ends that are not stored.
        self.node.stop_dispatching()
        await self.node.done_reports.wait_until_stored(until)
        for server in servers:
            server.close()
        for ended in tasks:
            ended.cancel()
        await self.calls.close()

    async def drain(self, callers: DrainingServer, peers: DrainingServer) -> float:
        """Finish the requests of callers, then those of other entries, while the leadership is handed over.

        Returns:
            Time of the event loop's clock at which the process has to exit.
        """
        logger.info('stop requested: leading={}', self.node.election.tenure is not None)
        self.front.leaving = True
        retirement = asyncio.create_task(self.retire())
        until = await callers.drain(self.settings.grace_s)
        await retirement
        self.peer_server.leaving = True
        await peers.close_gracefully(until)
        return until

    def follow_signals(self) -> None:
        """Stop at SIGTERM, and read the settings file again at SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.watch.check_requested.set)

    async def retire(self) -> None:
        """Hand the leadership over, after a while in which this entry goes on serving."""
        self.node.election.candidacy = Candidacy.stopping
        await asyncio.sleep(
            min(KEEP_LEADERSHIP_S, max(0, self.settings.grace_s - AFTER_LEADERSHIP_S))
        )
        asked_at = loop_now()
        await self.node.election.retire()
        logger.info('leadership handed over: took_s={:.3f}', loop_now() - asked_at)

    def reconfigure(self, settings: NodeSettings) -> None:
        """Apply changed addresses of the platform and new seeds; other settings take effect at the next start."""
        self.route.address = settings.store_address
        self.advice.address = settings.advice_address
        self.route.add_peers(settings.seeds)


def run_cell_entry(settings: NodeSettings, path: Path, text: str) -> None:
    """Run an entry until it is asked to stop.

    Args:
        settings: parsed settings.
        path: the settings file.
        text: content of the settings file.
    """
    configure_logging('info', VmId(settings.node), Incarnation(uuid.uuid4().hex))
    asyncio.run(serve(settings, path, text))


async def serve(settings: NodeSettings, path: Path, text: str) -> None:
    """Build an entry within the loop and run it."""
    entry = Entry(settings)
    entry.watch = SettingsWatcher(path, text, entry.reconfigure)
    await entry.run()
    ignore_signals()


def ignore_signals() -> None:
    """Ignore further signals: closing the loop would restore the default handlers, which kill the process."""
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGHUP):
        loop.remove_signal_handler(signum)
        signal.signal(signum, signal.SIG_IGN)
