"""The operators' configuration, read from records of the platform's store."""

from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import MalformedMessageError
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.keys import KeyDigest
from marigoldlift.platform.node_settings import NodeSettings
from marigoldlift.platform.wire import ConfigurationBody, QueueBody
from marigoldlift.platform.workspace_parsing import KeyedWorkspace, parse_workspaces
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.model import AdvicePolicy, Policy
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('CellConfiguration', 'ConfigurationFreshness', 'ConfigurationReader', 'Queue')

CONFIGURATION_KEY = 'config'

#: Largest configuration, in bytes.
MAX_CONFIGURATION_BYTES = 8_388_608

#: Part of the time in which a change has to be in force that is left to the request and its answer, in s.
RESERVE_S = 0.5

configuration_decoder: JsonDecoder[ConfigurationBody] = JsonDecoder(
    ConfigurationBody, MAX_CONFIGURATION_BYTES
)


class Queue(msgspec.Struct, frozen=True):
    """A queue, with the host and the path prefix of its requests.

    Attributes:
        anonymous: whether its callers need no key.
    """

    host: str
    prefix: str
    policy: Policy
    anonymous: bool = False


class CellConfiguration:
    """One version of the configuration.

    Attributes:
        version: number of the version.
        queues: queues by host and path prefix.
        workspaces: workspaces that share the cell.
        workspace_of_key: name of the workspace by the digest of a key; None where the deployment has no workspaces, so
            that callers need no key.
        suspended: workspaces for which nothing is accepted.
        prefix_lengths: lengths of the path prefixes of each host, the longest first.
    """

    def __init__(
        self,
        version: int,
        queues: Iterable[Queue],
        workspaces: Iterable[KeyedWorkspace] | None = None,
    ) -> None:
        """Index the queues."""
        self.version = version
        listed = tuple(workspaces or ())
        self.workspaces = tuple(entry.workspace for entry in listed)
        self.suspended = frozenset(entry.workspace.name for entry in listed if entry.suspended)
        self.workspace_of_key: dict[KeyDigest, WorkspaceId] | None = None
        if workspaces is not None:
            self.workspace_of_key = {
                key: entry.workspace.name for entry in listed for key in entry.keys
            }
        self.queues = {(queue.host, queue.prefix): queue for queue in queues}
        lengths: dict[str, set[int]] = {}
        for host, prefix in self.queues:
            lengths.setdefault(host, set()).add(len(prefix))
        self.prefix_lengths = {
            name: sorted(found, reverse=True) for name, found in lengths.items()
        }

    @property
    def key_count(self) -> int:
        """Return the number of keys."""
        return len(self.workspace_of_key or ())

    def queue_of(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, None if none matches."""
        for length in self.prefix_lengths.get(host, ()):
            queue = self.queues.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


class ConfigurationReader:
    """Applies records of the operators' topic and keeps the highest version."""

    def __init__(
        self, on_change: Callable[[CellConfiguration], None], needs_keys: bool = False
    ) -> None:
        """Start without a version.

        Args:
            on_change: called with each version that is higher than all previous ones.
            needs_keys: whether callers need keys also under a version that names no workspaces.
        """
        self.on_change = on_change
        self.needs_keys = needs_keys
        self.version = -1

    def apply(self, stored: StoredRecord) -> None:
        """Apply one record; skip other keys, older versions, and content that does not decode."""
        if stored.key != CONFIGURATION_KEY or not stored.content:
            return
        try:
            body = configuration_decoder.decode(stored.content)
        except MalformedMessageError as fault:
            logger.error('configuration cannot be read: offset={} {}', stored.offset, fault)
            return
        if body.version <= self.version:
            return
        configuration = self.convert(body)
        self.version = configuration.version
        logger.info(
            'configuration in force: version={} queues={} workspaces={} keys={}',
            configuration.version,
            len(configuration.queues),
            len(configuration.workspaces),
            configuration.key_count,
        )
        self.on_change(configuration)

    def convert(self, body: ConfigurationBody) -> CellConfiguration:
        """Convert one version of the configuration."""
        workspaces = None
        if body.tenants is not None or self.needs_keys:
            workspaces = parse_workspaces(body.tenants or ())
        return CellConfiguration(body.version, map(parse_queue, body.routes), workspaces)


class ConfigurationFreshness:
    """Tells how long an entry that does not reach the store may act on the configuration that it has read last.

    The age counts from when a read was sent that found nothing newer, on a clock that includes suspended time. A process
    that wakes from a pause may first find an old answer in its socket; the age still includes the pause then.

    Attributes:
        replica: follows the operators' topic.
        clock: monotonic time in seconds that includes suspended time.
        unknown_after_s: age from which a queue or key that the configuration does not hold may exist, in s.
        keys_expire_after_s: age from which no key is accepted, in s.
    """

    def __init__(
        self, replica: Replica, clock: Callable[[], float], settings: NodeSettings
    ) -> None:
        """Derive the ages from the settings."""
        self.replica = replica
        self.clock = clock
        self.unknown_after_s = settings.configuration_s - RESERVE_S
        self.keys_expire_after_s = key_validity_s(settings)

    def age_s(self) -> float:
        """Return the age of the last confirmation in s, infinity before the first one."""
        return self.clock() - self.replica.confirmed_at

    def may_be_stale(self) -> bool:
        """Return whether the store may have held a newer configuration for so long that it should be in force."""
        return self.age_s() > self.unknown_after_s

    def is_outdated(self) -> bool:
        """Return whether the store is known to hold a newer configuration, for so long that it should be in force."""
        since = self.replica.contact.behind_since
        return since is not None and self.clock() - since > self.unknown_after_s

    def are_keys_expired(self) -> bool:
        """Return whether any key may have been withdrawn for so long that it must not be accepted."""
        return self.is_outdated() or self.age_s() > self.keys_expire_after_s


def key_validity_s(settings: NodeSettings) -> float:
    """Return for how long after the last confirmation an entry accepts the keys that it knows, in s."""
    if settings.strict_key_withdrawal:
        return settings.key_withdrawal_s
    return settings.configuration_s + settings.configuration_stretch_s


def parse_queue(body: QueueBody) -> Queue:
    """Convert a route of the configuration to a queue."""
    advice = None
    if body.advice is not None:
        advice = AdvicePolicy(body.advice.decide_ms, body.advice.period_ms, body.advice.valid_ms)
    policy = Policy(
        queue=body.name,
        service=body.service,
        priority=body.priority,
        max_attempts=body.max_attempts,
        stretch=body.stretch,
        target_ms=body.target_latency_ms,
        advice=advice,
    )
    return Queue(body.host, body.path_prefix, policy, body.anonymous)
