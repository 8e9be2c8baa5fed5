"""Latest time at which earlier leaders may have sent orders."""

import asyncio

import msgspec
import pytest

from marigoldlift.leadership.earlier_leaders import (
    LEADER_LEASE_S,
    TENURES_KEPT,
    EarlierLeaders,
)
from marigoldlift.submissions.records import Leadership

pytestmark = pytest.mark.looptime


def record(life, *, released=False):
    """Return a record of an incarnation, whose first letter names its entry."""
    return Leadership(life[0], life, 0, 'a', life[0], released)


async def test_orders_end_by_the_last_record_of_each_leader():
    """Guards against ignoring orders of a paused leader, and against waiting for one that is known to have ended."""
    clock = asyncio.get_running_loop().time
    earlier = EarlierLeaders('c', clock)
    earlier.note(record('a1'), 1)
    await asyncio.sleep(1)
    earlier.note(record('b1'), 2)
    earlier.note(record('c1'), 3)
    await asyncio.sleep(1)
    earlier.note(record('b1', released=True), 2)
    earlier.note_end('c2', 4)
    assert earlier.active_until == {'a1': LEADER_LEASE_S, 'b1': 2, 'c2': 2, 'c1': 1}
    assert earlier.ended_at() == LEADER_LEASE_S
    earlier.note(record('a1', released=True), 1)
    assert earlier.ended_at() == 2


async def test_orders_of_a_tenure_end_with_its_own_records():
    """Guards against starts without an answer that each later leader holds back for as long as the first one did."""
    clock = asyncio.get_running_loop().time
    earlier = EarlierLeaders('c', clock)
    earlier.note(record('a1'), 1)
    await asyncio.sleep(10)
    earlier.note(record('b1'), 2)
    assert earlier.ended_by(1) == LEADER_LEASE_S
    assert earlier.ended_by(2) == 10 + LEADER_LEASE_S
    assert earlier.ended_by(0) == earlier.ended_at()


async def test_number_of_kept_tenures_is_bounded():
    """Guards against memory that grows with each change of the leader."""
    earlier = EarlierLeaders('c', asyncio.get_running_loop().time)
    for tenure in range(2 * TENURES_KEPT):
        earlier.note_end('c1', tenure)
    assert len(earlier.tenures) == TENURES_KEPT


async def test_old_record_of_a_superseded_leader_does_not_count_from_when_it_is_read():
    """Guards against tasks of a lost worker that wait 4 s longer, since a restarted leader reads old records anew."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(100)
    earlier = EarlierLeaders('c', loop.time)
    earlier.note(record('a1'), 1)
    earlier.note(msgspec.structs.replace(record('b1'), renews=2, age_s=3), 2)
    assert earlier.active_until == {'a1': 101, 'b1': 104}
    assert (earlier.ended_by(1), earlier.ended_by(2)) == (101, 104)
    await asyncio.sleep(10)
    earlier.note(msgspec.structs.replace(record('a1'), renews=1, age_s=50), 1)
    earlier.note(record('d1'), 3)
    earlier.note(msgspec.structs.replace(record('b1'), renews=2, age_s=13), 2)
    assert earlier.active_until == {'a1': 101, 'b1': 114, 'd1': 114}


async def test_tenure_without_a_record_ended_before_the_next_one():
    """Guards against starts of a leader whose record was replaced, which each restarted leader holds back from its own begin on."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(100)
    earlier = EarlierLeaders('a', loop.time)
    earlier.note(msgspec.structs.replace(record('a3'), renews=3, age_s=30), 3)
    assert earlier.ended_by(1) == 70 + LEADER_LEASE_S
    assert earlier.ended_by(4) == earlier.ended_at()
