"""Who gives orders: the writer of the newest leadership record in the shared log."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec
from loguru import logger

from marigoldlift.errors import LogUnavailableError, PlatformError
from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S, EarlierLeaders
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.records import Leadership, Record

__all__ = ('LEADER_LEASE_S', 'Candidate', 'Election')

#: Pause between two renewals, in s: 5 of the 600 and more writes that the platform's store takes in a second.
RENEWAL_INTERVAL_S = 0.2

#: Silence of the leader after which another entry claims its place, in s; two renewals may be lost.
LEADER_TIMEOUT_S = 0.7

#: Answers of the store by which that silence grows: a renewal waits for a batch under way and is then read.
LATENCY_FACTOR = 4

#: Added to that silence after an outage of the log, in s: a leader may notice up to 0.75 s later than another entry
#: that the log answers again, by the pause and the time-out of its probes.
RECOVERY_GRACE_S = 0.6

#: Pause between two looks at the state of the election, in s.
TICK_S = 0.05

#: Pause after a claim, in s.
CLAIM_PAUSE_S = 0.3

#: Delay of a claim for a VM of one core, in s; larger VMs claim first.
CLAIM_DELAY_S = 0.25

#: Processor time below which a VM waits no longer, in cores.
MIN_CORES = 0.2

#: Largest random part of that delay, in s; it keeps entries from claiming at once.
CLAIM_JITTER_S = 0.15

#: How long a leader reaches the log only through another entry before it hands over, in s; single calls may fail.
HANDOVER_DELAY_S = 0.7

#: Added to the silence after which an entry claims that reaches the log only through another one, in s; an entry that
#: reaches it directly has claimed by then.
INDIRECT_CLAIM_DELAY_S = 1.5

#: How long a renewal waits for the store, in s.
RENEWAL_WAIT_S = 1.0


class Candidate(msgspec.Struct, frozen=True):
    """An entry that may lead.

    Attributes:
        life: names one life of the entry's process.
        address: where other entries reach it.
        cores: processor time of the VM, in cores.
    """

    node: str
    life: str
    failure_domain: str
    address: str
    cores: float


class Election:
    """Follows leadership records and claims or renews the leadership.

    The offset of the record that began a tenure is its number. It rises with each tenure, over restarts and the loss
    of all entries, and no two entries share one; fencing tokens begin with it.

    Attributes:
        tenure: offset of the record that made this entry the leader, None while another leads.
        holder: the leader, None while there is none.
        read_s: how long the log took for the last read before a claim.
        seen_at: when the holder's newest record was read, in seconds of the steady clock.
        last_direct_at: when the log was last known to be reached directly.
        earlier_leaders: when earlier leaders can have given orders last.
        may_hand_over: whether the tenure began with a direct way; else no entry that has one wants to lead.
    """

    def __init__(
        self,
        candidate: Candidate,
        appender: Appender,
        replica: Replica,
        clock: Callable[[], float],
        is_indirect: Callable[[], bool],
    ) -> None:
        """Start without a holder.

        Args:
            candidate: this entry.
            appender: stores the records.
            replica: reads them.
            clock: steady time in seconds.
            is_indirect: tells whether the log is reached only through another entry.
        """
        self.candidate = candidate
        self.appender = appender
        self.clock = clock
        self.replica = replica
        self.jitter_s = random.Random(candidate.life).uniform(0, CLAIM_JITTER_S)
        self.holder: Leadership | None = None
        self.offset = -1
        self.tenure: int | None = None
        self.seen_at = clock()
        self.sent_at = clock()
        self.read_s: float = 0
        self.confirmed_at = clock()
        self.retired = False
        self.is_indirect = is_indirect
        self.last_direct_at = clock()
        self.may_hand_over = False
        self.earlier_leaders = EarlierLeaders(candidate.node, clock)
        self.on_change: list[Callable[[], None]] = []

    def observe(self, offset: int, record: Record) -> None:
        """Take in a record of the log; each leadership record replaces the one before."""
        if not isinstance(record, Leadership) or offset <= self.offset:
            return
        self.offset = offset
        mine = record.life == self.candidate.life
        self.seen_at = self.clock()
        self.holder = None if record.released else record
        if not mine:
            self.earlier_leaders.note(record)
        if mine and not record.released and not self.retired:
            self.confirmed_at = record.sent_at
            if self.tenure is None:
                self.begin_tenure(offset)
        elif self.tenure is not None:
            self.end_tenure(record.node)

    def begin_tenure(self, offset: int) -> None:
        """Become the leader."""
        self.tenure = offset
        self.may_hand_over = not self.is_indirect()
        logger.info('leadership begins: tenure={}', offset)
        self.notify_observers()

    def end_tenure(self, successor: str) -> None:
        """Stop being the leader."""
        logger.info('leadership ends: tenure={} successor={}', self.tenure, successor)
        self.tenure = None
        self.earlier_leaders.note_end(self.candidate.life)
        self.notify_observers()

    def notify_observers(self) -> None:
        """Call all who follow the leadership."""
        for observer in self.on_change:
            observer()

    def may_act(self) -> bool:
        """Tell whether this entry may give orders now."""
        return self.tenure is not None and self.clock() - self.confirmed_at < LEADER_LEASE_S

    def leader_address(self) -> str:
        """Return where the leader listens, empty when there is none or this entry leads."""
        if self.tenure is not None or self.is_vacant() or self.holder is None:
            return ''
        return self.holder.address

    def should_claim(self) -> bool:
        """Tell whether the leader was silent for so long that this entry claims its place."""
        if self.retired or self.tenure is not None:
            return False
        heard_at = self.seen_at
        if not self.is_vacant():
            heard_at = max(heard_at, self.replica.resumed_at + RECOVERY_GRACE_S)
        return self.clock() >= heard_at + self.election_timeout_s()

    def is_vacant(self) -> bool:
        """Tell whether nobody leads: the place was given back, or the leader's process was replaced by this one."""
        return self.holder is None or self.holder.node == self.candidate.node

    def election_timeout_s(self) -> float:
        """Return how long the leader may be silent while the log answers, in s.

        After an outage of the log a leader needs that time to renew.
        """
        delay = CLAIM_DELAY_S / max(self.candidate.cores, MIN_CORES) + self.jitter_s
        if self.is_indirect():
            delay += INDIRECT_CLAIM_DELAY_S
        if self.is_vacant():
            return delay
        return (
            LEADER_TIMEOUT_S + LATENCY_FACTOR * max(self.appender.latency_s, self.read_s) + delay
        )

    def should_renew(self) -> bool:
        """Tell whether the next renewal is due."""
        return self.tenure is not None and self.clock() - self.sent_at >= RENEWAL_INTERVAL_S

    async def run(self) -> None:
        """Claim, renew and hand over until cancelled."""
        while True:
            if self.should_hand_over():
                await self.hand_over('reaches the log only through another entry')
            elif self.should_renew():
                await self.write(released=False)
            elif self.should_claim():
                await self.claim()
                await asyncio.sleep(CLAIM_PAUSE_S)
            await asyncio.sleep(TICK_S)

    def should_hand_over(self) -> bool:
        """Tell whether another entry would lead better: one that reaches the log directly."""
        if not self.is_indirect():
            self.last_direct_at = self.clock()
        if self.tenure is None or not self.may_hand_over:
            return False
        return self.clock() - self.last_direct_at > HANDOVER_DELAY_S

    async def hand_over(self, reason: str) -> None:
        """Give the leadership back, so that another entry claims it at once."""
        self.end_tenure(reason)
        await self.write(released=True)

    async def claim(self) -> None:
        """Claim the leadership, unless the log tells of a newer claim."""
        try:
            await self.read_log()
        except LogUnavailableError as fault:
            logger.info('no claim without the log: {}', fault.reason)
            return
        if self.should_claim():
            await self.write(released=False)
            with contextlib.suppress(LogUnavailableError):
                await self.replica.synchronize()

    async def read_log(self) -> None:
        """Read the log to its end, and note how long that takes."""
        started_at = self.clock()
        await self.replica.synchronize()
        self.read_s = self.clock() - started_at

    async def write(self, *, released: bool) -> None:
        """Store a record; reading it back makes it count."""
        self.sent_at = self.clock()
        record = Leadership(
            node=self.candidate.node,
            life=self.candidate.life,
            sent_at=self.sent_at,
            failure_domain=self.candidate.failure_domain,
            address=self.candidate.address,
            released=released,
        )
        try:
            await self.appender.append(record, RENEWAL_WAIT_S)
        except PlatformError as fault:
            logger.warning('leadership record not stored: tenure={} {}', self.tenure, fault.reason)

    async def restart_tenure(self) -> None:
        """Start a new tenure, whose number is above that of any record so far."""
        self.tenure = None
        self.earlier_leaders.note_end(self.candidate.life)
        await self.write(released=False)

    async def retire(self) -> None:
        """Hand the leadership back before the entry stops."""
        self.retired = True
        if self.tenure is not None:
            await self.hand_over('released')
