"""Search for a snapshot in what the log still keeps of a stream."""

from collections.abc import Iterable

import msgspec

from marigoldlift.ids import Offset
from marigoldlift.journal.messages import Record, SnapshotChunk, decode_record
from marigoldlift.journal.snapshots import SnapshotAssembler
from marigoldlift.platform.messages import LogRecord

__all__ = ('SnapshotScan',)


class SnapshotScan:
    """Reads records without applying them, and collects the chunks among them.

    Attributes:
        cursor: offset of the next record to look at.
        assembler: what was found so far.
    """

    def __init__(self, first: Offset) -> None:
        """Start at the oldest record kept."""
        self.cursor = first
        self.assembler = SnapshotAssembler()

    def skip_to(self, oldest: Offset) -> None:
        """Go on at the oldest record kept, when retention overtook the scan."""
        self.cursor = max(self.cursor, oldest)

    def add(self, records: Iterable[LogRecord]) -> None:
        """Look at further records."""
        for record in records:
            self.cursor = Offset(record.offset + 1)
            decoded = decode_or_none(record.payload)
            if isinstance(decoded, SnapshotChunk):
                self.assembler.add(decoded)


def decode_or_none(payload: bytes) -> Record | None:
    """Decode a record; one that does not decode is reported when it is applied."""
    try:
        return decode_record(payload)
    except msgspec.MsgspecError:
        return None
