"""The operators' configuration, read from records of the platform's store."""

from collections.abc import Callable

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


class CellConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration; queues with longer prefixes come first."""

    version: int
    queues: tuple[Queue, ...]

    def queue_of(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, None if none matches."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
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
        queues = sorted(map(parse_queue, body.routes), key=lambda queue: -len(queue.prefix))
        logger.info('configuration in force: version={} queues={}', body.version, len(queues))
        self.on_change(CellConfiguration(body.version, tuple(queues)))


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
