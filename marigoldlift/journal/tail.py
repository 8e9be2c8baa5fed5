"""Newest records of a stream, kept in memory for peers that cannot reach the log."""

from collections import deque
from itertools import islice

from marigoldlift.ids import Offset
from marigoldlift.platform.messages import LogRecord, RecordPage

__all__ = ('RecordTail',)


class RecordTail:
    """Consecutive newest records, bounded by number and bytes.

    Attributes:
        next_offset: offset that the next record will have.
    """

    def __init__(self, max_records: int, max_bytes: int) -> None:
        """Start empty at offset 1."""
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.records: deque[LogRecord] = deque()
        self.payload_bytes = 0
        self.next_offset = Offset(1)

    @property
    def oldest(self) -> Offset:
        """Offset of the oldest record that is kept."""
        return Offset(self.next_offset - len(self.records))

    def append(self, record: LogRecord) -> None:
        """Keep a record, and drop the oldest ones beyond the bounds."""
        self.records.append(record)
        self.payload_bytes += len(record.payload)
        self.next_offset = Offset(record.offset + 1)
        while len(self.records) > self.max_records or self.payload_bytes > self.max_bytes:
            self.payload_bytes -= len(self.records.popleft().payload)

    def restart(self, next_offset: Offset) -> None:
        """Drop all records, since the next one does not follow them."""
        self.records.clear()
        self.payload_bytes = 0
        self.next_offset = next_offset

    def page(self, first: Offset, limit: int) -> RecordPage:
        """Return records from `first` on; none when `first` is older than the oldest kept."""
        page = RecordPage(self.oldest, self.next_offset, [])
        if first >= self.oldest:
            start = first - self.oldest
            page.records.extend(islice(self.records, start, start + limit))
        return page
