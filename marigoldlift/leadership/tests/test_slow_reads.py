"""Leadership of an entry whose reads on demand last for seconds since their answers arrive slowly."""

import asyncio
import contextlib

import pytest

from marigoldlift.leadership.election import LEADER_TIMEOUT_S
from marigoldlift.leadership.tests.test_election import Member
from standins.cell.log import MemoryLog

pytestmark = pytest.mark.looptime

#: Duration of a slow read, in s; a read lasts for 8.8 s at most.
SLOW_S = 4.0


@contextlib.asynccontextmanager
async def running(log, *names):
    """Run members of one cell; a fixture would run on another event loop clock than its test."""
    made = [Member(log, name) for name in names]
    yield made
    for member in made:
        member.stop()


def delay_reads(member, monkeypatch, is_slow):
    """Let those reads of a member last for `SLOW_S` which do not wait for records."""
    read = member.log.read

    async def read_slowly(start, wait_ms):
        page = await read(start, wait_ms)
        if not wait_ms and is_slow():
            await asyncio.sleep(SLOW_S)
        return page

    monkeypatch.setattr(member.log, 'read', read_slowly)


async def test_new_leader_renews_while_a_read_lasts(monkeypatch):
    """Guards against an entry that claims the leadership and does not renew until a slow read after its claim has ended."""
    async with running(MemoryLog(), 'a') as members:
        election = members[0].election
        stored = members[0].log.log.records
        delay_reads(members[0], monkeypatch, lambda: bool(stored))
        until = election.clock() + 10
        latest_s = 0
        while election.clock() < until:
            if election.tenure is not None:
                latest_s = max(latest_s, election.clock() - election.sent_at)
            await asyncio.sleep(0.05)
        assert election.tenure is not None
        assert latest_s < LEADER_TIMEOUT_S


async def test_one_slow_read_does_not_delay_the_next_claim(monkeypatch):
    """Guards against a cell without a leader since each entry has measured one slow read before its claim."""
    async with running(MemoryLog(), 'a', 'b') as members:
        await asyncio.sleep(3)
        leader = next(member for member in members if member.election.tenure is not None)
        other = next(member for member in members if member is not leader)
        delay_reads(other, monkeypatch, lambda: not other.election.read_s > 1)
        leader.stop()
        await asyncio.sleep(SLOW_S + 3)
        assert other.election.tenure is not None
