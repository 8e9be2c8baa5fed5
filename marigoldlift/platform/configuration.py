"""The operators' configuration, read from records of the platform's store."""

from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import MalformedMessageError
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.wire import ConfigurationBody, QueueBody, TenantBody
from marigoldlift.submissions.model import AdvicePolicy, Policy
from marigoldlift.submissions.record_codec import StoredRecord
from marigoldlift.workspaces.model import ResourceCap, Workspace

__all__ = ('CellConfiguration', 'ConfigurationReader', 'KeyedWorkspace', 'Queue')

CONFIGURATION_KEY = 'config'

#: Largest configuration, in bytes.
MAX_CONFIGURATION_BYTES = 8_388_608

#: Largest entry of one workspace, in bytes.
MAX_TENANT_BYTES = 65_536

configuration_decoder: JsonDecoder[ConfigurationBody] = JsonDecoder(
    ConfigurationBody, MAX_CONFIGURATION_BYTES
)

tenant_decoder: JsonDecoder[TenantBody] = JsonDecoder(TenantBody, MAX_TENANT_BYTES)


class Queue(msgspec.Struct, frozen=True):
    """A queue, with the host and the path prefix of its requests.

    Attributes:
        anonymous: whether its callers need no key.
    """

    host: str
    prefix: str
    policy: Policy
    anonymous: bool = False


class KeyedWorkspace(msgspec.Struct, frozen=True):
    """A workspace with the keys of its callers."""

    workspace: Workspace
    keys: tuple[str, ...]


class CellConfiguration:
    """One version of the configuration.

    Attributes:
        version: number of the version.
        queues: queues by host and path prefix.
        workspaces: workspaces that share the cell.
        workspace_of_key: name of the workspace by key; None if the configuration names no workspaces, so that callers
            need no key.
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
        self.workspace_of_key: dict[str, WorkspaceId] | None = None
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

    def queue_of(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, None if none matches."""
        for length in self.prefix_lengths.get(host, ()):
            queue = self.queues.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


class ConfigurationReader:
    """Applies records of the operators' topic and keeps the highest version."""

    def __init__(self, on_change: Callable[[CellConfiguration], None]) -> None:
        """Start without a version.

        Args:
            on_change: called with each version that is higher than all previous ones.
        """
        self.on_change = on_change
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
        self.version = body.version
        logger.info('configuration in force: version={} queues={}', body.version, len(body.routes))
        workspaces = None if body.tenants is None else parse_workspaces(body.tenants)
        self.on_change(CellConfiguration(body.version, map(parse_queue, body.routes), workspaces))


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


def parse_workspaces(entries: Iterable[msgspec.Raw]) -> list[KeyedWorkspace]:
    """Convert the entries of workspaces; one that is malformed, or repeats a name, is skipped with a log line."""
    found: dict[str, KeyedWorkspace] = {}
    for number, entry in enumerate(entries):
        try:
            body = tenant_decoder.decode(bytes(entry))
        except MalformedMessageError as fault:
            logger.error('workspace cannot be read: tenants[{}] {}', number, fault)
            continue
        if body.name in found:
            logger.error('workspace skipped: tenants[{}] repeats the name of another', number)
            continue
        cap = ResourceCap(body.cap.cpu, body.cap.mem_mb, body.cap.gpu)
        workspace = Workspace(WorkspaceId(body.name), body.weight, cap)
        found[body.name] = KeyedWorkspace(workspace, tuple(body.api_keys))
    return list(found.values())
