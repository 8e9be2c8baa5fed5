"""Tests of loading and validating settings files."""

import json

import pytest

from marigoldlift.errors import SettingsError
from marigoldlift.settings.loader import load_settings
from marigoldlift.settings.settings import LeaseSettings, LogLevel


def test_smallest_file_gets_all_defaults(options, load_text):
    """Guards against an option required despite its default, and against wrong defaults."""
    options['logging'] = {'level': 'debug'}
    loaded = load_text(json.dumps(options).encode())

    assert loaded.lease == LeaseSettings(ttl_ms=4000, renew_ms=1000, task_lease_ms=20000)
    assert loaded.http_advertise == '127.0.0.1:8080'
    assert loaded.logging.level is LogLevel.debug
    assert loaded.failure_domains == ('recife', 'fortaleza', 'salvador')


@pytest.mark.parametrize(
    ('changed', 'path', 'part'),
    [
        ({'vm_id': 7}, 'vm_id', 'allowed is text'),
        ({'failure_domain': 'natal'}, 'failure_domain', 'must be one of failure_domains'),
        ({'failure_domains': []}, 'failure_domains', 'empty'),
        ({'failure_domains': 'recife'}, 'failure_domains', 'list'),
        ({'failure_domains': None}, 'failure_domains', 'list'),
        ({'failure_domains': ['recife', 'recife']}, 'failure_domains', 'twice'),
        ({'failure_domains': ['recife', 3]}, 'failure_domains[1]', 'allowed is text'),
        ({'http_listen': 'localhost:80'}, 'http_listen', 'allowed is IP:port'),
        ({'http_listen': None}, 'http_listen', 'allowed is IP:port'),
        ({'grpc_listen': '127.0.0.1:70000'}, 'grpc_listen', 'allowed is 0 to 65535'),
        ({'grpc_listen': '::1:90'}, 'grpc_listen', 'allowed is IP:port'),
        ({'http_listen': '0.0.0.0:80'}, 'http_advertise', 'is required'),
        ({'log_address': '127.0.0.1:0'}, 'log_address', 'allowed is 1 to 65535'),
        ({'seeds': ['127.0.0.1:1', 'x']}, 'seeds[1]', 'allowed is IP:port'),
        ({'seeds': [None]}, 'seeds[0]', 'allowed is IP:port'),
        ({'seeds': None}, 'seeds', 'must be a list'),
        ({'seed': []}, 'seed', "did you mean 'seeds'?"),
        ({'lease': {'ttl': 1}}, 'lease.ttl', "did you mean 'ttl_ms'?"),
        ({'lease': 5}, 'lease', 'must be an object'),
        ({'lease': {'ttl_ms': True}}, 'lease.ttl_ms', 'allowed is an integer from 300 to 60000'),
        ({'limits': {'max_forwards': True}}, 'limits.max_forwards', 'allowed is an integer'),
        ({'lease': {'ttl_ms': 4000.0}}, 'lease.ttl_ms', 'allowed is an integer'),
        ({'lease': {'renew_ms': 1334}}, 'lease.renew_ms', 'at most a third of lease.ttl_ms'),
        ({'lease': {'task_lease_ms': 7999}}, 'lease.ttl_ms', 'half of lease.task_lease_ms'),
        ({'membership': {'heartbeat_ms': 1001}}, 'membership.heartbeat_ms', 'at most half'),
        ({'membership': {'remove_ms': 2000}}, 'membership.suspect_ms', 'must be below'),
        (
            {'membership': {'remote_suspect_ms': 40000}},
            'membership.remote_suspect_ms',
            'must be below membership.remote_remove_ms',
        ),
        ({'journal': {'snapshot_records': 50001}}, 'journal.snapshot_records', 'half'),
        ({'journal': {'max_pending_records': 9}}, 'journal.max_batch_records', 'at most'),
        ({'limits': {'max_body_bytes': 1048577}}, 'limits.max_body_bytes', 'at most half'),
        ({'limits': {'max_forwards': -1}}, 'limits.max_forwards', 'from 0 to 8'),
        ({'logging': {'level': 'loud'}}, 'logging.level', 'debug, info, warning, error'),
        ({'logging': {'level': []}}, 'logging.level', 'debug, info, warning, error'),
    ],
)
def test_error_names_path_and_rule(options, errors_of, changed, path, part):
    """Guards against an invalid setting that is accepted, or an error that is hard to locate."""
    errors = errors_of(options | changed)

    assert list(errors) == [path]
    assert part in errors[path]


@pytest.mark.parametrize('name', ['vm_id', 'failure_domains', 'http_listen', 'log_address'])
def test_missing_option_is_named(options, errors_of, name):
    """Guards against a daemon that starts with a missing, thus empty, name or address."""
    options.pop(name)

    assert errors_of(options)[name] == 'is required'


def test_all_errors_are_reported_at_once(options, errors_of):
    """Guards against reporting only the first error: each would take another start to find."""
    options.pop('rack')
    options |= {'lease': {'renew_ms': 2000}, 'limits': {'max_queue': 0}, 'color': 1}

    assert set(errors_of(options)) == {'rack', 'lease.renew_ms', 'limits.max_queue', 'color'}


@pytest.mark.parametrize(
    'text',
    [b'', b'{', b'[]', b'null', b'\xff', b'[' * 100_000, b'{"a": 1, "a": 2}', b' ' * 1_048_577],
)
def test_broken_file_is_a_settings_error(load_text, text):
    """Guards against a traceback for a file that is not a valid JSON object."""
    with pytest.raises(SettingsError) as raised:
        load_text(text)

    assert raised.value.errors[0].startswith('$: ')


@pytest.mark.parametrize('name', ['missing.json', '.', 'a\x00b'])
def test_unreadable_file_is_a_settings_error(tmp_path, name):
    """Guards against a traceback for a missing file, a directory or an invalid path."""
    with pytest.raises(SettingsError, match='cannot read'):
        load_settings(str(tmp_path / name))
