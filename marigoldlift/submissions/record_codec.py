"""Encoding of the records: key and content."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from marigoldlift.decoding import MsgpackDecoder
from marigoldlift.ids import WorkspaceId
from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import (
    Accepted,
    Cancelled,
    Dropped,
    Finished,
    KnownWorker,
    Leadership,
    Progress,
    Record,
)
from marigoldlift.submissions.run_time_records import RunTimesSummary

__all__ = (
    'MAX_KEY_BYTES',
    'MAX_RECORD_BYTES',
    'StoredRecord',
    'cancellation_name',
    'decode_record',
    'encode_record',
    'progress_key',
    'record_key',
    'scoped_name',
)


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as read from the log; empty content means that the key was dropped."""

    offset: int
    key: str
    content: bytes


def scoped_name(submission: SubmissionId, workspace: WorkspaceId) -> str:
    """Return an id within its workspace, so that records of several workspaces do not replace each other."""
    return f'{submission}/{workspace}' if workspace else submission


def cancellation_name(record: Cancelled) -> str:
    """Return the name of a cancellation: its submission within the workspace of the caller."""
    return scoped_name(record.submission, record.caller.workspace)


def acceptance_name(record: Accepted) -> str:
    """Return the name of an acceptance: its submission within its workspace."""
    return scoped_name(record.submission.id, record.submission.workspace)


def progress_key(submission: SubmissionId, tenure: int, part: int) -> str:
    """Return the key of a progress record; the first part of each submission has no number."""
    whole = f'p/{submission}/{tenure}'
    return f'{whole}/{part}' if part else whole


#: Key of each kind of record.
KEY_BUILDERS: Mapping[type[Record], Callable[[Any], str]] = MappingProxyType(
    {
        Accepted: lambda record: f's/{acceptance_name(record)}',
        Progress: lambda record: progress_key(record.submission, record.tenure, record.part),
        DoneTasks: lambda record: record.key,
        Cancelled: lambda record: f'c/{cancellation_name(record)}',
        Finished: lambda record: f'f/{record.submission}',
        Leadership: lambda record: f'l/{record.node}',
        KnownWorker: lambda record: f'w/{record.worker}',
        RunTimesSummary: lambda record: 't/run-times',
        Dropped: lambda record: record.key,
    }
)


def record_key(record: Record) -> str:
    """Return the key under which a record is stored."""
    return KEY_BUILDERS[type(record)](record)


#: Largest content of a record, in bytes, and longest key; the store takes no larger ones.
MAX_RECORD_BYTES = 261_000
MAX_KEY_BYTES = 255

encoder = msgspec.msgpack.Encoder()
decoder: MsgpackDecoder[Record] = MsgpackDecoder(
    Accepted
    | Cancelled
    | Progress
    | DoneTasks
    | Finished
    | Leadership
    | KnownWorker
    | RunTimesSummary,
    MAX_RECORD_BYTES,
)


def encode_record(record: Record) -> bytes:
    """Return the encoded content of a record, empty for a dropped key."""
    if isinstance(record, Dropped):
        return b''
    return encoder.encode(record)


def decode_record(content: bytes) -> Record:
    """Return the record decoded from its content.

    Raises:
        MalformedMessageError: the content is not a valid record.
    """
    return decoder.decode(content)
