"""Sending of heartbeats to other entries, and polling of the VM list."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from marigoldlift.errors import PeerUnavailableError, PlatformError
from marigoldlift.membership.table import MemberTable
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.messages import Heartbeat
from marigoldlift.platform.api import VmDirectory
from marigoldlift.platform.messages import VmSnapshot
from marigoldlift.util import loop_now

__all__ = ('HeartbeatSender', 'HeartbeatTimes', 'VmListReader')

#: Consecutive missed heartbeats after which the connection to the peer is closed and reopened.
RESET_AFTER_MISSES = 2


class HeartbeatTimes(msgspec.Struct, frozen=True):
    """Periods of heartbeats and of VM list polls.

    Attributes:
        local_s: seconds between heartbeats to an entry of the same failure domain.
        remote_s: seconds between heartbeats to an entry of another failure domain.
        list_s: seconds between polls of the VM list.
    """

    local_s: float = 0.5
    remote_s: float = 2
    list_s: float = 2


class HeartbeatSender:
    """Sends this entry's heartbeat periodically to each known address.

    Attributes:
        due: loop time of the next heartbeat, by address.
        misses: consecutive missed heartbeats, by address.
        in_flight: addresses whose reply is pending.
    """

    def __init__(
        self,
        table: MemberTable,
        clients: PeerClients,
        describe: Callable[[], Heartbeat],
        times: HeartbeatTimes,
    ) -> None:
        """Create the sender; `describe` returns this entry's current heartbeat."""
        self.table = table
        self.clients = clients
        self.describe = describe
        self.times = times
        self.due: dict[str, float] = {}
        self.misses: dict[str, int] = {}
        self.in_flight: set[str] = set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.send_due(group)
                await asyncio.sleep(self.times.local_s / 4)

    def send_due(self, group: asyncio.TaskGroup) -> None:
        """Remove silent members and start a task for each heartbeat that is due."""
        now_s = loop_now()
        self.remove_silent(now_s)
        addresses = self.table.addresses()
        for address, local in addresses.items():
            if address in self.in_flight or self.due.get(address, 0) > now_s:
                continue
            period_s = self.times.local_s if local else self.times.remote_s
            self.due[address] = now_s + period_s
            self.in_flight.add(address)
            group.create_task(self.send(address, period_s))

    async def send(self, address: str, timeout_s: float) -> None:
        """Send this entry's heartbeat to a peer and apply the heartbeat that it replies with."""
        try:
            reply = await self.clients.call(address, 'Heartbeat', self.describe(), timeout_s)
        except PeerUnavailableError:
            self.count_miss(address)
        else:
            self.misses.pop(address, None)
            self.table.observe(reply, loop_now())
        finally:
            self.in_flight.discard(address)

    async def announce(self) -> None:
        """Send a heartbeat to every member at once, for example when this entry is leaving."""
        addresses = [member.heartbeat.address for member in self.table.members.values()]
        await asyncio.gather(*(self.send(address, self.times.local_s) for address in addresses))

    def count_miss(self, address: str) -> None:
        """Count a missed heartbeat; reset the connection after every `RESET_AFTER_MISSES` in a row."""
        misses = self.misses.get(address, 0) + 1
        self.misses[address] = misses
        if misses % RESET_AFTER_MISSES == 0:
            self.clients.reset(address)

    def remove_silent(self, now_s: float) -> None:
        """Remove members that have been silent for too long, with their connection and counters."""
        for member in self.table.expire(now_s):
            address = member.heartbeat.address
            logger.warning('member removed after silence', member=member.vm_id)
            self.clients.reset(address)
            self.due.pop(address, None)
            self.misses.pop(address, None)


class VmListReader:
    """Polls the VM list and passes each list that was read to the listeners.

    Attributes:
        reachable: whether the latest poll succeeded.
    """

    def __init__(
        self,
        directory: VmDirectory,
        listeners: tuple[Callable[[VmSnapshot], None], ...],
        period_s: float,
    ) -> None:
        """Create the reader; `period_s` is the pause between two polls, in seconds."""
        self.directory = directory
        self.listeners = listeners
        self.period_s = period_s
        self.reachable = False

    async def run(self) -> None:
        """Poll the list until cancelled; the last list that was read stays in effect during an outage."""
        while True:
            await self.read_once()
            await asyncio.sleep(self.period_s)

    async def read_once(self) -> None:
        """Poll the list once; a failure is logged and the listeners are not called."""
        try:
            snapshot = await self.directory.list_vms()
        except PlatformError as error:
            self.reachable = False
            logger.warning('reading the VM list failed: {}', error.reason)
            return
        self.reachable = True
        for listener in self.listeners:
            listener(snapshot)
