"""Latest time at which earlier leaders may have sent orders."""

import asyncio

import pytest

from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S, EarlierLeaders
from marigoldlift.submissions.records import Leadership

pytestmark = pytest.mark.looptime


def record(life, *, released=False):
    """Return a record of an incarnation, whose first letter names its entry."""
    return Leadership(life[0], life, 0, 'a', life[0], released)


async def test_orders_end_by_the_last_record_of_each_leader():
    """Guards against ignoring orders of a paused leader, and against waiting for one that is known to have ended."""
    clock = asyncio.get_running_loop().time
    earlier = EarlierLeaders('c', clock)
    earlier.note(record('a1'))
    await asyncio.sleep(1)
    earlier.note(record('b1'))
    earlier.note(record('c1'))
    await asyncio.sleep(1)
    earlier.note(record('b1', released=True))
    earlier.note_end('c2')
    assert earlier.active_until == {'a1': LEADER_LEASE_S, 'b1': 2, 'c2': 2, 'c1': 1}
    assert earlier.ended_at() == LEADER_LEASE_S
    earlier.note(record('a1', released=True))
    assert earlier.ended_at() == 2
