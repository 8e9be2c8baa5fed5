"""Leader election: the writer of the newest leadership record in the shared log leads."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from enum import Enum

import msgspec
from loguru import logger

from marigoldlift.errors import LogUnavailableError, PlatformError
from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S, EarlierLeaders
from marigoldlift.leadership.tenures import TenureOrder
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.records import NEW_TENURE, Backlog, Leadership, Record

__all__ = ('LEADER_LEASE_S', 'Candidacy', 'Candidate', 'Election')

#: Pause between two renewals, in s: 5 of the more than 600 writes that the platform's store accepts per second.
RENEWAL_INTERVAL_S = 0.2

#: Time without a renewal after which another entry claims the leadership, in s; two renewals may be lost.
LEADER_TIMEOUT_S = 0.7

#: Multiple of the store's latency added to that time: a renewal waits for the batch in progress and is then read.
LATENCY_FACTOR = 4

#: Longest duration of a read of the log that counts, in s: one over a narrow link may last longer.
MAX_READ_S = 0.8

#: Longest wait for the read after a claim, in s, so that the next renewal is in time.
CLAIM_READ_S = 0.3

#: Added to that time after an outage of the log, in s: a leader may notice up to 0.75 s later than another entry
#: that the log answers again, because of the pause and the time-out of its probes.
RECOVERY_GRACE_S = 0.6

#: Pause between two checks of the state of the election, in s.
TICK_S = 0.05

#: Pause after a claim, in s.
CLAIM_PAUSE_S = 0.3

#: Delay of a claim for a VM of one core, in s; larger VMs claim first.
CLAIM_DELAY_S = 0.25

#: Processor time below which the delay does not grow further, in cores.
MIN_CORES = 0.2

#: Largest random part of that delay, in s; it keeps entries from claiming at once.
CLAIM_JITTER_S = 0.15

#: Added to the delay of a claim by an entry that has run since before the tenure that was released, in s. In a rolling
#: restart it is still to be stopped, while those that have started since are not.
UNRESTARTED_DELAY_S = 0.1

#: How long a leader may reach the log only through another entry before it hands over, in s; single calls may fail.
HANDOVER_DELAY_S = 0.7

#: Added to the delay of a claim by an entry that reaches the log only through another one, in s; an entry that reaches
#: it directly has claimed by then.
INDIRECT_CLAIM_DELAY_S = 1.5

#: How long a renewal waits for the store, in s.
RENEWAL_WAIT_S = 1.0


class Candidacy(Enum):
    """Part that an entry takes in the election.

    Attributes:
        candidate: it claims the leadership when there is no leader.
        stopping: it claims no more; a present tenure goes on until it is released.
        retired: it has released the leadership for good.
    """

    candidate = 'candidate'
    stopping = 'stopping'
    retired = 'retired'


class Candidate(msgspec.Struct, frozen=True):
    """Identity of an entry that may lead.

    Attributes:
        life: identifies one incarnation of the entry's process.
        address: address at which other entries reach it.
        cores: processor time of the VM, in cores.
    """

    node: str
    life: str
    failure_domain: str
    address: str
    cores: float


class Election:
    """Applies leadership records, and claims, renews or hands over the leadership.

    The number of a tenure is the offset of the record that began it. It increases with each tenure, also across
    restarts and the loss of all entries, and is unique; it forms the high bits of fencing tokens.

    Attributes:
        tenure: offset of the record that made this entry the leader, None while this entry does not lead.
        holder: newest record of the leader, None while there is none.
        tenures: decides which leadership records take effect.
        read_s: duration of the last read of the log before a claim, in s.
        seen_at: when the holder's newest record was read, in seconds of the monotonic clock.
        last_direct_at: when the log was last known to be directly reachable.
        earlier_leaders: latest time at which earlier leaders may have sent orders.
        candidacy: whether this entry may claim the leadership, or still lead.
        measure_backlog: returns the backlog of each service, which renewals tell the other entries.
        may_hand_over: whether the tenure began with direct access to the log; if not, no entry that has direct
            access wants to lead.
    """

    measure_backlog: Callable[[], dict[str, Backlog]] = dict

    def __init__(
        self,
        candidate: Candidate,
        appender: Appender,
        replica: Replica,
        clock: Callable[[], float],
        is_indirect: Callable[[], bool],
    ) -> None:
        """Create an election without a known leader.

        Args:
            candidate: this entry.
            appender: stores the leadership records.
            replica: reads the leadership records.
            clock: monotonic time in seconds.
            is_indirect: returns whether the log is reached only through another entry.
        """
        self.candidate = candidate
        self.appender = appender
        self.clock = clock
        self.replica = replica
        self.jitter_s = random.Random(candidate.life).uniform(0, CLAIM_JITTER_S)
        self.holder: Leadership | None = None
        self.tenures = TenureOrder()
        self.tenure: int | None = None
        self.seen_at = clock()
        self.sent_at = clock()
        self.read_s: float = 0
        self.confirmed_at = clock()
        self.candidacy = Candidacy.candidate
        self.is_indirect = is_indirect
        self.last_direct_at = clock()
        self.may_hand_over = False
        self.earlier_leaders = EarlierLeaders(candidate.node, clock)
        self.on_change: list[Callable[[], None]] = []

    def observe(self, offset: int, record: Record) -> None:
        """Apply a record of the log; each leadership record that takes effect replaces the previous one."""
        if not isinstance(record, Leadership) or offset <= self.tenures.offset:
            return
        mine = record.life == self.candidate.life
        if not mine:
            self.earlier_leaders.note(record, tenure_of(record, offset))
        if not self.tenures.admit(record, offset, is_held=is_leader(self, record)):
            logger.info('leadership record without effect: node={} offset={}', record.node, offset)
            return
        self.seen_at = self.clock()
        self.holder = None if record.released else record
        if mine and not record.released and self.candidacy is not Candidacy.retired:
            self.confirm(record, offset)
        elif self.tenure is not None or self.tenures.is_restarting:
            self.tenures.note_unreleased(self.tenure)
            self.end_tenure(record.node)

    def confirm(self, record: Leadership, offset: int) -> None:
        """Apply a claim or renewal of this entry that was read back; only a claim begins a tenure."""
        self.confirmed_at = record.sent_at
        if self.tenure is None and record.renews == NEW_TENURE:
            self.begin_tenure(offset)

    def begin_tenure(self, offset: int) -> None:
        """Become the leader."""
        self.tenure = offset
        self.tenures.is_restarting = False
        self.earlier_leaders.superseded_at = self.clock()
        self.may_hand_over = not self.is_indirect()
        logger.info('leadership begins: tenure={}', offset)
        self.notify_observers()

    def end_tenure(self, successor: str) -> None:
        """Stop being the leader."""
        logger.info('leadership ends: tenure={} successor={}', self.tenure, successor)
        self.forget_tenure()
        self.tenures.is_restarting = False
        self.notify_observers()

    def forget_tenure(self) -> None:
        """Send no more orders in the present tenure, if there is one."""
        if self.tenure is not None:
            self.earlier_leaders.note_end(self.candidate.life, self.tenure)
        self.tenure = None

    def notify_observers(self) -> None:
        """Call all observers of the leadership."""
        for observer in self.on_change:
            observer()

    def may_act(self) -> bool:
        """Return whether this entry may send orders now."""
        return self.tenure is not None and self.clock() - self.confirmed_at < LEADER_LEASE_S

    def should_claim(self) -> bool:
        """Return whether the leader has not renewed for so long that this entry claims the leadership."""
        if self.candidacy is not Candidacy.candidate or self.tenure is not None:
            return False
        last_renewal_at = self.seen_at
        if not self.is_vacant():
            last_renewal_at = max(
                last_renewal_at, self.replica.contact.resumed_at + RECOVERY_GRACE_S
            )
        return self.clock() >= last_renewal_at + self.election_timeout_s()

    def is_vacant(self) -> bool:
        """Return whether no entry leads: the leadership was released, or this process has replaced the leader's."""
        return self.holder is None or self.holder.node == self.candidate.node

    def election_timeout_s(self) -> float:
        """Return how long the leader may go without a renewal while the log answers, in s.

        After an outage of the log a leader needs that time to renew.
        """
        delay = CLAIM_DELAY_S / max(self.candidate.cores, MIN_CORES) + self.jitter_s
        if self.is_indirect():
            delay += INDIRECT_CLAIM_DELAY_S
        if self.is_vacant():
            return delay + UNRESTARTED_DELAY_S * self.tenures.saw_begin
        return (
            LEADER_TIMEOUT_S + LATENCY_FACTOR * max(self.appender.latency_s, self.read_s) + delay
        )

    def should_renew(self) -> bool:
        """Return whether the next renewal is due."""
        return self.tenure is not None and self.clock() - self.sent_at >= RENEWAL_INTERVAL_S

    async def run(self) -> None:
        """Claim, renew and hand over until cancelled."""
        while True:
            await release_lost_tenure(self)
            if self.should_hand_over():
                await self.hand_over('reaches the log only through another entry')
            elif self.should_renew():
                await self.write(renews=self.tenure)
            elif self.should_claim():
                await self.claim()
                await asyncio.sleep(CLAIM_PAUSE_S)
            await asyncio.sleep(TICK_S)

    def should_hand_over(self) -> bool:
        """Return whether to hand over so that an entry that reaches the log directly can lead."""
        if not self.is_indirect():
            self.last_direct_at = self.clock()
        if self.tenure is None or not self.may_hand_over:
            return False
        return self.clock() - self.last_direct_at > HANDOVER_DELAY_S

    async def hand_over(self, reason: str) -> None:
        """Release the leadership, so that another entry claims it at once."""
        tenure = self.tenure
        self.end_tenure(reason)
        await self.write(renews=tenure, released=True)

    async def claim(self) -> None:
        """Claim the leadership, unless the log holds a newer claim."""
        try:
            await self.read_log()
        except LogUnavailableError as fault:
            logger.info('leadership not claimed because the log is unavailable: {}', fault.reason)
            return
        if self.should_claim():
            await self.write(renews=None)
            with contextlib.suppress(LogUnavailableError, TimeoutError):
                async with asyncio.timeout(CLAIM_READ_S):
                    await self.replica.synchronize()

    async def read_log(self) -> None:
        """Read the log to its end, and record how long that takes."""
        started_at = self.clock()
        await self.replica.synchronize()
        self.read_s = min(self.clock() - started_at, MAX_READ_S)

    async def write(self, *, renews: int | None, released: bool = False) -> None:
        """Store a leadership record; it takes effect when it is read back.

        Args:
            renews: number of the tenure that it renews or releases, None for a claim.
            released: whether the leadership is given up.
        """
        self.sent_at = self.clock()
        record = Leadership(
            node=self.candidate.node,
            life=self.candidate.life,
            sent_at=self.sent_at,
            failure_domain=self.candidate.failure_domain,
            address=self.candidate.address,
            released=released,
            renews=NEW_TENURE if renews is None else renews,
            response_s=self.appender.last_response_s,
            backlogs=self.measure_backlog(),
            age_s=0 if renews is None else self.sent_at - self.earlier_leaders.superseded_at,
        )
        try:
            await self.appender.append(record, RENEWAL_WAIT_S)
        except PlatformError as fault:
            logger.warning('leadership record not stored: tenure={} {}', self.tenure, fault.reason)

    async def restart_tenure(self) -> None:
        """Start a new tenure, whose number is above the offset of any earlier record."""
        self.tenures.restarted = self.tenure
        self.forget_tenure()
        self.tenures.is_restarting = True
        await self.write(renews=None)

    async def retire(self) -> None:
        """Release the leadership before the entry stops."""
        self.candidacy = Candidacy.retired
        if self.tenure is not None:
            await self.hand_over('released')


async def release_lost_tenure(election: Election) -> None:
    """Store that an entry sends no more orders in a tenure that another one has ended.

    Without the record, later leaders take its orders as possible until its last renewal has expired.
    """
    tenure = election.tenures.unreleased
    if tenure is not None:
        election.tenures.unreleased = None
        await election.write(renews=tenure, released=True)


def tenure_of(record: Leadership, offset: int) -> int:
    """Return the number of the tenure that a record at an offset begins, renews or releases."""
    return offset if record.renews == NEW_TENURE else record.renews


def is_leader(election: Election, record: Leadership) -> bool:
    """Return whether the sender of a record leads already."""
    if record.life == election.candidate.life:
        return election.tenure is not None
    return election.holder is not None and election.holder.life == record.life
