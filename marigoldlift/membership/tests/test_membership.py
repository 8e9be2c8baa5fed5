"""Member table and rendezvous hashing."""

import pytest

from marigoldlift.membership.liveness import LivenessLimits
from marigoldlift.membership.rendezvous import preferred, ranked
from marigoldlift.membership.table import MemberTable
from marigoldlift.peers.messages import Heartbeat, MemberState
from marigoldlift.platform.messages import VmDescription, VmRole, VmState

HOME = 'recife'


@pytest.fixture
def table():
    """Return the table of entry e0 in Recife."""
    return MemberTable('e0', HOME, LivenessLimits())


@pytest.fixture
def make_heartbeat():
    """Return a factory of heartbeats."""

    def make(vm_id='e1', incarnation='1', state=MemberState.ready, domain=HOME):
        return Heartbeat(
            vm_id=vm_id,
            incarnation=incarnation,
            failure_domain=domain,
            state=state,
            address=f'127.0.0.1:{vm_id[1:]}',
            http_address='',
            free_slots=4,
        )

    return make


def entry(vm_id, state=VmState.live):
    """Return the VM list's description of an entry."""
    return VmDescription(vm_id, VmRole.entry, HOME, 'r1', f'127.0.0.1:{vm_id[1:]}', state)


@pytest.mark.parametrize(
    ('silence_s', 'ready', 'kept'),
    [(1.9, True, True), (2, False, True), (9.9, False, True), (10, False, False)],
)
def test_silent_member_gets_no_work_and_is_removed(table, make_heartbeat, silence_s, ready, kept):
    """Guards against forwarding to an entry that died, and against keeping it in the table for ever."""
    table.observe(make_heartbeat(), 0)

    assert bool(table.ready_in(HOME, silence_s)) == ready
    table.expire(silence_s)
    assert bool(table.members) == kept


def test_leaving_member_gets_no_work(table, make_heartbeat):
    """Guards against new work for an entry whose own heartbeat reports that it is leaving."""
    table.observe(make_heartbeat(state=MemberState.leaving), 0)

    assert not table.ready_in(HOME, 0)


def test_member_listed_as_leaving_gets_no_work(table, make_heartbeat):
    """Guards against new work for an entry that only the VM list reports as leaving."""
    table.observe(make_heartbeat(), 0)
    table.take_list([entry('e1', VmState.leaving)])

    assert not table.ready_in(HOME, 0)


def test_empty_list_changes_nothing(table, make_heartbeat):
    """Guards against losing all members when the platform answers with an empty list."""
    table.take_list([entry('e1')])
    table.observe(make_heartbeat(), 0)
    table.take_list([])

    assert table.ready_in(HOME, 0)
    assert table.addresses() == {'127.0.0.1:1': True}


def test_late_heartbeat_of_an_older_incarnation_is_ignored(table, make_heartbeat):
    """Guards against a delayed heartbeat that restores the state from before a restart."""
    table.observe(make_heartbeat(incarnation='2', state=MemberState.starting), 0)
    table.observe(make_heartbeat(incarnation='1', state=MemberState.ready), 1)

    assert not table.ready_in(HOME, 1)


def test_forwarded_work_counts_until_the_next_heartbeat(table, make_heartbeat):
    """Guards against forwarding a burst of requests to the one peer whose last heartbeat had free slots."""
    table.observe(make_heartbeat(), 0)
    member = table.members['e1']
    member.forwarded = 4
    assert member.spare_slots == 0

    table.observe(make_heartbeat(), 0.5)
    assert member.spare_slots == 4


def test_only_keys_of_a_removed_member_change_owner():
    """Guards against a hash that changes the preferred entry of all workers when one entry dies."""
    members = ['e1', 'e2', 'e3', 'e4']
    keys = [f'w{number}' for number in range(200)]
    before = {key: preferred(key, members) for key in keys}
    after = {key: preferred(key, members[:3]) for key in keys}

    assert all(after[key] == owner for key, owner in before.items() if owner != 'e4')
    assert {after[key] for key, owner in before.items() if owner == 'e4'} == {'e1', 'e2', 'e3'}
    assert all(ranked(key, members)[0] == owner for key, owner in before.items())
