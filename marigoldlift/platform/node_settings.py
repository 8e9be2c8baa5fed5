"""Parser of the settings file of a process on the platform: lines of the form `a.b=value`."""

import math
from types import MappingProxyType

import msgspec
from loguru import logger

from marigoldlift.errors import SettingsError
from marigoldlift.platform.addresses import is_port, is_socket_address
from marigoldlift.workspaces.model import ShareLimits

__all__ = ('NodeSettings', 'SETTINGS_VARIABLE', 'parse_node_settings')

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'MARIGOLDLIFT_NODE_FILE'

MS_PER_S = 1000

#: Shortest and longest span over which the submissions of a workspace are counted, in s; the entries know of each other's
#: up to 0.5 s late.
MIN_WINDOW_S = 1
MAX_WINDOW_S = 3600

#: Values of a field that switches something.
SWITCH = MappingProxyType({'on': True, 'off': False})

#: The only value of `orders`, the way in which workers get their orders, that this program supports.
SUPPORTED_ORDERS = 'call'


#: Values for settings files that do not name these bounds.
DEFAULT_CONFIGURATION_MS = 3000
DEFAULT_KEY_WITHDRAWAL_MS = 5000

#: Smallest of these bounds: a read of the configuration waits for 1 s, so that a smaller one would pass between two reads.
MIN_CONFIGURATION_MS = 2000

#: Entry of `contracts` in the settings of a deployment whose callers need keys.
KEYS_CONTRACT = 'tenants'

FLAGS = MappingProxyType({'true': True, 'false': False})


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of an entry: its VM, and the services and limits of the platform.

    Attributes:
        node: name of this entry's VM.
        failure_domain: failure domain of the VM.
        ip: IP address of the VM.
        caller_address: address for callers.
        ready_address: address for the balancer's readiness checks.
        peer_address: address for other entries.
        metrics_port: port for metrics, the first of the ports that the entry may use freely.
        cores: processor time available to the entry, in cores.
        seeds: addresses of some other entries; they may be stale.
        store_address: address of the platform's store.
        advice_address: address of the placement advice, empty if there is none.
        longest_lease_s: longest lease that workers accept, in s.
        gang_wait_s: how long a member of a gang waits on its worker for the other members, in s.
        outcome_kept_s: how long the outcome of a submission can be queried, in s.
        grace_s: time from the stop request until the process is killed, in s.
        configuration_s: time within which a change of the configuration has to be in force, in s.
        configuration_stretch_s: how much longer it may take while the store is disturbed, in s.
        key_withdrawal_s: time after which a withdrawn key must not be accepted, in s.
        strict_key_withdrawal: whether that holds for entries that do not reach the store, too.
        needs_keys: whether callers need keys even if the configuration names no workspaces.
        shares: how far a workspace may exceed its weight before its submissions may be refused.
        learns_run_times: whether run times and speeds of workers are learned and used; optional, off by default.
    """

    node: str
    failure_domain: str
    ip: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_port: int
    cores: float
    seeds: tuple[str, ...]
    store_address: str
    advice_address: str
    longest_lease_s: float
    gang_wait_s: float
    outcome_kept_s: float
    grace_s: float
    configuration_s: float
    configuration_stretch_s: float
    key_withdrawal_s: float
    strict_key_withdrawal: bool
    needs_keys: bool
    shares: ShareLimits = ShareLimits()
    learns_run_times: bool = False


class SettingsLines:
    """Fields of the file, with getters that validate; all errors are collected.

    Attributes:
        fields: values as text by their path in the file, such as `listen.front`.
        errors: errors found so far, one line each, beginning with the path of the field.
    """

    def __init__(self, text: str) -> None:
        """Split the lines; lines without `=` are ignored."""
        pairs = [line.partition('=') for line in text.splitlines() if '=' in line]
        self.fields = {name.strip(): content.strip() for name, _, content in pairs}
        self.errors: list[str] = []

    def text(self, path: str, default: str | None = None) -> str:
        """Return a field as text; it is required if there is no default."""
        content = self.fields.get(path, default)
        if content is None:
            self.errors.append(f'{path}: missing')
            return ''
        return content

    def number(self, path: str, default: float | None = None) -> float:
        """Return a field that has to hold a number of at least 0; it is required if there is no default."""
        content = self.text(path, None if default is None else str(default))
        try:
            number = float(content)
        except ValueError:
            self.errors.append(f'{path}: {content!r} is not a number')
            return 0
        if not math.isfinite(number) or number < 0:
            self.errors.append(f'{path}: {content} is no finite number of at least 0')
            return 0
        return number

    def duration_ms(self, path: str, default_ms: float) -> float:
        """Return a duration in s from a field in ms; a shorter one counts as `MIN_CONFIGURATION_MS`."""
        number = self.number(path, default_ms)
        if number < MIN_CONFIGURATION_MS:
            logger.warning(
                '{}: {:g} is below {}, which is used', path, number, MIN_CONFIGURATION_MS
            )
        return max(number, MIN_CONFIGURATION_MS) / MS_PER_S

    def flag(self, path: str) -> bool:
        """Return a field that has to hold `true` or `false`, false if it is missing."""
        content = self.text(path, 'false')
        if content not in FLAGS:
            self.errors.append(f'{path}: {content!r} is neither true nor false')
        return FLAGS.get(content, False)

    def optional_number(self, path: str, default: float) -> float:
        """Return a field that may be missing or empty, and else has to hold a number of at least 0."""
        return self.number(path, default) if self.fields.get(path) else default

    def address(self, path: str) -> str:
        """Return a required field that has to hold an address of the form IP:PORT."""
        content = self.text(path)
        if content and not is_socket_address(content, lowest_port=0):
            self.errors.append(f'{path}: {content!r} is not of the form IP:PORT')
        return content

    def switch(self, path: str, default: str) -> bool:
        """Return a field that has to hold `on` or `off`."""
        content = self.text(path, default)
        if content not in SWITCH:
            self.errors.append(f'{path}: {content!r} is not valid; allowed: {", ".join(SWITCH)}')
            return False
        return SWITCH[content]

    def port(self, path: str) -> int:
        """Return the first port of a required field that lists ports."""
        first = self.text(path).partition(',')[0]
        if not is_port(first):
            self.errors.append(f'{path}: {first!r} is not a port')
            return 0
        return int(first)


def parse_share_limits(lines: SettingsLines) -> ShareLimits:
    """Return how far a workspace may exceed its weight; all fields have defaults."""
    default = ShareLimits()
    window_s = lines.optional_number('bounds.quota_window_s', default.window_s)
    if not MIN_WINDOW_S <= window_s <= MAX_WINDOW_S:
        lines.errors.append(
            f'bounds.quota_window_s: {window_s:g} is not between {MIN_WINDOW_S} and {MAX_WINDOW_S}'
        )
    return ShareLimits(
        window_s=window_s,
        excess=lines.optional_number('bounds.quota_excess', default.excess),
        slack=lines.optional_number('bounds.quota_slack', default.slack),
    )


def parse_node_settings(text: str, learn_run_times: str = 'off') -> NodeSettings:
    """Parse the text of a settings file.

    Args:
        text: the text.
        learn_run_times: value of `learning.run_times` if the file has no such line.

    Raises:
        SettingsError: fields are missing or invalid; it lists all of them with path and value.
    """
    lines = SettingsLines(text)
    orders = lines.text('orders', SUPPORTED_ORDERS)
    if orders != SUPPORTED_ORDERS:
        lines.errors.append(f'orders: {orders!r} is not supported; allowed: {SUPPORTED_ORDERS}')
    settings = NodeSettings(
        node=lines.text('node_name'),
        failure_domain=lines.text('zone'),
        ip=lines.text('ip'),
        caller_address=lines.address('listen.front'),
        ready_address=lines.address('listen.ready'),
        peer_address=lines.address('listen.control'),
        metrics_port=lines.port('internal_ports'),
        cores=lines.number('limits.cpu_share', 1) * lines.number('limits.cores', 1),
        seeds=tuple(seed for seed in lines.text('seeds', '').split(',') if seed),
        store_address=lines.address('platform.addr'),
        advice_address=lines.text('advice', ''),
        longest_lease_s=lines.number('bounds.hold_max_ms') / MS_PER_S,
        gang_wait_s=lines.number('bounds.gang_ms') / MS_PER_S,
        outcome_kept_s=lines.number('bounds.status_s'),
        grace_s=lines.number('bounds.grace_s'),
        configuration_s=lines.duration_ms('bounds.config_apply_ms', DEFAULT_CONFIGURATION_MS),
        configuration_stretch_s=lines.number('bounds.max_stretch_ms', 0) / MS_PER_S,
        key_withdrawal_s=lines.duration_ms('bounds.revoke_ms', DEFAULT_KEY_WITHDRAWAL_MS),
        strict_key_withdrawal=lines.flag('bounds.strict_revoke'),
        needs_keys=KEYS_CONTRACT in lines.text('contracts', '').split(','),
        shares=parse_share_limits(lines),
        learns_run_times=lines.switch('learning.run_times', learn_run_times),
    )
    if lines.errors:
        raise SettingsError(tuple(lines.errors))
    return settings
