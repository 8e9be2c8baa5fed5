"""Snapshots of a stream's state, written into the stream itself in chunks."""

from collections.abc import Iterator

import msgspec

from marigoldlift.ids import Offset
from marigoldlift.journal.messages import SnapshotChunk
from marigoldlift.journal.state import StreamSnapshot
from marigoldlift.util import MS_PER_S

__all__ = (
    'SnapshotAssembler',
    'SnapshotMark',
    'SnapshotSchedule',
    'mark_of',
    'split_snapshot',
    'without_body',
)

# A page of 256 chunks stays within the 8 MiB that are read of one answer.
CHUNK_BYTES = 32_000

# Snapshots whose writer died stay incomplete; only the newest are worth their memory.
PARTIAL_LIMIT = 4

#: Part of the retention after which the state is written again.
RETENTION_SHARE = 0.5

# An entry that is not preferred steps in this much later, if the preferred one does not deliver.
STAND_IN_FACTOR = 1.5

# A mark further in the future than clocks differ comes from a wrong clock; its age is unknown.
CLOCK_TOLERANCE_MS = 60_000


class SnapshotMark(msgspec.Struct, frozen=True):
    """A complete snapshot in the stream: its state's offset, and when it was taken."""

    as_of: Offset
    at_ms: int


class PartialSnapshot(msgspec.Struct):
    """Chunks of one snapshot that were found so far, by index."""

    head: SnapshotChunk
    bodies: dict[int, bytes]


def split_snapshot(
    snapshot: StreamSnapshot,
    snapshot_id: str,
    at_ms: int,
    chunk_bytes: int = CHUNK_BYTES,
) -> Iterator[SnapshotChunk]:
    """Yield the chunks of a snapshot, at least one."""
    starts = range(0, max(1, len(snapshot.body)), chunk_bytes)
    for index, start in enumerate(starts):
        yield SnapshotChunk(
            snapshot_id,
            snapshot.as_of,
            index,
            len(starts),
            snapshot.body[start : start + chunk_bytes],
            at_ms,
        )


def without_body(chunk: SnapshotChunk) -> SnapshotChunk:
    """Return the chunk with an empty body, for readers that only look for completeness."""
    return msgspec.structs.replace(chunk, body=b'')


def mark_of(chunk: SnapshotChunk) -> SnapshotMark:
    """Return the mark of the chunk's snapshot."""
    return SnapshotMark(chunk.as_of, chunk.at_ms)


class SnapshotAssembler:
    """Puts snapshots together from chunks in any order and interleaving.

    Attributes:
        newest: complete snapshot with the largest `as_of` so far.
    """

    def __init__(self, partial_limit: int = PARTIAL_LIMIT) -> None:
        """Start without chunks; keep at most `partial_limit` incomplete snapshots."""
        self.partial_limit = partial_limit
        self.partial: dict[str, PartialSnapshot] = {}
        self.newest: StreamSnapshot | None = None

    def add(self, chunk: SnapshotChunk) -> bool:
        """Take a chunk; true when it completes a snapshot, whether or not it is the newest."""
        head = self.head_of(chunk)
        if not belongs(chunk, head):
            return False
        partial = self.partial.setdefault(chunk.snapshot_id, PartialSnapshot(head, {}))
        partial.bodies[chunk.index] = chunk.body
        if len(partial.bodies) < chunk.count:
            self.drop_oldest()
            return False
        self.partial.pop(chunk.snapshot_id)
        self.keep_newest(partial)
        return True

    def head_of(self, chunk: SnapshotChunk) -> SnapshotChunk:
        """Return the chunk of the same snapshot that was found first."""
        partial = self.partial.get(chunk.snapshot_id)
        return chunk if partial is None else partial.head

    def keep_newest(self, partial: PartialSnapshot) -> None:
        """Join a complete snapshot if its state is newer than that of the newest one."""
        as_of = partial.head.as_of
        if self.newest is None or as_of > self.newest.as_of:
            body = b''.join(partial.bodies[index] for index in sorted(partial.bodies))
            self.newest = StreamSnapshot(as_of, body)

    def drop_oldest(self) -> None:
        """Drop the incomplete snapshot with the oldest state beyond the limit."""
        if len(self.partial) > self.partial_limit:
            oldest = min(self.partial, key=self.state_offset)
            self.partial.pop(oldest)

    def state_offset(self, snapshot_id: str) -> Offset:
        """Return the offset of an incomplete snapshot's state."""
        return self.partial[snapshot_id].head.as_of


def belongs(chunk: SnapshotChunk, head: SnapshotChunk) -> bool:
    """Tell whether a chunk is consistent with the first one that was found of its snapshot."""
    if not 0 <= chunk.index < chunk.count:
        return False
    return (chunk.count, chunk.as_of) == (head.count, head.as_of)


class SnapshotSchedule:
    """Tells when the state has to be written into the stream again.

    Ages are taken from the wall clock that the snapshot carries: entries restart more often than
    half a retention passes, so the time since a process saw the snapshot would never be enough.

    Attributes:
        newest: newest complete snapshot seen in the stream, None when there is none.
    """

    def __init__(self, retention_s: float, records: int) -> None:
        """Plan for a log that keeps records for some time.

        Args:
            retention_s: time for which the log keeps a record, in seconds.
            records: records after which the state is written again.
        """
        self.retention_s = retention_s
        self.records = records
        self.newest: SnapshotMark | None = None

    def note(self, mark: SnapshotMark | None) -> None:
        """Take note of a complete snapshot; an older one than the newest is ignored."""
        if mark is None:
            return
        if self.newest is None or mark.as_of >= self.newest.as_of:
            self.newest = mark

    def is_due(self, applied: Offset, wall_ms: int, preferred: bool) -> bool:
        """Tell whether this entry should write a snapshot now.

        A stream without a snapshot is due with its first record, since nobody knows its age.
        """
        factor = 1 if preferred else STAND_IN_FACTOR
        newest_state = 0 if self.newest is None else self.newest.as_of
        if applied - newest_state >= self.records * factor:
            return True
        if self.newest is None:
            return preferred and applied > 0
        age_ms = wall_ms - self.newest.at_ms
        longest_ms = self.retention_s * RETENTION_SHARE * factor * MS_PER_S
        return age_ms >= longest_ms or age_ms < -CLOCK_TOLERANCE_MS
