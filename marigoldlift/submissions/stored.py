"""Stored form of the records: key and content."""

import msgspec

from marigoldlift.submissions.records import (
    Accepted,
    Cancelled,
    Dropped,
    KnownWorker,
    Leadership,
    Progress,
    Record,
)

__all__ = ('Stored', 'decode_record', 'encode_record', 'record_key')


class Stored(msgspec.Struct, frozen=True):
    """A record as read from the log; no content means that the key was dropped."""

    offset: int
    key: str
    content: bytes


def record_key(record: Record) -> str:
    """Return the key that a record is stored under."""
    match record:
        case Accepted():
            return f's/{record.submission.id}'
        case Progress():
            return f'p/{record.submission}/{record.tenure}'
        case Cancelled():
            return f'c/{record.submission}'
        case Leadership():
            return f'l/{record.node}'
        case KnownWorker():
            return f'w/{record.worker}'
        case Dropped():
            return record.key
    raise TypeError(type(record).__name__)


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Accepted | Cancelled | Progress | Leadership | KnownWorker)


def encode_record(record: Record) -> bytes:
    """Return the stored form of a record."""
    if isinstance(record, Dropped):
        return b''
    return encoder.encode(record)


def decode_record(content: bytes) -> Record:
    """Return the record of a stored form.

    Raises:
        msgspec.DecodeError: the content is no record.
    """
    return decoder.decode(content)
