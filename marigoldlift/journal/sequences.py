"""De-duplication of batches at the readers of a stream.

A batch whose answer was lost is appended again with the same (producer, sequence), so a stream
may hold it several times, even back to back. The sequence therefore tells the number of records
of its batch, and a reader counts the records of each run.
"""

from collections.abc import Iterable

import msgspec

from marigoldlift.ids import Offset
from marigoldlift.platform.messages import LogRecord

__all__ = ('MAX_BATCH_RECORDS', 'BatchSequences', 'ProducerMark', 'batch_sequence', 'batch_size')

SEQUENCE_STEP = 1024
MAX_BATCH_RECORDS = SEQUENCE_STEP - 1

# Entries start about 600 times a day in all, and each start is a new producer; so a producer is
# forgotten only after a day without a record, long after its last append can still arrive.
PRODUCER_LIMIT = 1024


class ProducerMark(msgspec.Struct):
    """What a reader knows of the newest batch of a producer.

    Attributes:
        sequence: sequence of the batch.
        admitted: records of the batch that were admitted.
        last_offset: offset of the last record with this sequence.
        position: position in the batch of the record at `last_offset`.
    """

    producer: str
    sequence: int
    admitted: int
    last_offset: Offset
    position: int


def batch_sequence(number: int, size: int) -> int:
    """Return the sequence of the batch with this number, from 1, and number of records.

    Raises:
        ValueError: the size is 0 or more than a sequence can tell.
    """
    if not 0 < size <= MAX_BATCH_RECORDS:
        raise ValueError(f'batch of {size} records')
    return number * SEQUENCE_STEP + size


def batch_size(sequence: int) -> int:
    """Return the number of records of the batch with this sequence."""
    return sequence % SEQUENCE_STEP


class BatchSequences:
    """Admits the first occurrence of each record; equal on all readers of the same records.

    A producer appends a batch only after the one before it was seen or answered, so sequences
    first appear in rising order and the newest one of each producer is enough.

    Attributes:
        marks: producers, the one that was silent for longest first.
    """

    def __init__(self, limit: int = PRODUCER_LIMIT) -> None:
        """Know no producer yet; keep at most `limit` of them."""
        self.limit = limit
        self.marks: dict[str, ProducerMark] = {}

    def admit(self, record: LogRecord) -> int | None:
        """Return the record's position in its batch, or None when it is a duplicate."""
        mark = self.marks.get(record.producer)
        if mark is not None and record.sequence < mark.sequence:
            return None
        if mark is None or record.sequence > mark.sequence:
            mark = ProducerMark(record.producer, record.sequence, 0, record.offset, 0)
        else:
            mark.position = next_position(mark, record.offset)
            mark.last_offset = record.offset
        self.remember(mark)
        return admit_position(mark)

    def has_seen(self, producer: str, sequence: int) -> bool:
        """Tell whether the batch, or a later one of its producer, is in the stream."""
        mark = self.marks.get(producer)
        return mark is not None and mark.sequence >= sequence

    def dump(self) -> list[ProducerMark]:
        """Return a copy of all marks, in order."""
        return [msgspec.structs.replace(mark) for mark in self.marks.values()]

    def restore(self, marks: Iterable[ProducerMark]) -> None:
        """Replace all marks by those of a dump."""
        self.marks = {mark.producer: mark for mark in marks}

    def remember(self, mark: ProducerMark) -> None:
        """Make the mark the newest, and drop the oldest beyond the limit."""
        self.marks.pop(mark.producer, None)
        self.marks[mark.producer] = mark
        if len(self.marks) > self.limit:
            self.marks.pop(next(iter(self.marks)))


def next_position(mark: ProducerMark, offset: Offset) -> int:
    """Return the position of a further record of the batch; a new run starts at 0."""
    position = mark.position + 1
    if offset != mark.last_offset + 1 or position >= batch_size(mark.sequence):
        return 0
    return position


def admit_position(mark: ProducerMark) -> int | None:
    """Count the record at the mark as admitted, or return None if it was admitted before."""
    if mark.position < mark.admitted:
        return None
    mark.admitted = mark.position + 1
    return mark.position
