"""Registry of the workers that the platform lists."""

import zlib
from collections.abc import Callable, Collection

import msgspec
from loguru import logger

from marigoldlift.errors import MalformedMessageError
from marigoldlift.orders.api import Worker
from marigoldlift.submissions.record_codec import StoredRecord
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('Registry',)


class Registry:
    """Newest registry entry of each worker; entries of other writers, which describe no worker, are skipped.

    A worker whose entry is replaced by one that describes no worker gets no new tasks until its next entry, but it
    stays listed: it writes its entry anew with each heartbeat, and its runs go on.

    Attributes:
        workers: listed workers by key of their entry.
        skipped: checksum of the newest skipped content, by key; each content is logged once.
    """

    def __init__(self, decode: Callable[[str, bytes], Worker], metrics: Metrics) -> None:
        """Start empty.

        Args:
            decode: returns the worker that an entry describes, or raises `MalformedMessageError`.
            metrics: counts skipped entries.
        """
        self.decode = decode
        self.metrics = metrics
        self.workers: dict[str, Worker] = {}
        self.skipped: dict[str, int] = {}

    def apply(self, stored: StoredRecord) -> None:
        """Apply one entry; an entry without content removes the worker."""
        if not stored.content:
            self.remove(stored.key)
            return
        try:
            worker = self.decode(stored.key, stored.content)
        except MalformedMessageError as fault:
            self.skip(stored, fault)
            return
        self.skipped.pop(stored.key, None)
        self.workers[stored.key] = worker

    def skip(self, stored: StoredRecord, fault: MalformedMessageError) -> None:
        """Count and log an entry that describes no worker, and give no new tasks to the worker of its key."""
        listed = self.workers.get(stored.key)
        if listed is not None:
            self.workers[stored.key] = msgspec.structs.replace(listed, ready=False)
        checksum = zlib.crc32(stored.content)
        if self.skipped.get(stored.key) == checksum:
            return
        self.skipped[stored.key] = checksum
        self.metrics.add(Metric.entries_skipped)
        logger.warning(
            'registry entry skipped: key={!r} offset={} bytes={} {}',
            stored.key,
            stored.offset,
            len(stored.content),
            fault.reason,
        )

    def remove(self, key: str) -> None:
        """Remove the worker of a key."""
        self.workers.pop(key, None)
        self.skipped.pop(key, None)

    def retain(self, keys: Collection[str]) -> None:
        """Remove the workers whose keys a snapshot does not contain."""
        for key in (self.workers.keys() | self.skipped.keys()) - set(keys):
            self.remove(key)
