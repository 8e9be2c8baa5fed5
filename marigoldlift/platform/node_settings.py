"""Settings file of a process on the platform: lines of the form `a.b=value`."""

import msgspec

from marigoldlift.errors import SettingsError

__all__ = ('NodeSettings', 'SETTINGS_VARIABLE', 'parse_node_settings')

#: Environment variable that holds the path of the file.
SETTINGS_VARIABLE = 'MARIGOLDLIFT_NODE_FILE'

MS_PER_S = 1000

#: The way of receiving orders that this program speaks.
SUPPORTED_ORDERS = 'call'


class NodeSettings(msgspec.Struct, frozen=True):
    """What an entry has to know of its VM and of the platform.

    Attributes:
        caller_address: where callers connect.
        ready_address: where the balancer asks whether the entry is ready.
        peer_address: where other entries connect.
        metrics_port: first port that is free for own use.
        seeds: addresses of some other entries, which may be stale.
        cores: processor time of the VM, in cores.
        longest_lease_s: longest lease that workers take.
        gang_wait_s: how long a gang's member waits at its worker for the others.
        outcome_kept_s: how long the outcome of a submission is told.
        grace_s: time from the request to stop until the process is killed.
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


class SettingsLines:
    """Fields of the file with checked getters; every fault is kept with its path.

    Attributes:
        faults: what is wrong, one line each.
    """

    def __init__(self, text: str) -> None:
        """Split the lines; those of another form are left out."""
        pairs = [line.partition('=') for line in text.splitlines() if '=' in line]
        self.fields = {name.strip(): content.strip() for name, _, content in pairs}
        self.faults: list[str] = []

    def text(self, path: str, default: str | None = None) -> str:
        """Return a field; without a default it is needed."""
        content = self.fields.get(path, default)
        if content is None:
            self.faults.append(f'{path}: missing')
            return ''
        return content

    def number(self, path: str, default: float | None = None) -> float:
        """Return a field that holds a number of 0 or more."""
        content = self.text(path, None if default is None else str(default))
        try:
            number = float(content)
        except ValueError:
            self.faults.append(f'{path}: {content!r} is no number')
            return 0
        if number < 0:
            self.faults.append(f'{path}: {content} is below 0')
        return number

    def address(self, path: str) -> str:
        """Return a field that holds an address of the form IP:PORT."""
        content = self.text(path)
        host, _, port = content.rpartition(':')
        if content and not (host and port.isdigit()):
            self.faults.append(f'{path}: {content!r} is not of the form IP:PORT')
        return content


def parse_node_settings(text: str) -> NodeSettings:
    """Return the settings of a file's text.

    Raises:
        SettingsError: a field is missing or wrong; all faults are named with path and value.
    """
    lines = SettingsLines(text)
    orders = lines.text('orders', SUPPORTED_ORDERS)
    if orders != SUPPORTED_ORDERS:
        lines.faults.append(f'orders: {orders!r} is not supported; allowed: {SUPPORTED_ORDERS}')
    ports = lines.text('internal_ports').split(',')
    if not ports[0].isdigit():
        lines.faults.append(f'internal_ports: {ports[0]!r} is no port')
    settings = NodeSettings(
        node=lines.text('node_name'),
        failure_domain=lines.text('zone'),
        ip=lines.text('ip'),
        caller_address=lines.address('listen.front'),
        ready_address=lines.address('listen.ready'),
        peer_address=lines.address('listen.control'),
        metrics_port=int(ports[0]) if ports[0].isdigit() else 0,
        cores=lines.number('limits.cpu_share', 1) * lines.number('limits.cores', 1),
        seeds=tuple(seed for seed in lines.text('seeds', '').split(',') if seed),
        store_address=lines.address('platform.addr'),
        advice_address=lines.text('advice', ''),
        longest_lease_s=lines.number('bounds.hold_max_ms') / MS_PER_S,
        gang_wait_s=lines.number('bounds.gang_ms') / MS_PER_S,
        outcome_kept_s=lines.number('bounds.status_s'),
        grace_s=lines.number('bounds.grace_s'),
    )
    if lines.faults:
        raise SettingsError(tuple(lines.faults))
    return settings
