"""An entry: the product's own parts, connected by in-memory wires."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from marigoldlift.errors import PeerUnavailableError
from marigoldlift.ids import KeyId
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.membership.heartbeats import VmListReader
from marigoldlift.peers.messages import ExecuteReply
from marigoldlift.peers.relay import MemberRelay
from marigoldlift.peers.service import METHODS
from marigoldlift.platform.messages import VmSnapshot
from marigoldlift.settings.settings import Settings
from marigoldlift.wiring.identity import Common, common_of
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.services import EntryServices
from marigoldlift.wiring.streams import StreamsPart, replica_settings
from marigoldlift.wiring.workers import WorkersPart

from tests.model.clock import Gate, ModelLoop
from tests.model.network import LostCallError, Network
from tests.model.platform import LogPort, ModelDirectory, ModelLog, ModelWorker, WorkerPort

__all__ = ('DOMAIN', 'ModelEntry', 'Environment', 'entry_settings')

DOMAIN = 'recife'
PORT = 7000


class Environment(msgspec.Struct):
    """Network, log, workers and other entries that an entry can call.

    Attributes:
        entries: running entries by address; killed ones are removed.
    """

    network: Network
    log: ModelLog
    workers: dict[str, ModelWorker]
    vm_list: VmSnapshot
    entries: dict[str, 'ModelEntry']


class WiredPeers:
    """In-memory calls to other entries; messages are encoded as on the network."""

    def __init__(self, name: str, environment: Environment) -> None:
        """Create the client of the entry with this name."""
        self.name = name
        self.environment = environment

    async def call(self, address: str, name: str, request: Any, timeout_s: float) -> Any:
        """Call a method of a peer.

        Raises:
            PeerUnavailableError: the peer gave no answer.
        """
        method = METHODS[name]
        wire = self.environment.network.wire(self.name, name_at(address))
        message = msgspec.msgpack.encode(request)
        try:
            answer = await wire.call(
                name, partial(self.deliver, address, name, message), timeout_s
            )
        except LostCallError as lost:
            raise PeerUnavailableError(lost.reason, may_have_run=lost.may_have_run) from None
        return msgspec.msgpack.decode(answer, type=method.reply)

    async def deliver(self, address: str, name: str, message: bytes) -> bytes:
        """Let the peer handle a message and return its encoded answer."""
        peer = self.environment.entries.get(address)
        if peer is None:
            raise LostCallError('no running entry at this address', may_have_run=False)
        request = msgspec.msgpack.decode(message, type=METHODS[name].request)
        return msgspec.msgpack.encode(await peer.serve(peer.handlers[name], request))

    def reset(self, address: str) -> None:
        """Do nothing: wires are never reconnected."""

    def close(self) -> None:
        """Do nothing."""


class WiredMembership(MembershipPart):
    """Membership part that calls other entries over wires."""

    def __init__(self, common: Common, describe: Callable, environment: Environment) -> None:
        """Create the part."""
        super().__init__(common, describe)
        self.clients = WiredPeers(common.vm_id, environment)
        self.heartbeats.clients = self.clients


class WiredStreams(StreamsPart):
    """Streams part whose replicas use the in-memory log."""

    def __init__(
        self, common: Common, membership: MembershipPart, environment: Environment
    ) -> None:
        """Create the part."""
        self.port = LogPort(environment.log, environment.network.wire(common.vm_id, 'log'))
        super().__init__(common, membership)

    def replica(self, stream, machine, pace_s) -> StreamReplica:
        """Create the replica of one stream."""
        return StreamReplica(
            self.port,
            stream,
            self.common.holder,
            machine,
            MemberRelay(self.membership.members, self.membership.clients),
            pace=pace_s,
            settings=replica_settings(self.common.settings.journal),
        )


class WiredWorkers(WorkersPart):
    """Workers part that owns in-memory workers."""

    def __init__(
        self,
        common: Common,
        membership: MembershipPart,
        streams: StreamsPart,
        dispatching: set[KeyId],
        environment: Environment,
    ) -> None:
        """Create the part."""
        self.environment = environment
        super().__init__(common, membership, streams, dispatching)
        self.vm_list = VmListReader(
            ModelDirectory(environment.vm_list),
            (self.take_vm_list,),
            membership.heartbeats.times.list_s,
        )

    def connect(self, vm) -> WorkerPort:
        """Return the API client of a worker."""
        wire = self.environment.network.wire(self.common.vm_id, vm.vm_id)
        return WorkerPort(self.environment.workers[vm.vm_id], wire)


class WiredServices(EntryServices):
    """The parts of an entry, connected as in the daemon."""

    def __init__(self, common: Common, environment: Environment) -> None:
        """Create and connect the parts."""
        self.environment = environment
        super().__init__(common)

    def new_membership(self) -> MembershipPart:
        """Create the part that calls other entries over wires."""
        return WiredMembership(self.common, self.describe, self.environment)

    def new_streams(self) -> StreamsPart:
        """Create the part that uses the in-memory log."""
        return WiredStreams(self.common, self.membership, self.environment)

    def new_workers(self, dispatching: set[KeyId]) -> WorkersPart:
        """Create the part that uses in-memory workers."""
        return WiredWorkers(
            self.common,
            self.membership,
            self.streams,
            dispatching,
            self.environment,
        )


class ModelEntry:
    """One incarnation of an entry process."""

    def __init__(
        self, name: str, incarnation: str, environment: Environment, loop: ModelLoop
    ) -> None:
        """Start the process."""
        self.name = name
        self.environment = environment
        self.gate = Gate(loop)
        environment.network.new_process(name, self.gate)
        self.serving: set[asyncio.Future[Any]] = set()
        common = common_of(entry_settings(name), incarnation, None, PORT, PORT)
        self.address = common.grpc_address
        self.services = self.gate.context.copy().run(WiredServices, common, environment)
        self.handlers = self.services.peer_handlers()
        self.background = [self.gate.spawn(work) for work in self.services.background()]
        environment.entries[self.address] = self

    async def serve(self, handler: Callable[[Any], Awaitable[Any]], request: Any) -> Any:
        """Handle a call within this process and return the answer; the call is lost if the process dies."""
        answer = asyncio.get_running_loop().create_future()
        self.serving.add(answer)
        self.gate.spawn(self.answer(handler, request, answer))
        outcome = await answer
        self.serving.discard(answer)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def answer(self, handler, request, answer) -> None:
        """Run a handler; an exception breaks the call, as an unexpected error in the daemon does."""
        try:
            outcome = await handler(request)
        except Exception as error:
            self.gate.loop.faults.append(f'handler failed: {error!r}')
            outcome = LostCallError(repr(error), may_have_run=True)
        if not answer.done():
            answer.set_result(outcome)

    async def execute(self, request) -> ExecuteReply:
        """Handle a request of a caller."""
        return await self.serve(self.services.requests.router.execute, request)

    async def submit(self, request) -> ExecuteReply:
        """Handle a job of a caller."""
        return await self.serve(self.services.jobs.submission.submit, request)

    async def cancel(self, request) -> ExecuteReply:
        """Handle a cancellation of a caller."""
        return await self.serve(self.services.jobs.submission.cancel, request)

    def kill(self) -> None:
        """End the process at once."""
        self.gate.kill()
        self.environment.entries.pop(self.address)
        for answer in self.serving:
            if not answer.done():
                answer.set_result(LostCallError('entry died', may_have_run=True))

    def faults(self) -> list[str]:
        """Return the errors of background tasks that should run for ever but have ended."""
        return [
            f'{self.name}: {task.exception()!r}'
            for task in self.background
            if task.done() and not task.cancelled()
        ]


def name_at(address: str) -> str:
    """Return the name of the entry at an address."""
    return address.partition(':')[0]


def entry_settings(name: str) -> Settings:
    """Return the settings of an entry, with the product's default times."""
    return Settings(
        vm_id=name,
        failure_domain=DOMAIN,
        region='nordeste',
        failure_domains=(DOMAIN,),
        rack='r0',
        http_listen=f'{name}:{PORT}',
        grpc_listen=f'{name}:{PORT}',
        http_advertise=f'{name}:{PORT}',
        grpc_advertise=f'{name}:{PORT}',
        log_address=f'127.0.0.1:{PORT}',
        vm_list_address=f'127.0.0.1:{PORT}',
    )
