"""Calls to the placement advice, spread over the entries since it serves one call at a time for each."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.submissions.model import AdvicePolicy

__all__ = ('AdviceBroker', 'AdviceRelay')

MS_PER_S = 1000

#: Added to the computed time of a call before it counts as unanswered, in s.
ANSWER_MARGIN_S = 0.8

#: How long an entry that failed a call is not asked again, in s.
RELAY_PAUSE_S = 2

#: How long an entry that accepted nothing stays a relay, in s.
RELAY_MEMORY_S = 15

#: Tries of one call over different entries.
TRIES = 2


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


class AdviceBroker:
    """Chooses the entry that makes a call: the one that is free first.

    Attributes:
        busy_until: when each entry's calls so far are answered, in seconds of the steady clock.
    """

    def __init__(self, calls: AdviceRelay, own_address: str, clock: Callable[[], float]) -> None:
        """Start with this entry alone."""
        self.own_address = own_address
        self.calls = calls
        self.clock = clock
        self.busy_until: dict[str, float] = {own_address: 0}
        self.known_at: dict[str, float] = {}

    def note_relay(self, address: str) -> None:
        """Note that an entry is alive, since it has accepted a submission."""
        if address == self.own_address:
            return
        self.known_at[address] = self.clock()
        self.busy_until.setdefault(address, 0)

    def delay_s(self) -> float:
        """Return how long the next call would wait for its turn, in s."""
        return max(0, min(self.busy_until.values()) - self.clock())

    def choose(self) -> str:
        """Return the entry that is free first."""
        now = self.clock()
        for relay, known_at in tuple(self.known_at.items()):
            if now - known_at > RELAY_MEMORY_S:
                self.known_at.pop(relay)
                self.busy_until.pop(relay, None)
        return min(self.busy_until, key=lambda address: max(self.busy_until[address], now))

    def cost_s(self, policy: AdvicePolicy | None, workers: int) -> float:
        """Return how long the advice takes for a call, in s."""
        if policy is None:
            return 0
        return (policy.decide_ms + policy.worker_ms * workers) / MS_PER_S

    async def ask(
        self, policy: AdvicePolicy, step: str, workers: Sequence[str]
    ) -> dict[str, str] | None:
        """Return the tickets of the workers that may run a step, None when no entry could find out."""
        cost_s = self.cost_s(policy, len(workers))
        for _ in range(TRIES):
            relay = self.choose()
            now = self.clock()
            answer_at = max(self.busy_until[relay], now) + cost_s
            self.busy_until[relay] = answer_at
            try:
                wait_s = answer_at - now + ANSWER_MARGIN_S
                async with asyncio.timeout(wait_s):
                    return await self.calls.advise(relay, step, workers, wait_s)
            except (PlatformError, TimeoutError) as fault:
                logger.info('advice not given: step={} relay={} {}', step, relay, fault)
                self.busy_until[relay] = self.clock() + RELAY_PAUSE_S
        return None
