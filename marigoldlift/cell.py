"""An entry on the platform: wires its parts together, serves, and stops in order."""

import asyncio
import gc
import os
import signal
import uuid

from loguru import logger

from marigoldlift.ids import Incarnation, VmId
from marigoldlift.leadership.election import Candidate, Election
from marigoldlift.platform.advice import PlatformAdvice
from marigoldlift.platform.calls import HttpCalls
from marigoldlift.platform.configuration import CellConfiguration, ConfigurationReader
from marigoldlift.platform.front import Front
from marigoldlift.platform.node_settings import NodeSettings
from marigoldlift.platform.servers import PeerServer, listen, ready_handler
from marigoldlift.platform.store import PlatformLog
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.workers import PlatformWorkers, decode_worker
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.scheduling.advice import AdviceBroker
from marigoldlift.scheduling.dispatcher import Dispatcher, DispatcherParts
from marigoldlift.scheduling.registry import Registry
from marigoldlift.submissions.acceptance import Acceptance
from marigoldlift.submissions.records import Accepted, Leadership, Record
from marigoldlift.submissions.state import CellState
from marigoldlift.telemetry.logs import configure_logging
from marigoldlift.util import steady_now

__all__ = ('Entry', 'run_cell_entry')

#: Topics: the product's own records, what operators write, and the platform's list of workers.
WORK_TOPIC = 'keyed.work'
OPERATORS_TOPIC = 'keyed.op'
WORKERS_TOPIC = 'keyed.servers'

#: Shortest pauses between two reads of a topic, in s: each read is priced.
LEADER_PACE_S = 0.025
FOLLOWER_PACE_S = 0.25
OPERATORS_PACE_S = 0.1
WORKERS_PACE_S = 0.4
IDLE_WORKERS_PACE_S = 1.0

#: Age of the store's last answer from which the entry is not ready, in s; reads wait for 1 s.
STALE_S = 2.5

#: How long an entry goes on serving after it was asked to stop, in s; the balancer needs two misses of 1 s.
DRAIN_S = 3.0

#: Pause between two looks at the requests under way, in s.
DRAIN_TICK_S = 0.05

#: Pause between two looks at the settings file, in s; it may change without a signal.
SETTINGS_PACE_S = 1.0


class Entry:
    """One entry of the cell."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build the parts."""
        self.settings = settings
        self.calls = HttpCalls()
        self.state = CellState(steady_now)
        self.route = StoreRoute(
            self.calls, settings.store_address, settings.peer_address, steady_now
        )
        self.route.learn(settings.seeds)
        work = PlatformLog(self.route, WORK_TOPIC)
        operators = PlatformLog(self.route, OPERATORS_TOPIC)
        workers = PlatformLog(self.route, WORKERS_TOPIC)
        self.appender = Appender(work, settings.node, steady_now)
        self.replica = Replica(work, self.state.apply, steady_now, FOLLOWER_PACE_S)
        self.reader = ConfigurationReader(self.configure)
        self.operators = Replica(operators, self.reader.apply, steady_now, OPERATORS_PACE_S)
        self.registry = Registry(decode_worker)
        self.listing = Replica(workers, self.registry.apply, steady_now, IDLE_WORKERS_PACE_S)
        self.listing.reset_observers.append(self.registry.reset)
        self.advice = PlatformAdvice(self.calls, settings.advice_address, settings.peer_address)
        acceptance = Acceptance(self.state, self.appender, self.replica, steady_now)
        self.front = Front(acceptance, settings.peer_address, self.is_stale)
        candidate = Candidate(
            node=settings.node,
            life=uuid.uuid4().hex,
            failure_domain=settings.failure_domain,
            address=settings.peer_address,
            cores=settings.cores,
        )
        self.election = Election(candidate, self.appender, self.replica, steady_now)
        self.election.on_change.append(self.follow_leadership)
        self.dispatcher: Dispatcher | None = None
        self.dispatching: asyncio.Task[None] | None = None
        self.state.observers.append(self.observe)
        self.stopping = asyncio.Event()

    def configure(self, configuration: CellConfiguration) -> None:
        """Put a configuration in force."""
        self.front.configuration = configuration

    def is_stale(self) -> bool:
        """Tell whether the store has not answered for a while."""
        fresh_at = min(self.replica.fresh_at, self.operators.fresh_at)
        return steady_now() - fresh_at > STALE_S

    def is_ready(self) -> bool:
        """Tell whether callers are well served here."""
        loaded = self.replica.ready.is_set() and self.front.configuration is not None
        return loaded and not self.is_stale() and not self.front.leaving

    def observe(self, offset: int, record: Record) -> None:
        """Pass a record on to the election and to the tenure that runs."""
        if isinstance(record, Accepted):
            self.route.learn((record.submission.relay,))
        elif isinstance(record, Leadership):
            self.route.learn((record.address,))
        self.election.observe(offset, record)
        if self.dispatcher is not None:
            self.dispatcher.observe(offset, record)

    def follow_leadership(self) -> None:
        """Begin or end the tenure of this entry."""
        if self.dispatching is not None:
            self.dispatching.cancel()
        self.dispatcher = None
        self.dispatching = None
        tenure = self.election.tenure
        self.replica.pace_s = FOLLOWER_PACE_S if tenure is None else LEADER_PACE_S
        self.listing.pace_s = IDLE_WORKERS_PACE_S if tenure is None else WORKERS_PACE_S
        if tenure is not None:
            self.dispatcher = Dispatcher(self.parts(), tenure)
            self.dispatching = asyncio.create_task(self.dispatcher.run())
            self.dispatching.add_done_callback(report_end)

    def parts(self) -> DispatcherParts:
        """Return what a tenure works with."""
        return DispatcherParts(
            state=self.state,
            replica=self.replica,
            registry=self.registry,
            calls=PlatformWorkers(self.calls),
            appender=self.appender,
            broker=AdviceBroker(self.advice, self.settings.peer_address, steady_now),
            election=self.election,
            clock=steady_now,
            lease_s=self.settings.longest_lease_s,
            gang_wait_s=self.settings.gang_wait_s,
        )

    async def run(self) -> None:
        """Serve until asked to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        servers = [
            await listen(self.settings.caller_address, self.front.handle),
            await listen(self.settings.ready_address, ready_handler(self.is_ready)),
            await listen(self.settings.peer_address, PeerServer(self.route, self.advice).handle),
        ]
        loops = (
            self.appender.run(),
            self.replica.run(),
            self.operators.run(),
            self.listing.run(),
            self.campaign(),
        )
        tasks = [asyncio.create_task(work) for work in loops]
        for task in tasks:
            task.add_done_callback(report_end)
        gc.freeze()
        await self.stopping.wait()
        await self.drain()
        for server in servers:
            server.close()
        for task in tasks:
            task.cancel()
        await self.calls.close()

    async def campaign(self) -> None:
        """Take part in the election once the log is known."""
        await self.replica.ready.wait()
        await self.listing.ready.wait()
        await self.election.run()

    async def drain(self) -> None:
        """Hand the leadership over, and serve until callers have gone elsewhere."""
        logger.info('stop requested: leading={}', self.election.tenure is not None)
        self.front.leaving = True
        await self.election.retire()
        await asyncio.sleep(DRAIN_S)
        while self.front.under_way:
            await asyncio.sleep(DRAIN_TICK_S)
        logger.info('stopped')

    def reload(self) -> None:
        """Read the settings file again."""
        logger.info('settings reload requested')


def report_end(task: asyncio.Task[None]) -> None:
    """Log a loop that has ended by a fault, and end the process so that it starts anew."""
    if task.cancelled() or task.exception() is None:
        return
    logger.opt(exception=task.exception()).critical('loop ended by a fault')
    os._exit(1)


def run_cell_entry(settings: NodeSettings) -> None:
    """Run an entry until it is asked to stop."""
    configure_logging('info', VmId(settings.node), Incarnation(uuid.uuid4().hex))
    asyncio.run(serve(settings))


async def serve(settings: NodeSettings) -> None:
    """Build an entry within the loop and run it."""
    await Entry(settings).run()
