"""Parsing of the settings file, with all errors reported at once."""

import pytest

from marigoldlift.errors import SettingsError
from marigoldlift.platform.node_settings import parse_node_settings
from marigoldlift.workspaces.model import ShareLimits

GOOD = """node_name=edge-a-1
zone=a
ip=10.1.0.13
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
listen.control=10.1.0.13:8166
internal_ports=7720,7735
seeds=10.1.0.13:8166,10.2.0.30:8166
limits.cpu_share=0.5
limits.cores=2
bounds.hold_max_ms=6000
bounds.gang_ms=3000
bounds.status_s=120
bounds.grace_s=6
orders=call
advice=10.200.1.9:8169
platform.addr=10.200.1.7:8169
a.new.field=ignored
"""


def test_fields_are_typed():
    """Guards against units and lists that are parsed wrongly."""
    settings = parse_node_settings(GOOD)
    assert settings.node == 'edge-a-1'
    assert settings.cores == pytest.approx(1.0)
    assert settings.longest_lease_s == pytest.approx(6.0)
    assert settings.seeds == ('10.1.0.13:8166', '10.2.0.30:8166')


@pytest.mark.parametrize(
    ('line', 'default', 'expected'),
    [('', 'off', False), ('', 'on', True), ('on', 'off', True), ('off', 'on', False)],
)
def test_learning_is_switched_by_the_file_before_the_command(line, default, expected):
    """Guards against a switch that cannot be turned in the file, or that is on unasked."""
    text = f'{GOOD}learning.run_times={line}\n' if line else GOOD
    assert parse_node_settings(text, default).learns_run_times is expected


def test_all_errors_are_reported_at_once():
    """Guards against an invalid file whose errors are reported one at a time, or as a traceback."""
    broken = GOOD.replace('gang_ms=3000', 'gang_ms=soon').replace('front=10.1.0.13:', 'front=')
    broken = broken.replace('orders=call', 'orders=pigeon').replace('node_name=edge-a-1\n', '')
    broken += 'learning.run_times=yes\n'
    raised = pytest.raises(SettingsError, parse_node_settings, broken)
    reported = '\n'.join(raised.value.errors)
    for expected in (
        'node_name: missing',
        "'soon'",
        "'8161'",
        "'pigeon'",
        'allowed: call',
        "'yes'",
    ):
        assert expected in reported


@pytest.mark.parametrize('cut', range(0, len(GOOD), 37))
def test_truncated_file_raises_only_settings_errors(cut):
    """Guards against another exception when the file is read while it is being written."""
    try:
        parse_node_settings(GOOD[:cut])
    except SettingsError as error:
        assert error.errors


def test_bounds_of_the_configuration():
    """Guards against bounds of keys that are read wrongly, or against an entry that does not start over a short one."""
    settings = parse_node_settings(f'{GOOD}contracts=base,tenants\nbounds.strict_revoke=true\n')
    assert settings.strict_key_withdrawal
    assert settings.needs_keys
    assert settings.configuration_s == pytest.approx(3.0)
    short = parse_node_settings(f'{GOOD}bounds.strict_revoke=true\nbounds.revoke_ms=900\n')
    assert short.key_withdrawal_s == pytest.approx(2.0)
    broken = f'{GOOD}bounds.strict_revoke=maybe\n'
    raised = pytest.raises(SettingsError, parse_node_settings, broken)
    assert raised.value.errors == ("bounds.strict_revoke: 'maybe' is neither true nor false",)


def test_share_limits_are_optional():
    """Guards against settings without workspaces, whose fields are missing or empty, that are refused."""
    text = f'{GOOD}bounds.quota_window_s=4\nbounds.quota_slack=\n'
    assert parse_node_settings(text).shares == ShareLimits(window_s=4)


@pytest.mark.parametrize('wrong', ['quota_window_s=0', 'quota_excess=-1', 'quota_slack=nan'])
def test_wrong_share_limits_are_reported(wrong):
    """Guards against limits that refuse everything, or divide by zero."""
    raised = pytest.raises(SettingsError, parse_node_settings, f'{GOOD}bounds.{wrong}\n')
    assert wrong.partition('=')[0] in raised.value.errors[0]
