"""Protocol of the shared log."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from marigoldlift.errors import RetentionPassedError
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('KeyedLog', 'LogPage', 'Producer', 'SnapshotPage', 'SnapshotPreferredError')


class SnapshotPreferredError(RetentionPassedError):
    """Records are read sooner, or only, from a snapshot of the newest ones."""

    code = 'snapshot_preferred'

    def __init__(self, start: int, end: int) -> None:
        """Tell which records follow."""
        super().__init__(end)
        self.reason = f'records {start} to {end} are read from a snapshot'


class Producer(msgspec.Struct, frozen=True):
    """Writer of records: the log numbers its appends, and refuses those of an earlier epoch."""

    name: str
    epoch: int


class LogPage(msgspec.Struct, frozen=True):
    """Records from an offset on, and the offset after the last one stored.

    Attributes:
        cut_off_bytes: size of the first record if the answer ends within it, so that there are no records; else 0.
    """

    end: int
    records: list[StoredRecord]
    cut_off_bytes: int = 0


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

    async def read_record(self, start: int, size_bytes: int) -> LogPage:
        """Return the record at an offset, of a size that a read has told, and those that fit beside it.

        Raises:
            RetentionPassedError: the record is no longer kept.
            LogUnavailableError: no answer.
        """

    async def probe(self, start: int) -> None:
        """Make the smallest read from an offset, to find out whether the log answers.

        Raises:
            RetentionPassedError: the records from that offset are no longer kept.
            LogUnavailableError: no answer.
        """

    async def newest(self, after: str) -> SnapshotPage:
        """Return the newest records of the keys after the given one.

        Raises:
            LogUnavailableError: no answer.
        """
