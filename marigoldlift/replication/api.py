"""Protocol of the shared log."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('KeyedLog', 'LogPage', 'Producer', 'SnapshotPage')


class Producer(msgspec.Struct, frozen=True):
    """Writer of records: the log numbers its appends, and refuses those of an earlier epoch."""

    name: str
    epoch: int


class LogPage(msgspec.Struct, frozen=True):
    """Records from an offset on, and the offset after the last one stored."""

    end: int
    records: list[StoredRecord]


class SnapshotPage(msgspec.Struct, frozen=True):
    """One page of the newest records of all keys; `more` says that further keys follow the last one."""

    end: int
    records: list[StoredRecord]
    more: bool


class KeyedLog(Protocol):
    """One partition of a log that keeps the newest record of each key."""

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records all or nothing, once for each sequence number of a producer's epoch.

        An append without records only makes the log refuse earlier epochs of the producer from then on.

        Returns:
            The offset of the first record.

        Raises:
            AppendRefusedError: nothing was stored.
            AppendOutcomeUnknownError: the records may be stored, now or later.
            SequenceMismatchError: the log expects another sequence number of the producer.
        """

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on, waiting for the first one.

        Raises:
            RetentionPassedError: the records from that offset are no longer kept.
            LogUnavailableError: no answer.
        """

    async def newest(self, after: str) -> SnapshotPage:
        """Return the newest records of the keys after the given one.

        Raises:
            LogUnavailableError: no answer.
        """
