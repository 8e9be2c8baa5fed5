"""Entries of workspaces in the configuration, valid and malformed ones."""

import msgspec
import pytest

from marigoldlift.platform.configuration import ConfigurationReader
from marigoldlift.platform.keys import digest_of_key
from marigoldlift.submissions.record_codec import StoredRecord

GOOD = {'name': 'good', 'api_keys': ['k-good'], 'weight': 36, 'cap': {'cpu': 7000, 'gpu': 2}}


@pytest.fixture
def applied():
    """Return the configurations that a reader has put in force."""
    return []


@pytest.fixture
def reader(applied):
    """Return a reader of the configuration."""
    return ConfigurationReader(applied.append)


def apply(reader, version, **fields):
    """Apply a version with these fields."""
    body = msgspec.json.encode({'version': version, 'routes': [], **fields})
    reader.apply(StoredRecord(version, 'config', body))


def owner(configuration, key):
    """Return the name of the workspace that holds a key, None if none does."""
    return configuration.workspace_of_key.get(digest_of_key(key))


@pytest.mark.parametrize(
    'odd',
    [
        5,
        {},
        {'name': '', 'api_keys': ['k']},
        {'name': 7, 'api_keys': ['k']},
        {'name': 'x' * 129, 'api_keys': ['k']},
        {'name': 'a\nb', 'api_keys': ['k']},
        {'name': 'b', 'api_keys': 'k'},
        {'name': 'good', 'api_keys': ['k'], 'weight': 99},
        {'name': 'b', 'api_keys': ['']},
        {'name': 'b', 'api_keys': ['k' * 1_000_000]},
        {'name': 'b', 'api_keys': [5, None, 'a b', '\u00e9', ['k']]},
    ],
)
def test_malformed_entry_leaves_the_others_in_force(reader, applied, caplog_lines, odd):
    """Guards against one odd entry that takes the configuration or other workspaces out of force."""
    apply(reader, 1, tenants=[GOOD, odd])
    found = applied[0]
    assert owner(found, 'k-good') == 'good'
    assert owner(found, 'k') is None
    assert found.key_count == 1
    assert found.workspaces[0].weight == pytest.approx(36)
    assert found.workspaces[0].cap.gpus == 2
    problems = [line for line in caplog_lines if 'skipped' in line]
    assert problems
    assert max(map(len, problems)) < 300


@pytest.mark.parametrize(
    'odd',
    [
        {'weight': -1},
        {'weight': 'heavy'},
        {'weight': 10**400},
        {'weight': None},
        {'cap': 5},
        {'cap': {'cpu': -1}},
        {'cap': {'mem_mb': 10**30}},
        {'cap': {'gpu': 0.5}},
        {'cap': None},
    ],
)
def test_unreadable_limits_suspend_the_workspace(reader, applied, odd):
    """Guards against a workspace that runs without a limit, or is locked out of its work, by a mistake in its entry."""
    apply(reader, 1, tenants=[GOOD, {'name': 'b', 'api_keys': ['k'], **odd}])
    assert applied[0].suspended == {'b'}
    assert owner(applied[0], 'k') == 'b'
    assert owner(applied[0], 'k-good') == 'good'
    cap = applied[0].workspaces[1].cap
    assert (cap.cpu_m, cap.mem_mb, cap.gpus) == (1, 1, 1)


def test_missing_limits_are_none(reader, applied):
    """Guards against an entry that is refused for fields that are left out when they are 0."""
    apply(reader, 1, tenants=[{'name': 'b', 'api_keys': ['k']}])
    assert not applied[0].suspended
    assert applied[0].workspaces[0].weight == 0


def test_key_of_two_workspaces_belongs_to_neither(reader, applied):
    """Guards against callers who read and pay as another workspace."""
    twice = {'name': 'b', 'api_keys': ['k-good', 'k-b', 'k-b']}
    apply(reader, 1, tenants=[GOOD, twice])
    assert owner(applied[0], 'k-good') is None
    assert owner(applied[0], 'k-b') == 'b'
    apply(reader, 2, tenants=[GOOD])
    assert owner(applied[1], 'k-good') == 'good'


@pytest.mark.parametrize('odd', [{}, 'none', 5])
def test_list_of_another_type_leaves_the_earlier_version_in_force(reader, applied, odd):
    """Guards against a version without its workspaces that lets every caller in, or none."""
    apply(reader, 1, tenants=[GOOD])
    apply(reader, 2, tenants=odd)
    assert len(applied) == 1
    apply(reader, 3, tenants=[GOOD])
    assert applied[-1].version == 3


@pytest.mark.parametrize(('needs_keys', 'keys'), [(True, {}), (False, None)])
def test_version_without_workspaces(applied, needs_keys, keys):
    """Guards against a last workspace that is removed and callers who need no key from then on."""
    apply(ConfigurationReader(applied.append, needs_keys), 1)
    assert applied[0].workspace_of_key == keys


def test_older_version_never_comes_back(reader, applied):
    """Guards against a withdrawn key that an old record brings back."""
    apply(reader, 2, tenants=[GOOD])
    apply(reader, 1, tenants=[{'name': 'b', 'api_keys': ['k']}])
    apply(reader, 2, tenants=[])
    assert [configuration.version for configuration in applied] == [2]
