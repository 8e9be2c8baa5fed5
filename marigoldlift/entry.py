"""The entry daemon: wiring of its components, start and graceful stop."""

import asyncio
import secrets
import signal
import socket

from aiohttp import web
from loguru import logger

from marigoldlift.callers.routes import AdmissionLimit, CallerRoutes, typed_errors
from marigoldlift.ids import Incarnation
from marigoldlift.operators.routes import PREFIX, operator_app
from marigoldlift.peers.service import PeerServer
from marigoldlift.platform.http_calls import open_session
from marigoldlift.settings.settings import Settings
from marigoldlift.telemetry.logs import configure_logging
from marigoldlift.util import MS_PER_S, loop_now, wall_ms
from marigoldlift.wiring.identity import common_of
from marigoldlift.wiring.services import EntryServices

__all__ = ('Entry', 'run_entry')

INCARNATION_BYTES = 4

#: Digits of the start time in an incarnation; wide enough that incarnations sort by time as strings.
TIME_DIGITS = 14

#: Time between the announcement of a stop and the end of the listeners, in seconds: the load
#: balancer and the other entries stop sending in the meantime, and requests still sent are served.
LISTENER_CLOSE_DELAY_S = 2.0

DRAIN_POLL_S = 0.02

#: Connections to one worker or service of the platform; below the 64 that a worker accepts, since those of a
#: former owner may still be open.
HOST_CONNECTIONS = 48

#: Length of the queue of connections that are not accepted yet.
BACKLOG = 1024


class Entry:
    """Process of one entry VM."""

    def __init__(self, settings: Settings, incarnation: Incarnation) -> None:
        """Store the settings; `incarnation` differs from that of any earlier start."""
        self.settings = settings
        self.incarnation = incarnation
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until a stop is requested, then stop gracefully."""
        http_socket = listening_socket(self.settings.http_listen)
        grpc_socket = listening_socket(self.settings.grpc_listen)
        async with open_session(HOST_CONNECTIONS) as session:
            common = common_of(
                self.settings,
                self.incarnation,
                session,
                port_of(http_socket),
                port_of(grpc_socket),
            )
            await self.serve(EntryServices(common), http_socket, grpc_socket)

    async def serve(
        self,
        services: EntryServices,
        http_socket: socket.socket,
        grpc_socket: socket.socket,
    ) -> None:
        """Run listeners and background work until the stop."""
        peer_server = PeerServer(services.peer_handlers())
        await peer_server.start(grpc_socket)
        runner = await self.start_http(services, http_socket)
        background = [asyncio.create_task(work) for work in services.background()]
        for task in background:
            task.add_done_callback(self.on_background_end)
        logger.info(
            'entry started', http=services.common.http_address, grpc=services.common.grpc_address
        )
        await self.stopping.wait()
        await self.drain(services, runner, peer_server)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        services.close()

    def on_background_end(self, task: asyncio.Task[None]) -> None:
        """Stop the entry if background work raises, so that no partially working entry keeps serving."""
        if not task.cancelled() and task.exception() is not None:
            logger.error('background work failed: {!r}', task.exception())
            self.stopping.set()

    async def start_http(self, services: EntryServices, listener: socket.socket) -> web.AppRunner:
        """Start the HTTP server of callers and operators."""
        limits = self.settings.limits
        admission = AdmissionLimit(services.connection_limit, PREFIX)
        app = web.Application(
            client_max_size=limits.max_body_bytes,
            middlewares=[typed_errors, admission.admit],
        )
        CallerRoutes(services.callers(), services.common.tracing).add_to(app)
        app.add_subapp(PREFIX, operator_app(services.operators(), limits.max_body_bytes))
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=limits.drain_ms / MS_PER_S,
        )
        await runner.setup()
        await web.SockSite(runner, listener).start()
        return runner

    async def drain(
        self, services: EntryServices, runner: web.AppRunner, peer_server: PeerServer
    ) -> None:
        """Stop gracefully: accept no new work, and finish work in progress."""
        logger.info('entry is stopping')
        services.leaving = True
        await services.membership.heartbeats.announce()
        released = asyncio.create_task(services.workers.ownership.leave())
        await asyncio.sleep(LISTENER_CLOSE_DELAY_S)
        await runner.cleanup()
        await self.wait_for_work(services, peer_server)
        await released
        await peer_server.stop()
        logger.info('entry stopped')

    async def wait_for_work(self, services: EntryServices, peer_server: PeerServer) -> None:
        """Wait for dispatched requests, peers' calls and actions on workers, up to the drain time limit."""
        deadline_s = loop_now() + self.settings.limits.drain_ms / MS_PER_S
        while services.in_progress() or peer_server.in_progress():
            if loop_now() > deadline_s:
                logger.error('work was still in progress at the end of the drain time')
                return
            await asyncio.sleep(DRAIN_POLL_S)


def listening_socket(address: str) -> socket.socket:
    """Return a listening socket for `IP:port`.

    The protocol is given explicitly, since asyncio sets TCP_NODELAY only on connections of such sockets;
    without it an answer can wait 40 ms for the peer's delayed acknowledgement.
    """
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip('[]'), int(port)))
    listener.listen(BACKLOG)
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port of a socket, which the operating system chose if the settings specify 0."""
    return listener.getsockname()[1]


def new_incarnation() -> Incarnation:
    """Return an incarnation that sorts after those of earlier starts."""
    started_ms = str(wall_ms()).zfill(TIME_DIGITS)
    return Incarnation(f'{started_ms}-{secrets.token_hex(INCARNATION_BYTES)}')


async def run_until_signal(settings: Settings, incarnation: Incarnation) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    entry = Entry(settings, incarnation)
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, entry.stopping.set)
    await entry.run()


def run_entry(settings: Settings) -> int:
    """Run an entry to its end and return the exit code."""
    incarnation = new_incarnation()
    configure_logging(settings.logging.level.value, settings.vm_id, incarnation)
    asyncio.run(run_until_signal(settings, incarnation))
    return 0
