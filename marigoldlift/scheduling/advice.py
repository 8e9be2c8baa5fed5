"""Calls to the placement advice, spread over the entries since it serves one call at a time for each."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.submissions.model import AdvicePolicy

__all__ = (
    'ANSWER_MARGIN_S',
    'FIRST_PAUSE_S',
    'MAX_QUEUE_S',
    'AdviceBroker',
    'AdviceRelay',
    'Booking',
)

MS_PER_S = 1000

#: Added to the computed time of a call before it counts as unanswered, in s; a VM that runs 5 times slower than usual
#: needs 0.1 s to pass a call on.
ANSWER_MARGIN_S = 0.4

#: How long an entry that failed a call is not asked again, in s: after the first failure, and at most. It may be cut
#: off for 5 to 12 s by the troubles of the platform's pages.
FIRST_PAUSE_S = 2
LONGEST_PAUSE_S = 8

#: Faults in a row after which an entry is forgotten until it writes to the log again; with the pauses between, 46 s.
MAX_FAILURES = 8

#: Share of the entries that is kept free for urgent questions; others take up to a second each.
URGENT_SHARE = 0.25

#: Time that the calls booked at an entry take up to which it gets another urgent one, in s: fewer than the 32 calls that
#: the advice lets wait, at 0.015 s for a short step. Each call under way holds a connection.
MAX_QUEUE_S = 0.3


class AdviceRelay(Protocol):
    """Makes a call to the advice from one of the entries."""

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Return the tickets of the workers that may run a step.

        Args:
            relay: address of the entry that makes the call.
            step: name of the step.
            workers: ids of the workers that are asked for.
            wait_s: how long the answer may take.

        Raises:
            PlatformError: no answer.
        """


class Relay:
    """One entry that makes calls to the advice.

    Attributes:
        busy_until: when all calls that it was given are answered, in seconds of the steady clock.
        paused_until: no call before that time, since one has failed.
        failures: faults in a row.
        failed_at: when the last fault was noticed.
    """

    __slots__ = ('address', 'busy_until', 'failed_at', 'failures', 'paused_until')

    def __init__(self, address: str) -> None:
        """Start without calls."""
        self.address = address
        self.busy_until: float = 0
        self.paused_until: float = 0
        self.failures = 0
        self.failed_at = float('-inf')

    def take(self, cost_s: float, now: float) -> float:
        """Add a call and return when it is answered; an entry that has failed gets a single one to try."""
        self.busy_until = max(self.busy_until, now) + cost_s
        if self.failures:
            self.paused_until = self.busy_until + ANSWER_MARGIN_S
        return self.busy_until

    def succeed(self) -> None:
        """Give it calls as to any other."""
        self.failures = 0
        self.paused_until = 0

    def fail(self, booked_at: float, now: float) -> None:
        """Leave it alone for a while, longer after each fault in a row.

        Args:
            booked_at: when the call that failed was booked; one from before the last fault has failed by that fault.
            now: time of the steady clock in seconds.
        """
        if booked_at <= self.failed_at:
            return
        self.failed_at = now
        pause = min(FIRST_PAUSE_S * 2**self.failures, LONGEST_PAUSE_S)
        self.failures += 1
        self.paused_until = now + pause
        self.busy_until = now


class Booking(msgspec.Struct, frozen=True):
    """A call's turn at one entry: when it was booked and when it is answered, in seconds of the steady clock."""

    relay: Relay
    booked_at: float
    answer_at: float


class AdviceBroker:
    """Chooses the entry that makes a call: the one that is free first.

    Attributes:
        relays: entries by address.
    """

    def __init__(self, calls: AdviceRelay, own_address: str, clock: Callable[[], float]) -> None:
        """Start with this entry alone."""
        self.calls = calls
        self.clock = clock
        self.own = Relay(own_address)
        self.relays: dict[str, Relay] = {own_address: self.own}

    def note_relay(self, address: str) -> None:
        """Note that an entry is alive, since it has accepted a submission."""
        self.relays.setdefault(address, Relay(address))

    def usable(self) -> list[Relay]:
        """Return the entries that may get a call; this entry is always one."""
        now = self.clock()
        for known in tuple(self.relays.values()):
            if known.failures >= MAX_FAILURES and known is not self.own:
                self.relays.pop(known.address)
        return [relay for relay in self.relays.values() if now >= relay.paused_until] or [self.own]

    def may_ask(self, *, urgent: bool) -> bool:
        """Tell whether a question may be asked now; some entries stay free for urgent ones."""
        now = self.clock()
        usable = self.usable()
        if urgent:
            return min(relay.busy_until for relay in usable) < now + MAX_QUEUE_S
        idle = sum(1 for relay in usable if relay.busy_until <= now)
        return idle > int(len(usable) * URGENT_SHARE)

    def cost_s(self, policy: AdvicePolicy | None, workers: int) -> float:
        """Return how long the advice takes for a call, in s."""
        if policy is None:
            return 0
        return (policy.decide_ms + policy.worker_ms * workers) / MS_PER_S

    def book(self, cost_s: float) -> Booking:
        """Take the next turn at the entry that is free first."""
        now = self.clock()
        relay = min(self.usable(), key=lambda candidate: max(candidate.busy_until, now))
        return Booking(relay, now, relay.take(cost_s, now))

    def book_again(self, failed: Relay, cost_s: float) -> Booking | None:
        """Take a turn after a failed call: at this entry, which no other entry has to pass the call on for.

        None when too many calls are booked; the question is asked again later.
        """
        if not self.may_ask(urgent=True):
            return None
        now = self.clock()
        if failed is self.own or self.own.busy_until >= now + MAX_QUEUE_S:
            return self.book(cost_s)
        return Booking(self.own, now, self.own.take(cost_s, now))

    async def ask(
        self, booking: Booking, cost_s: float, step: str, workers: Sequence[str]
    ) -> dict[str, str] | None:
        """Return the tickets of the workers that may run a step, None when no entry could find out.

        Args:
            booking: the turn of the first try.
            cost_s: how long the advice takes.
            step: name of the step.
            workers: ids of the workers that are asked for.
        """
        allowed = await self.try_call(booking, step, workers)
        if allowed is not None:
            return allowed
        again = self.book_again(booking.relay, cost_s)
        return await self.try_call(again, step, workers) if again else None

    async def try_call(
        self, booking: Booking, step: str, workers: Sequence[str]
    ) -> dict[str, str] | None:
        """Make one call, and note how its entry fares; None when it was not answered."""
        try:
            allowed = await self.make_call(booking, step, workers)
        except (PlatformError, TimeoutError) as fault:
            logger.info(
                'advice not given: step={} relay={} {}', step, booking.relay.address, fault
            )
            booking.relay.fail(booking.booked_at, self.clock())
            return None
        booking.relay.succeed()
        return allowed

    async def make_call(
        self, booking: Booking, step: str, workers: Sequence[str]
    ) -> dict[str, str]:
        """Make one call in its turn.

        Raises:
            PlatformError: no answer.
            TimeoutError: no answer in time.
        """
        wait_s = booking.answer_at - self.clock() + ANSWER_MARGIN_S
        async with asyncio.timeout(wait_s):
            return await self.calls.advise(booking.relay.address, step, workers, wait_s)
