"""Entries of workspaces in the configuration, valid and malformed ones."""

import msgspec
import pytest

from marigoldlift.platform.configuration import ConfigurationReader
from marigoldlift.platform.keys import digest_of_key
from marigoldlift.submissions.record_codec import StoredRecord

GOOD = {'name': 'good', 'api_keys': ['k-good'], 'weight': 36, 'cap': {'cpu': 7000, 'gpu': 2}}
KEYS = {'api_keys': ['k']}

#: Entries that are left out as a whole, and keys that are.
UNUSABLE = [5, {}, {'name': 7}, KEYS | {'name': 'x' * 129}, KEYS | {'name': 'a\nb'}]
UNUSABLE.extend([KEYS | {'name': ''}, KEYS | {'name': 'good'}, {'name': 'b', 'api_keys': 'k'}])
UNUSABLE_KEYS = ['', 'k' * 1_000_000, 5, None, 'a b', '\u00e9', ['k']]

#: Fields that suspend their workspace.
UNREADABLE = [{'weight': odd} for odd in (-1, 'heavy', 10**400, None)]
UNREADABLE.extend({'cap': odd} for odd in (5, None, {'cpu': -1}, {'mem_mb': 10**30}, {'gpu': 0.5}))


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
    body = msgspec.json.encode({'version': version, **fields})
    reader.apply(StoredRecord(version, 'config', body))


def owner(configuration, key):
    """Return the name of the workspace that holds a key, None if none does."""
    return configuration.workspace_of_key.get(digest_of_key(key))


@pytest.mark.parametrize(
    ('odd', 'lines'),
    [(UNUSABLE, len(UNUSABLE)), ([{'name': 'b', 'api_keys': UNUSABLE_KEYS}], len(UNUSABLE_KEYS))],
)
def test_malformed_entry_leaves_the_others_in_force(reader, applied, log_lines, odd, lines):
    """Guards against an odd entry or key that takes others out of force, or is not reported by one short line."""
    apply(reader, 1, tenants=[GOOD, *odd])
    assert applied[0].key_count == 1
    assert owner(applied[0], 'k-good') == 'good'
    first = applied[0].workspaces[0]
    assert (first.weight, first.cap.cpu_m, first.cap.gpus) == (36, 7000, 2)
    problems = [line for line in log_lines if 'skipped' in line]
    assert len(problems) == lines
    assert max(map(len, problems)) < 200


@pytest.mark.parametrize('odd', UNREADABLE)
def test_unreadable_limits_suspend_the_workspace(reader, applied, odd):
    """Guards against a workspace that runs without a limit, or is locked out of its work, by a mistake in its entry."""
    apply(reader, 1, tenants=[GOOD, {'name': 'b', **KEYS, **odd}, {'name': 'c'}])
    assert applied[0].suspended == {'b'}
    assert owner(applied[0], 'k') == 'b'
    cap = applied[0].workspaces[1].cap
    assert (cap.cpu_m, cap.mem_mb, cap.gpus) == (1, 1, 1)


def test_key_of_two_workspaces_belongs_to_neither(reader, applied):
    """Guards against callers who read and pay as another workspace."""
    apply(reader, 1, tenants=[GOOD, {'name': 'b', 'api_keys': ['k-good', 'k-b', 'k-b']}])
    assert [owner(applied[0], key) for key in ('k-good', 'k-b')] == [None, 'b']


def test_versions_that_do_not_take_effect(reader, applied):
    """Guards against a withdrawn key that an old record brings back, and a list of another type that lets all in."""
    apply(reader, 2, tenants=[GOOD])
    for version, odd in ((1, [{'name': 'b', **KEYS}]), (2, []), (3, {}), (4, 'none'), (5, 5)):
        apply(reader, version, tenants=odd)
    assert [configuration.version for configuration in applied] == [2]


@pytest.mark.parametrize(('needs_keys', 'keys'), [(True, {}), (False, None)])
def test_version_without_workspaces(applied, needs_keys, keys):
    """Guards against a last workspace that is removed and callers who need no key from then on."""
    apply(ConfigurationReader(applied.append, needs_keys), 1)
    assert applied[0].workspace_of_key == keys
