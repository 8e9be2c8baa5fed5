"""The operators' configuration, read from records of the platform's store."""

from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import MalformedMessageError
from marigoldlift.platform.wire import ConfigurationBody, QueueBody
from marigoldlift.submissions.model import AdvicePolicy, Policy
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('CellConfiguration', 'ConfigurationReader', 'Queue')

CONFIGURATION_KEY = 'config'

#: Largest configuration, in bytes.
MAX_CONFIGURATION_BYTES = 8_388_608

configuration_decoder: JsonDecoder[ConfigurationBody] = JsonDecoder(
    ConfigurationBody, MAX_CONFIGURATION_BYTES
)


class Queue(msgspec.Struct, frozen=True):
    """A queue, with the host and the path prefix of its requests."""

    host: str
    prefix: str
    policy: Policy


class CellConfiguration:
    """One version of the configuration.

    Attributes:
        version: number of the version.
        queues: queues by host and path prefix.
        prefix_lengths: lengths of the path prefixes of each host, the longest first.
    """

    def __init__(self, version: int, queues: Iterable[Queue]) -> None:
        """Index the queues."""
        self.version = version
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
        self.on_change(CellConfiguration(body.version, map(parse_queue, body.routes)))


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
    return Queue(body.host, body.path_prefix, policy)
