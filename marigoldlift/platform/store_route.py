"""The way to the platform's store: direct, or through an entry that the store still serves."""

import random
from collections.abc import Callable, Iterable

from loguru import logger

from marigoldlift.platform.calls import CallUnansweredError, HttpCalls, Reply

__all__ = ('RELAY_PREFIX', 'StoreRoute')

#: Prefix under which an entry passes calls on to the store.
RELAY_PREFIX = '/store'

#: How long the direct way is left alone after a failure, in s; each try of it may cost a whole time-out.
DIRECT_PAUSE_S = 1.0

#: How long an entry is left alone that could not pass a call on, in s.
PEER_PAUSE_S = 2.0

#: Status by which an entry says that its own way to the store fails as well.
BAD_GATEWAY = 502

#: Answers of the store that mean that it turns this VM away; nothing was done.
TURNED_AWAY = frozenset((429, 503))

#: Status by which the store says that more is stored than it takes.
UNAVAILABLE = 503


class StoreRoute:
    """Makes calls to the store.

    The store may turn some VMs away while it serves others. A call is passed on by an entry that it serves; a call
    whose fate is unknown is repeated only by its caller, who knows whether that is safe.

    Attributes:
        address: where the store listens.
        direct_after: when the direct way is tried again, in seconds of the steady clock.
        peers: addresses of other entries, with the time from which each may be asked.
        relayed: calls that went through another entry.
    """

    def __init__(
        self, calls: HttpCalls, address: str, own_address: str, clock: Callable[[], float]
    ) -> None:
        """Start with the direct way alone."""
        self.calls = calls
        self.address = address
        self.own_address = own_address
        self.clock = clock
        self.direct_after: float = 0
        self.peers: dict[str, float] = {}
        self.relayed = 0

    def learn(self, addresses: Iterable[str]) -> None:
        """Note other entries."""
        for address in addresses:
            self.learn_one(address)

    def learn_one(self, address: str) -> None:
        """Note another entry."""
        if address and address != self.own_address:
            self.peers.setdefault(address, 0)

    @property
    def is_direct(self) -> bool:
        """Tell whether the direct way is in use."""
        return self.clock() >= self.direct_after

    async def call(self, method: str, path: str, body: bytes, wait_s: float) -> Reply:
        """Make a call by the best way known.

        Raises:
            CallUnansweredError: no answer, by the way that was tried last.
        """
        if self.is_direct:
            reply = await self.call_direct(method, path, body, wait_s)
            if reply.status not in TURNED_AWAY:
                return reply
            self.leave_direct(f'answered {reply.status}')
        return await self.call_peer(method, path, body, wait_s)

    async def call_direct(self, method: str, path: str, body: bytes, wait_s: float) -> Reply:
        """Make a call over the direct way."""
        try:
            return await self.calls.call(method, f'http://{self.address}{path}', body, {}, wait_s)
        except CallUnansweredError as fault:
            self.leave_direct(str(fault))
            raise

    def leave_direct(self, reason: str) -> None:
        """Use other entries for a while."""
        logger.info('store turns this entry away: {}', reason)
        self.direct_after = self.clock() + DIRECT_PAUSE_S

    async def call_peer(self, method: str, path: str, body: bytes, wait_s: float) -> Reply:
        """Let another entry make a call; without one nothing was done."""
        now = self.clock()
        usable = [address for address, after in self.peers.items() if after <= now]
        if not usable:
            return Reply(UNAVAILABLE, b'')
        peer = random.choice(usable)
        self.relayed += 1
        try:
            reply = await self.calls.call(
                method, f'http://{peer}{RELAY_PREFIX}{path}', body, {}, wait_s
            )
        except CallUnansweredError:
            self.peers[peer] = self.clock() + PEER_PAUSE_S
            raise
        if reply.status == BAD_GATEWAY:
            self.peers[peer] = self.clock() + PEER_PAUSE_S
            raise CallUnansweredError('the other entry got no answer', was_sent=True)
        if reply.status in TURNED_AWAY:
            self.peers[peer] = self.clock() + PEER_PAUSE_S
        return reply

    async def pass_on(self, method: str, path: str, body: bytes, wait_s: float) -> Reply:
        """Make a call for another entry, over the direct way only."""
        if not self.is_direct:
            return Reply(UNAVAILABLE, b'')
        try:
            return await self.call_direct(method, path, body, wait_s)
        except CallUnansweredError as fault:
            return Reply(BAD_GATEWAY if fault.was_sent else UNAVAILABLE, b'')
