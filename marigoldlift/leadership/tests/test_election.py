"""Claims, renewals and handovers of the leadership."""

import asyncio
import contextlib
import functools
import operator
import random

import pytest

from marigoldlift.leadership.election import LEADER_LEASE_S, Candidacy, Candidate, Election
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.record_codec import decode_record, encode_record
from marigoldlift.submissions.records import Leadership
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.supervision import FaultBoundary
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime

PACE_S = 0.05


class Member:
    """One entry that takes part in the election."""

    def __init__(self, log, name, life='1'):
        clock = asyncio.get_running_loop().time
        self.log = LogClient(log, random.Random(1))
        self.appender = Appender(self.log, Producer(f'{name}{life}', 1), clock, Metrics())
        self.replica = Replica(
            self.log, self.apply, clock, PACE_S, FaultBoundary(clock, Metrics())
        )
        candidate = Candidate(name, f'{name}{life}', 'a', name, 1.0)
        self.indirect = False
        self.election = Election(
            candidate, self.appender, self.replica, clock, lambda: self.indirect
        )
        loops = (self.appender.run(), self.replica.run(), self.campaign())
        self.tasks = [asyncio.create_task(work) for work in loops]

    def apply(self, stored):
        self.election.observe(stored.offset, decode_record(stored.content))

    async def campaign(self):
        await self.replica.ready.wait()
        await self.election.run()

    def stop(self):
        for task in self.tasks:
            task.cancel()


@pytest.fixture
async def log():
    """Return an empty log."""
    return MemoryLog()


@contextlib.asynccontextmanager
async def running(log):
    """Run three members of one cell; a fixture would run on another event loop clock than its test."""
    made = [Member(log, name) for name in ('a', 'b', 'c')]
    await asyncio.sleep(3)
    yield made
    for member in made:
        member.stop()


def leaders(members):
    """Return the members that lead by their own view."""
    return [member for member in members if member.election.tenure is not None]


def leader(members):
    """Return the only member that leads."""
    found = leaders(members)
    assert len(found) == 1
    return found[0]


async def test_one_leader_and_its_successor(log):
    """Guards against two leaders, or none, and against a tenure number that does not increase."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        first.stop()
        await asyncio.sleep(3)
        second = leader([member for member in members if member is not first])
        assert second.election.tenure > tenure


async def test_leader_without_the_log_stops_acting(log):
    """Guards against a leader that keeps sending orders after it lost the log and may have been replaced."""
    async with running(log) as members:
        first = leader(members)
        first.log.fault = LogFault.silent
        await asyncio.sleep(LEADER_LEASE_S + 1)
        assert not first.election.may_act()
        assert len([member for member in members if member.election.may_act()]) == 1


async def test_slow_log_causes_no_claims(log, monkeypatch):
    """Guards against claims by all entries when each answer of the log is slow."""
    async with running(log) as members:
        first = leader(members)
        monkeypatch.setattr('standins.cell.log.ANSWER_S', 0.6)
        await asyncio.sleep(10)
        assert leaders(members) == [first]
        assert {record.key for record in log.records[3:]} == {f'l/{first.election.candidate.node}'}


async def test_record_of_an_earlier_incarnation_makes_no_leader(log):
    """Guards against reusing a tenure number after a restart."""
    before = Member(log, 'a')
    await asyncio.sleep(2)
    tenure = before.election.tenure
    before.stop()
    after = Member(log, 'a', life='2')
    await asyncio.sleep(2)
    assert after.election.tenure > tenure
    after.stop()


async def test_released_leadership_is_claimed_at_once(log):
    """Guards against an interruption of service at each planned stop."""
    async with running(log) as members:
        first = leader(members)
        await first.election.retire()
        await asyncio.sleep(0.9)
        assert leader(members) is not first


@pytest.mark.parametrize('fault', [LogFault.silent, LogFault.refuse])
@pytest.mark.parametrize('outage_s', [1.5, 3.0, 6.0])
async def test_leader_stays_after_an_outage(log, fault, outage_s):
    """Guards against claims by all entries when the log recovers; each claim causes a takeover."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        for member in members:
            member.log.fault = fault
        await asyncio.sleep(outage_s)
        # The leader is the last to notice that the log answers again.
        for late in sorted(members, key=functools.partial(operator.is_, first)):
            late.log.fault = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(4)
        assert leader(members) is first
        assert first.election.tenure == tenure
        assert first.election.may_act()


async def test_leader_lost_in_an_outage_is_replaced(log):
    """Guards against a cell without a leader after an outage of the log in which the leader stopped."""
    async with running(log) as members:
        first = leader(members)
        for member in members:
            member.log.fault = LogFault.silent
        first.stop()
        await asyncio.sleep(3)
        for member in members:
            member.log.fault = None
        await asyncio.sleep(4)
        assert leader([member for member in members if member is not first])


async def test_leader_without_direct_access_to_the_log_hands_over(log):
    """Guards against a leader that, cut off from the store, stays for as long as another entry relays for it."""
    async with running(log) as members:
        first = leader(members)
        first.indirect = True
        await asyncio.sleep(2)
        second = leader(members)
        assert second is not first
        await asyncio.sleep(5)
        assert leader(members) is second


async def test_leadership_is_stable_if_no_entry_has_direct_access(log):
    """Guards against a cell without a leader, or with one that changes constantly, when all entries need a relay."""
    async with running(log) as members:
        for member in members:
            member.indirect = True
        await asyncio.sleep(10)
        first = leader(members)
        tenure = first.election.tenure
        await asyncio.sleep(10)
        assert leader(members) is first
        assert first.election.tenure == tenure


async def test_restarted_leader_claims_at_once(log):
    """Guards against a delay after all processes were killed: a new process waited as after an outage of the log."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        for member in members:
            member.stop()
        await asyncio.sleep(5)
        after = Member(log, first.election.candidate.node, life='2')
        await asyncio.sleep(0.5)
        assert after.election.tenure is not None
        assert after.election.tenure > tenure
        after.stop()


@pytest.mark.parametrize('repeats', [1, 3])
async def test_repeated_claim_of_the_leader_keeps_its_tenure(log, repeats):
    """Guards against a leader whose renewals are ignored after a claim that got no answer was stored late."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        for _ in range(repeats):
            await first.election.write(renews=None)
        await asyncio.sleep(5)
        assert leader(members) is first
        assert first.election.tenure == tenure
        assert first.election.may_act()


async def test_restarted_tenure_is_renewed(log):
    """Guards against ignored renewals after a leader has begun a new tenure because a worker refused its token."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        await first.election.restart_tenure()
        await asyncio.sleep(5)
        assert leader(members) is first
        assert first.election.tenure > tenure
        assert first.election.may_act()


async def test_late_renewal_and_release_of_an_earlier_tenure_have_no_effect(log):
    """Guards against records that were sent before a takeover and are stored after it."""
    async with running(log) as members:
        first = leader(members)
        earlier = first.election.tenure
        first.log.fault = LogFault.silent
        await asyncio.sleep(3)
        second = next(member for member in leaders(members) if member is not first)
        tenure = second.election.tenure
        for released in (False, True):
            record = Leadership('a', 'paused', 0, 'a', 'a', released, earlier)
            log.store([('l/a', encode_record(record))])
            await asyncio.sleep(1)
        assert second.election.tenure == tenure
        assert second.election.may_act()


async def test_entry_that_is_stopping_leads_on_but_claims_no_more(log):
    """Guards against a change of the leader at each stop of a rolling restart."""
    async with running(log) as members:
        first = leader(members)
        tenure = first.election.tenure
        for member in members:
            member.election.candidacy = Candidacy.stopping
        await asyncio.sleep(3)
        assert first.election.tenure == tenure
        await first.election.retire()
        await asyncio.sleep(3)
        assert not any(member.election.tenure for member in members)


async def test_entry_that_was_restarted_claims_first(log):
    """Guards against a successor that a rolling restart is about to stop."""
    async with running(log) as members:
        first = leader(members)
        restarted = next(member for member in members if member is not first)
        restarted.stop()
        fresh = Member(log, restarted.election.candidate.node, life='2')
        fresh.election.jitter_s = max(member.election.jitter_s for member in members) + 0.05
        await asyncio.sleep(1)
        await first.election.retire()
        await asyncio.sleep(2)
        assert fresh.election.tenure is not None
        fresh.stop()


async def test_leader_that_loses_a_race_of_claims_says_that_it_has_ended(log):
    """Guards against tasks of a lost worker that wait 4 s for orders of an entry that led for some milliseconds."""
    async with running(log) as members:
        first = leader(members)
        second, third = (member for member in members if member is not first)
        await second.election.write(renews=None)
        await asyncio.sleep(1)
        assert leader(members) is second
        ended_at = third.election.earlier_leaders.active_until[first.election.candidate.life]
        assert ended_at < asyncio.get_running_loop().time()
