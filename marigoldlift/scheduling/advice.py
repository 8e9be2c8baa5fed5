"""Calls to the placement advice, distributed over the entries because it serves one call per entry at a time."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from loguru import logger

from marigoldlift.answer_deadline import AnswerDeadline
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

#: Added to the computed duration of a call to get its timeout, in s; a VM that runs 5 times slower than usual needs
#: 0.1 s to forward a call.
ANSWER_MARGIN_S = 0.4

#: Pause of an entry after a failed call, in s: after the first failure, and at most; it doubles with each consecutive
#: failure. The faults that the platform's pages describe may cut an entry off for 5 to 12 s.
FIRST_PAUSE_S = 2
LONGEST_PAUSE_S = 8

#: Consecutive failures after which an entry is removed until it writes to the log again; with the pauses, after 46 s.
MAX_FAILURES = 8

#: Share of the entries that is reserved for urgent requests; other requests take up to 1 s each.
URGENT_SHARE = 0.25

#: Maximum duration of the calls booked at an entry for it to get another urgent one, in s. At 0.015 s for a short step
#: this is fewer than the 32 calls that the advice lets wait. Each call in flight holds a connection.
MAX_QUEUE_S = 0.3


class AdviceRelay(Protocol):
    """Makes a call to the advice through one of the entries."""

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Return the tickets of the workers that may run a step.

        Args:
            relay: address of the entry that makes the call.
            step: name of the step.
            workers: ids of the workers to judge.
            wait_s: timeout of the call, in seconds.

        Raises:
            PlatformError: no answer.
        """


class Relay:
    """One entry that makes calls to the advice; all times are in seconds of the monotonic clock.

    Attributes:
        address: address of the entry.
        busy_until: expected time at which all calls booked at the entry are answered.
        paused_until: time before which it gets no call, after a failure.
        failures: consecutive failures.
        failed_at: when the last failure was noticed.
    """

    __slots__ = ('address', 'busy_until', 'failed_at', 'failures', 'paused_until')

    def __init__(self, address: str) -> None:
        """Start without calls."""
        self.address = address
        self.busy_until: float = 0
        self.paused_until: float = 0
        self.failures = 0
        self.failed_at = float('-inf')

    def add_call(self, cost_s: float, now: float) -> float:
        """Book a call and return when it should be answered; an entry that has failed gets a single trial call."""
        self.busy_until = max(self.busy_until, now) + cost_s
        if self.failures:
            self.paused_until = self.busy_until + ANSWER_MARGIN_S
        return self.busy_until

    def record_success(self) -> None:
        """Reset the failures, so that the entry gets calls like any other."""
        self.failures = 0
        self.paused_until = 0

    def record_failure(self, booked_at: float, now: float) -> None:
        """Pause the entry, for longer after each consecutive failure.

        Args:
            booked_at: when the failed call was booked; if this was before the last failure, it belongs to that failure
                and is not counted again.
            now: time of the monotonic clock in seconds.
        """
        if booked_at <= self.failed_at:
            return
        self.failed_at = now
        pause = min(FIRST_PAUSE_S * 2**self.failures, LONGEST_PAUSE_S)
        self.failures += 1
        self.paused_until = now + pause
        self.busy_until = now


class Booking(msgspec.Struct, frozen=True):
    """A call that is booked at one entry.

    Attributes:
        relay: the entry.
        booked_at: when the call was booked, in seconds of the monotonic clock.
        answer_at: when it should be answered, in seconds of the monotonic clock.
    """

    relay: Relay
    booked_at: float
    answer_at: float


class AdviceBroker:
    """Makes each advice call through the entry that is free first.

    Attributes:
        own: the entry that this broker runs on.
        relays: known entries by address.
    """

    def __init__(self, calls: AdviceRelay, own_address: str, clock: Callable[[], float]) -> None:
        """Start with this entry as the only one.

        Args:
            calls: makes calls through an entry.
            own_address: address of this entry.
            clock: monotonic clock in seconds.
        """
        self.calls = calls
        self.clock = clock
        self.own = Relay(own_address)
        self.relays: dict[str, Relay] = {own_address: self.own}

    def note_relay(self, address: str) -> None:
        """Add an entry, which is known to be alive because it has accepted a submission."""
        self.relays.setdefault(address, Relay(address))

    def usable(self) -> list[Relay]:
        """Return the entries that may get a call; this entry if all are paused.

        Also removes entries that have failed too often.
        """
        now = self.clock()
        for known in tuple(self.relays.values()):
            if known.failures >= MAX_FAILURES and known is not self.own:
                self.relays.pop(known.address)
        return [relay for relay in self.relays.values() if now >= relay.paused_until] or [self.own]

    def may_ask(self, *, urgent: bool) -> bool:
        """Return whether a request may be made now; some entries are reserved for urgent requests."""
        if urgent:
            now = self.clock()
            return min(relay.busy_until for relay in self.usable()) < now + MAX_QUEUE_S
        return self.spare() > 0

    def spare(self) -> int:
        """Return the number of entries that are idle and not reserved for urgent requests."""
        now = self.clock()
        usable = self.usable()
        idle = sum(1 for relay in usable if relay.busy_until <= now)
        return idle - int(len(usable) * URGENT_SHARE)

    def cost_s(self, policy: AdvicePolicy | None, workers: int) -> float:
        """Return how long the advice takes for a call with a number of workers, in s."""
        if policy is None:
            return 0
        return (policy.decide_ms + policy.worker_ms * workers) / MS_PER_S

    def book(self, cost_s: float) -> Booking:
        """Book a call at the entry that is free first."""
        now = self.clock()
        relay = min(self.usable(), key=lambda candidate: max(candidate.busy_until, now))
        return Booking(relay, now, relay.add_call(cost_s, now))

    def book_retry(self, failed: Relay, cost_s: float) -> Booking | None:
        """Book a second attempt after a failed call.

        Prefers this entry, which needs no other entry to forward the call, unless the first attempt failed there or too
        many calls are booked at it.

        Returns:
            The booking, None if all entries are busy; the caller then repeats the request later.
        """
        if not self.may_ask(urgent=True):
            return None
        now = self.clock()
        if failed is self.own or self.own.busy_until >= now + MAX_QUEUE_S:
            return self.book(cost_s)
        return Booking(self.own, now, self.own.add_call(cost_s, now))

    async def ask(
        self, booking: Booking, cost_s: float, step: str, workers: Sequence[str]
    ) -> dict[str, str] | None:
        """Return the tickets of the workers that may run a step, None if no call was answered.

        Args:
            booking: booking of the first attempt.
            cost_s: how long the advice takes for the call, in seconds.
            step: name of the step.
            workers: ids of the workers to judge.
        """
        allowed = await self.try_call(booking, step, workers)
        if allowed is not None:
            return allowed
        retry = self.book_retry(booking.relay, cost_s)
        return await self.try_call(retry, step, workers) if retry else None

    async def try_call(
        self, booking: Booking, step: str, workers: Sequence[str]
    ) -> dict[str, str] | None:
        """Make one call and record its success or failure for the entry; return None if it was not answered."""
        try:
            allowed = await self.make_call(booking, step, workers)
        except (PlatformError, TimeoutError) as fault:
            logger.info(
                'advice not given: step={} relay={} {}', step, booking.relay.address, fault
            )
            booking.relay.record_failure(booking.booked_at, self.clock())
            return None
        booking.relay.record_success()
        return allowed

    async def make_call(
        self, booking: Booking, step: str, workers: Sequence[str]
    ) -> dict[str, str]:
        """Make one call, with a timeout that includes the calls booked before it.

        The timeout counts from now: a call that this entry sends late has been booked for a time that is over.

        Raises:
            PlatformError: no answer.
            TimeoutError: no answer within the timeout.
        """
        wait_s = booking.answer_at - booking.booked_at + ANSWER_MARGIN_S
        async with AnswerDeadline(wait_s):
            return await self.calls.advise(booking.relay.address, step, workers, wait_s)
