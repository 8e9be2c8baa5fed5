"""Settings of a replica; the defaults suit the sizes of the design page."""

import random
from collections.abc import Callable

import msgspec

from marigoldlift.journal.backoff import Backoff
from marigoldlift.journal.batching import BatchLimits
from marigoldlift.util import wall_ms

__all__ = ('ReplicaSettings',)


class ReplicaSettings(msgspec.Struct, frozen=True):
    """How a replica reads, writes and remembers.

    Attributes:
        retention_s: how long the log surely keeps a record, in seconds.
        snapshot_records: records of the stream after which the state is written again.
        page_records: most records of one read; halved while pages are too large to read.
        long_poll_ms: time that the log may wait for a record, in milliseconds; with the read's
            grace and the connect timeout it has to leave time to ask a peer within 4 s.
        tail_records: records kept in memory for peers.
        tail_bytes: bytes of the records kept for peers.
        limits: bounds of the group commit buffer.
        uniform: source of random numbers between 0 and 1.
        wall_clock: wall clock in milliseconds; dates snapshots.
    """

    retention_s: float = 86_400
    snapshot_records: int = 20_000
    page_records: int = 256
    long_poll_ms: int = 1000
    tail_records: int = 4096
    tail_bytes: int = 1_048_576
    limits: BatchLimits = BatchLimits()
    uniform: Callable[[], float] = random.random
    wall_clock: Callable[[], int] = wall_ms

    def new_backoff(self) -> Backoff:
        """Return a fresh backoff on this source of random numbers."""
        return Backoff(self.uniform)
