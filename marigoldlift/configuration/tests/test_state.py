"""Tests of ordering, atomicity and recovery of the configuration state."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldlift.configuration import changes
from marigoldlift.configuration.state import MAX_REMEMBERED_CHANGES, ConfigurationState
from marigoldlift.errors import InvalidInputError
from marigoldlift.journal.messages import ConfigurationChanged, ObjectChange, ObjectKind
from marigoldlift.resources import ZERO_RESOURCES, Resources


@pytest.mark.parametrize('winner', [0, 1])
def test_concurrent_changes_conflict_deterministically(winner, change, change_set, replay):
    """Guards against replicas that accept different changes of two operators, or both changes."""
    competing = [
        change_set('a', change('workspace', 'shop', 1, {'weight': 2})),
        change_set('b', change('workspace', 'shop', 1, {'weight': 3})),
    ]
    created = change_set('0', change('workspace', 'shop', 0, {}))
    records = [created, competing[winner], competing[1 - winner]]
    first, verdicts = replay(records)
    second, same_verdicts = replay(records)

    assert verdicts == same_verdicts
    assert first.dump() == second.dump()
    assert [verdict.accepted for verdict in verdicts] == [True, True, False]
    assert verdicts[2].reason.startswith('changes[0].base_version: given 1, current version is 2')
    assert first.workspace('shop').weight == 2 + winner


def test_change_set_is_atomic(state, change, change_set):
    """Guards against a refused change set whose first changes stay in force."""
    state.apply(1, change_set('a', change('drain', 'vm-1', 0, {})))
    before = state.dump()
    verdict = state.apply(
        2,
        change_set('b', change('workspace', 'new', 0, {}), change('drain', 'vm-1', 0, {})),
    )

    assert verdict.reason.startswith('changes[1].base_version: given 0')
    assert state.dump() == before
    assert (state.applied, state.version) == (2, 1)


def test_old_offset_changes_nothing(state, change, change_set):
    """Guards against a duplicate or late record that reverts a newer one."""
    state.apply(5, change_set('a', change('drain', 'vm-1', 0, {})))
    before = state.dump()

    assert not state.apply(5, change_set('b', change('drain', 'vm-1', 5, None))).accepted
    assert not state.apply(4, change_set('c', change('drain', 'vm-2', 0, {}))).accepted
    assert (state.dump(), state.applied) == (before, 5)


def test_old_snapshot_changes_nothing(state, change, change_set):
    """Guards against a snapshot of a lagging peer that reverts newer configuration."""
    state.apply(1, change_set('a', change('drain', 'vm-1', 0, {})))
    old = state.dump()
    state.apply(2, change_set('b', change('drain', 'vm-1', 1, None)))
    state.restore(1, old)
    state.restore(2, old)

    assert not state.is_draining('vm-1')
    assert (state.applied, state.version) == (2, 2)


def test_truncated_snapshot_changes_nothing(state, change, change_set):
    """Guards against a partly applied snapshot after a decoding error."""
    state.apply(1, change_set('a', change('drain', 'vm-1', 0, {})))
    with pytest.raises(InvalidInputError):
        state.restore(9, state.dump()[:-3])

    assert state.applied == 1
    assert state.is_draining('vm-1')


def test_version_of_removed_object_is_stale(state, change, change_set):
    """Guards against a change based on an object that was since removed and created again."""
    state.apply(1, change_set('a', change('service', 'fit', 0, {})))
    state.apply(2, change_set('b', change('service', 'fit', 1, None)))
    state.apply(3, change_set('c', change('service', 'fit', 0, {})))

    assert not state.apply(4, change_set('d', change('service', 'fit', 1, None))).accepted


def test_repeated_change_set_is_accepted_once(state, change, change_set):
    """Guards against a conflict of a change set with itself.

    An operator repeats a change set when the outcome of its append is unknown.
    """
    record = change_set('a', change('workspace', 'shop', 0, {}))
    state.apply(1, record)
    state.apply(2, change_set('b', change('workspace', 'shop', 1, {'weight': 7})))

    assert state.apply(3, record).accepted
    assert state.workspace('shop').weight == 7
    assert (state.version, state.offset_of_change('a')) == (2, 1)
    other = change_set('a', change('drain', 'vm-1', 0, {}))
    assert state.apply(4, other).reason.startswith('change_id: ')


def test_number_of_kept_change_ids_is_bounded(state, change, change_set):
    """Guards against a state and snapshots that grow with every accepted change set."""
    for offset in range(1, MAX_REMEMBERED_CHANGES + 3):
        base_version = offset - 1
        record = change_set(f'id-{offset}', change('drain', 'vm-1', base_version, {}))
        assert state.apply(offset, record).accepted

    assert len(state.accepted) == MAX_REMEMBERED_CHANGES
    assert state.offset_of_change('id-1') is None


@pytest.mark.parametrize(
    ('kind', 'name', 'base_version', 'content', 'path'),
    [
        ('workspace', 'a b', 0, {}, 'changes[0].name'),
        ('workspace', 'a', -1, {}, 'changes[0].base_version'),
        ('workspace', 'a', 0, None, 'changes[0].value'),
        ('drain', 'a', 0, None, 'changes[0].value'),
        ('drain', 'a', 3, None, 'changes[0].base_version'),
        ('workspace', 'a', 0, {'weight': 0}, 'changes[0].value.weight'),
        ('workspace', 'a', 0, {'quota': {'slots': -1}}, 'changes[0].value.quota.slots'),
        ('service', 'a', 0, {'slots': 'x'}, 'changes[0].value.slots'),
        ('service', 'a', 0, {'slotz': 1}, 'changes[0].value'),
        ('policy', 'a', 0, {'vm_selector': {'x': 'a|'}}, 'changes[0].value.vm_selector.x'),
        ('vm-labels', 'a', 0, {'labels': {'rack': '1'}}, 'changes[0].value.labels'),
        ('drain', 'a', 0, {'reason': 'x' * 201}, 'changes[0].value.reason'),
        ('drain', 'a', 0, {'reason': 'x' * 20000}, 'changes[0].value'),
    ],
)
def test_refusal_names_the_path(
    state, change, change_set, kind, name, base_version, content, path
):
    """Guards against an invalid value in force, and against a refusal that does not locate it."""
    verdict = state.apply(1, change_set('a', change(kind, name, base_version, content)))

    assert not verdict.accepted
    assert verdict.reason.partition(': ')[0] == path
    assert not state.in_force


@pytest.mark.parametrize(
    ('content', 'path'),
    [
        ({'repeatable': True}, 'changes[0].value.repeatable'),
        ({'selector': {'failure_domain': 'a'}}, 'changes[0].value.selector.failure_domain'),
        (None, 'changes[0].value'),
    ],
)
def test_non_repeatable_service_stays_non_repeatable(state, change, change_set, content, path):
    """Guards against a request that runs twice, such as a charge.

    One entry may consider the service repeatable, or look for the request in another home failure
    domain, while the other entries do not.
    """
    assert state.apply(1, change_set('a', change('service', 'charge', 0, {}))).accepted

    verdict = state.apply(2, change_set('b', change('service', 'charge', 1, content)))

    assert verdict.reason.partition(': ')[0] == path
    assert not state.service('charge').repeatable


def test_same_object_twice_in_one_set_is_refused(state, change, change_set):
    """Guards against replicas that disagree on which of the two changes wins."""
    twice = change('drain', 'vm-1', 0, {})

    assert state.apply(1, change_set('a', twice, twice)).reason.startswith('changes[1].name: ')
    assert state.apply(2, change_set('b')).reason.startswith('changes: given 0')


def test_number_of_objects_is_bounded(state, change, change_set, monkeypatch):
    """Guards against unbounded memory, and against a full state that can no longer change.

    Replacing an object by another must be possible at the limit.
    """
    monkeypatch.setattr(changes, 'MAX_OBJECTS', 2)
    state.apply(1, change_set('a', change('drain', 'x', 0, {}), change('drain', 'y', 0, {})))
    verdict = state.apply(2, change_set('b', change('drain', 'z', 0, {})))
    swap = change_set('c', change('drain', 'x', 1, None), change('drain', 'z', 0, {}))

    assert verdict.reason.startswith('changes: at most 2')
    assert state.apply(3, swap).accepted


def test_accessors_return_published_values(state, change, change_set):
    """Guards against components that act on other values than the published ones."""
    state.apply(
        1,
        change_set(
            'a',
            change('workspace', 'shop', 0, {'quota': {'slots': 4}, 'state': 'departed'}),
            change('workspace', 'free', 0, {}),
            change('policy', 'p2', 0, {'unit_selector': {'tier': 'gold|silver'}, 'priority': 5}),
            change('policy', 'p1', 0, {'unit_selector': {'tier': '!gold'}, 'priority': 1}),
            change('vm-labels', 'vm-1', 0, {'labels': {'gpu': 'new'}}),
        ),
    )

    assert state.quota('shop') == Resources(slots=4)
    assert state.quota('free') is None
    assert state.quota('not-seen-yet') == ZERO_RESOURCES
    assert [policy.priority for policy in state.policies_for({'tier': 'silver'})] == [1, 5]
    assert state.labels_of('vm-1', {'rack': 'r', 'gpu': 'old'}) == {'rack': 'r', 'gpu': 'new'}
    assert state.service('fit') is None


kinds = st.sampled_from(ObjectKind)
names = st.sampled_from(['a', 'b'])
texts = st.sampled_from(['{}', '{"labels":{"x":"y"}}', '{"weight":2}', '{', None])
#: Added to the current version to get the base version of a change; 0 is a current base.
version_errors = st.sampled_from([0, 0, 0, 1])
change_ids = st.integers(1, 20).map(str)
steps = st.tuples(change_ids, st.lists(st.tuples(kinds, names, version_errors, texts), max_size=2))


def write_history(drawn):
    """Return records, most of which have current base versions."""
    writer = ConfigurationState()
    history = []
    for offset, (change_id, requested) in enumerate(drawn, 1):
        object_changes = tuple(
            ObjectChange(kind, name, current_version(writer, kind, name) + version_error, text)
            for kind, name, version_error, text in requested
        )
        history.append(ConfigurationChanged(change_id, 'olga', object_changes))
        writer.apply(offset, history[-1])
    return history


def current_version(writer, kind, name):
    """Return the version of the object in force, or 0 if there is none."""
    found = writer.get(kind, name)
    return found.version if found else 0


@settings(derandomize=True, max_examples=300)
@given(st.lists(steps, min_size=1, max_size=16), st.data())
def test_restore_at_any_point_loses_nothing(drawn, choice):
    """Guards against a snapshot that loses state, so that a replica restored from it differs.

    The restored replica applies the records up to `applied_first`, then skips to the snapshot.
    """
    history = write_history(drawn)
    snapshot_offset = choice.draw(st.integers(1, len(history)))
    applied_first = choice.draw(st.integers(0, snapshot_offset))
    uninterrupted = ConfigurationState()
    restored = ConfigurationState()
    for offset, record in enumerate(history, 1):
        verdict = uninterrupted.apply(offset, record)
        if offset <= applied_first or offset > snapshot_offset:
            assert restored.apply(offset, record) == verdict
        if offset == snapshot_offset:
            restored.restore(offset, uninterrupted.dump())

    assert restored.dump() == uninterrupted.dump()
    assert (restored.applied, restored.version) == (uninterrupted.applied, uninterrupted.version)
    assert restored.policies == uninterrupted.policies
