"""Lease of one worker: claim, renew, release, and what the worker tells with each answer."""

import asyncio
import random
from contextlib import suppress
from enum import Enum
from typing import Protocol

import msgspec
from loguru import logger

from marigoldlift.errors import FencedError, PlatformError
from marigoldlift.ids import WorkerId
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.platform.api import WorkerApi
from marigoldlift.platform.messages import LeaseAction, LeaseGrant, LeaseRequest
from marigoldlift.util import MS_PER_S, loop_now

__all__ = (
    'CLAIMS_TIMEOUT_S',
    'LeaseListener',
    'LeaseSession',
    'LeaseTimes',
    'OwnerChoice',
    'Wish',
)

#: The worker's clock may run up to this much faster than ours (assumption P6).
CLOCK_RATE_MARGIN = 0.99

#: Longest wait of a release for claims of keys to be dispatched, in seconds.
CLAIMS_TIMEOUT_S = 2.0

CLAIMS_POLL_S = 0.05


class LeaseTimes(msgspec.Struct, frozen=True):
    """Lengths in seconds.

    Attributes:
        ttl_s: control lease.
        renew_s: time between renewals.
        claim_s: time between claims of a worker that another entry holds or that is silent.
        task_lease_s: time after which a worker stops its tasks without a renewal.
    """

    ttl_s: float = 4
    renew_s: float = 1
    claim_s: float = 1
    task_lease_s: float = 20

    @property
    def lost_after_s(self) -> float:
        """Return the silence after which a worker's task leases have surely lapsed.

        A renewal that arrives late counts only while the control lease runs, and a former owner
        may renew until it has handed over; hence two control leases on top (assumption P7).
        """
        return (self.task_lease_s + 2 * self.ttl_s) / CLOCK_RATE_MARGIN + 1

    @property
    def longest_gap_s(self) -> float:
        """Return the longest time between two unanswered requests of one unbroken silence.

        A request waits at most one claim interval for its answer, and the next follows within
        another; a longer gap means that this entry was paused and another may have owned the
        worker meanwhile.
        """
        return 3 * self.claim_s


class Wish(Enum):
    """What this entry wants with a worker."""

    own = 'own'
    leave = 'leave'


class OwnerChoice(Protocol):
    """Tells who should own a worker by membership."""

    def wish(self, worker_id: WorkerId, *, owned: bool) -> Wish:
        """Return whether this entry should own the worker."""

    def may_release(self, worker_id: WorkerId) -> bool:
        """Return whether nothing that was claimed for the worker has still to be sent to it."""


class LeaseListener(Protocol):
    """Gets what a worker tells its owner."""

    def on_claimed(self, worker_id: WorkerId, grant: LeaseGrant) -> None:
        """Take in the inventory of a claim."""

    def on_renewed(self, worker_id: WorkerId, grant: LeaseGrant) -> None:
        """Take in the events of a renewal."""

    def on_lost(self, worker_id: WorkerId) -> None:
        """Note that this entry does not own the worker any more."""

    def on_silent(self, worker_id: WorkerId) -> None:
        """Note that no task can run on the worker any more, since it was silent for so long."""

    def before_ask(self, worker_id: WorkerId) -> int:
        """Note that a lease request is sent now; return the last task event that is stored."""


class LeaseSession:
    """Keeps the lease of one worker as long as this entry should own it."""

    def __init__(
        self,
        worker_id: WorkerId,
        holder: str,
        api: WorkerApi,
        ledger: WorkerLedger,
        choice: OwnerChoice,
        listener: LeaseListener,
        times: LeaseTimes,
    ) -> None:
        """Keep the collaborators; `holder` is VM id and incarnation of this entry."""
        self.worker_id = worker_id
        self.holder = holder
        self.api = api
        self.ledger = ledger
        self.choice = choice
        self.listener = listener
        self.times = times
        self.silent_since_s: float | None = None
        self.closing_since_s: float = 0
        self.unanswered_s: float = 0
        self.claim_again = False
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Keep the lease for ever."""
        while True:
            pause_s = await self.step()
            self.wake.clear()
            with suppress(TimeoutError):
                # asyncio.wait_for of Python 3.11 swallows a cancellation that arrives while the event is being set.
                async with asyncio.timeout(pause_s):
                    await self.wake.wait()

    def resolve_doubt(self) -> None:
        """Claim anew soon: commands whose answer was lost can then no longer arrive."""
        self.claim_again = True
        self.wake.set()

    async def step(self) -> float:
        """Do what is due and return the pause until the next step, in seconds."""
        worker = self.ledger.workers[self.worker_id]
        owned = worker.owned(loop_now())
        if worker.until_s and not owned:
            self.give_up()
        wish = self.choice.wish(self.worker_id, owned=owned)
        if wish is Wish.leave:
            return await self.leave(owned=owned)
        self.ledger.close(self.worker_id, closing=False)
        if not owned or self.claim_again:
            return await self.claim()
        return await self.renew()

    async def leave(self, *, owned: bool) -> float:
        """Release the lease if this entry has it.

        A charge whose worker is released between its claim in the log and its dispatch cannot run
        any more, so the release waits for such dispatches, though not for long: with a slow log
        the next owner shall get the worker all the same.
        """
        self.silent_since_s = None
        if not owned:
            return self.times.claim_s
        if self.is_awaited():
            await self.renew()
            return CLAIMS_POLL_S
        self.give_up()
        await self.ask(LeaseAction.release)
        return self.times.claim_s

    def is_awaited(self) -> bool:
        """Close the worker to new work, and tell whether its release has to wait."""
        now_s = loop_now()
        if not self.ledger.workers[self.worker_id].closing:
            self.closing_since_s = now_s
            self.ledger.close(self.worker_id, closing=True)
        may_wait = now_s - self.closing_since_s < CLAIMS_TIMEOUT_S
        return may_wait and not self.choice.may_release(self.worker_id)

    async def claim(self) -> float:
        """Claim the lease."""
        sent_s = loop_now()
        grant = await self.ask(LeaseAction.claim)
        if grant is None:
            return self.pause_before_claim()
        if not grant.granted:
            remaining_s = grant.remaining_ms / MS_PER_S
            return min(max(remaining_s, self.times.renew_s / 10), self.times.claim_s)
        self.claim_again = False
        self.ledger.granted(self.worker_id, grant, self.until(sent_s))
        self.listener.on_claimed(self.worker_id, grant)
        # Only a renewal extends the task leases of what was adopted (assumption P4).
        return 0

    async def renew(self) -> float:
        """Renew the lease."""
        sent_s = loop_now()
        grant = await self.ask(LeaseAction.renew)
        if grant is None:
            return self.times.renew_s / 2
        if not grant.granted:
            self.give_up()
            return self.pause_before_claim()
        self.ledger.renewed(self.worker_id, grant, self.until(sent_s))
        self.listener.on_renewed(self.worker_id, grant)
        return self.times.renew_s

    async def ask(self, action: LeaseAction) -> LeaseGrant | None:
        """Send a lease request; None when the worker refuses the epoch or is silent."""
        worker = self.ledger.workers[self.worker_id]
        request = LeaseRequest(
            action=action,
            holder=self.holder,
            incarnation=worker.incarnation,
            epoch=worker.epoch,
            ttl_ms=int(self.times.ttl_s * MS_PER_S),
            acknowledged=self.listener.before_ask(self.worker_id),
            want_inventory=bool(worker.adopted),
        )
        try:
            grant = await self.api.lease(request)
        except FencedError:
            self.silent_since_s = None
            return LeaseGrant(False, '', worker.incarnation, worker.epoch)
        except PlatformError as error:
            self.note_silence(error)
            return None
        self.silent_since_s = None
        return grant

    def until(self, sent_s: float) -> float:
        """Return until when this entry may act, counted from before the request was sent."""
        return sent_s + self.times.ttl_s * CLOCK_RATE_MARGIN

    def give_up(self) -> None:
        """Stop acting as owner."""
        self.ledger.lost(self.worker_id)
        self.listener.on_lost(self.worker_id)

    def note_silence(self, error: PlatformError) -> None:
        """Note that the worker did not answer, and say so once it was silent for long enough.

        Silence counts only while this entry sends no renewals: one whose answer was lost may
        have extended the task leases. It counts anew after a gap in which this entry did not ask.
        """
        now_s = loop_now()
        if self.ledger.workers[self.worker_id].owned(now_s):
            return
        has_gap = now_s - self.unanswered_s > self.times.longest_gap_s
        self.unanswered_s = now_s
        if self.silent_since_s is None or has_gap:
            self.silent_since_s = now_s
            logger.warning('worker is silent', worker=self.worker_id, reason=error.reason)
        if now_s - self.silent_since_s >= self.times.lost_after_s:
            self.listener.on_silent(self.worker_id)

    def pause_before_claim(self) -> float:
        """Return a jittered pause, so that entries do not claim in step."""
        return self.times.claim_s * random.uniform(0.5, 1)
