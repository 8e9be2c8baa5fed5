"""The platform's store as a keyed log of one partition."""

import base64
import binascii
import struct
from collections.abc import Iterator, Sequence
from urllib.parse import quote

import msgspec
from loguru import logger

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    LogUnavailableError,
    RetentionPassedError,
    SequenceMismatchError,
)
from marigoldlift.platform.calls import CallUnansweredError, Reply
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.wire import AppendReply, NewestReply
from marigoldlift.replication.api import LogPage, Producer, SnapshotPage
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('OPERATORS_TOPIC', 'WORKERS_TOPIC', 'WORK_TOPIC', 'PlatformLog')

#: Topic of the product's own records; by the first part of its name, the store keeps the newest record of each key.
WORK_TOPIC = 'keyed.work'

#: Topics that others write: the operators, and the workers about themselves.
OPERATORS_TOPIC = 'keyed.op'
WORKERS_TOPIC = 'keyed.servers'

MS_PER_S = 1000

#: Longest wait for an answer, in s, beyond what the call itself asks the store to wait; it answers in 4 ms, and in
#: 0.3 s where it is slow.
ANSWER_TIMEOUT_S = 0.8

#: Most bytes of one read, in kB; the slowest VMs have links of 5 Mbit/s and take 0.2 s for them.
READ_KB = 128

#: Longest wait for a page of a snapshot, in s; it has up to 1 MB, in base64, and takes 2 s over the slowest link.
PAGE_S = 8.0

#: Longest wait for the next part of such a page, in s; a store that is slow begins its answer within 0.3 s, and one that
#: is silent must not hold up an entry that has no snapshot yet until the whole wait is over.
PAGE_IDLE_TIMEOUT_S = 1.0

LENGTH = struct.Struct('>I')
POSITION = struct.Struct('>QQ')

#: Status codes by which the store says that a record was not appended.
CONFLICT = 409
OK = 200
GONE = 410
REFUSED = frozenset((429, 503, 507))

append_decoder = msgspec.json.Decoder(AppendReply)
newest_decoder = msgspec.json.Decoder(NewestReply)


class PlatformLog:
    """One topic of the store, partition 0."""

    def __init__(self, route: StoreRoute, topic: str) -> None:
        """Name the topic."""
        self.route = route
        self.topic = topic

    def path(self, verb: str, query: str) -> str:
        """Return path and query of a call."""
        return f'/-/{verb}?topic={self.topic}&part=0{query}'

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records all or nothing, once for each sequence number of a producer."""
        body = b''.join(encode_stored(key, content) for key, content in records)
        identity = f'&producer={quote(producer.name)}&epoch={producer.epoch}'
        path = self.path('log-append', f'{identity}&seq={sequence}' if records else identity)
        try:
            reply = await self.route.call('POST', path, body, ANSWER_TIMEOUT_S)
        except CallUnansweredError as fault:
            if fault.was_sent:
                raise AppendOutcomeUnknownError(str(fault)) from fault
            raise AppendRefusedError(str(fault)) from fault
        return parse_append(reply)

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on, waiting for the first one."""
        path = self.path('log-read', f'&from={start}&wait_ms={wait_ms}&max_kb={READ_KB}')
        reply = await self.fetch(path, ANSWER_TIMEOUT_S + wait_ms / MS_PER_S)
        if reply.status == GONE:
            raise RetentionPassedError(start)
        if reply.status != OK or len(reply.body) < POSITION.size:
            raise LogUnavailableError(f'read answered {reply.status}')
        end, _ = POSITION.unpack_from(reply.body)
        return LogPage(end, list(decode_stored(reply.body, start)))

    async def newest(self, after: str) -> SnapshotPage:
        """Return the newest records of the keys that follow a key."""
        query = f'&after={quote(after, safe="")}' if after else ''
        reply = await self.fetch(self.path('log-newest', query), PAGE_S, PAGE_IDLE_TIMEOUT_S)
        if reply.status != OK:
            raise LogUnavailableError(f'snapshot answered {reply.status}')
        try:
            page = newest_decoder.decode(reply.body)
            records = [
                StoredRecord(found.offset, found.key, base64.b64decode(found.value))
                for found in page.items
            ]
        except (msgspec.DecodeError, binascii.Error) as fault:
            raise LogUnavailableError(f'snapshot cannot be read: {fault}') from fault
        return SnapshotPage(page.end, records, page.more)

    async def fetch(self, path: str, wait_s: float, idle_timeout_s: float | None = None) -> Reply:
        """Make a reading call."""
        try:
            return await self.route.call('GET', path, b'', wait_s, idle_timeout_s)
        except CallUnansweredError as fault:
            raise LogUnavailableError(str(fault)) from fault


def encode_stored(key: str, content: bytes) -> bytes:
    """Return a record of a keyed topic: length, length of the key, key, content."""
    name = key.encode()
    record = b'%c%b%b' % (len(name), name, content)
    return LENGTH.pack(len(record)) + record


def decode_stored(body: bytes, start: int) -> Iterator[StoredRecord]:
    """Yield the records of a read; the first has the offset that was asked for."""
    place = POSITION.size
    offset = start
    while place + LENGTH.size <= len(body):
        size = LENGTH.unpack_from(body, place)[0]
        place += LENGTH.size
        record = body[place : place + size]
        place += size
        if len(record) < size:
            return
        yield split_record(offset, record)
        offset += 1


def split_record(offset: int, record: bytes) -> StoredRecord:
    """Return key and content of a record; one that has no readable key gets an empty one."""
    name_size = record[0] if record else 0
    try:
        key = record[1 : 1 + name_size].decode()
    except UnicodeDecodeError as fault:
        logger.warning('record without a readable key: offset={} {}', offset, fault)
        key = ''
    return StoredRecord(offset, key, record[1 + name_size :])


def parse_append(reply: Reply) -> int:
    """Return the offset of an append's answer."""
    if reply.status in REFUSED:
        raise AppendRefusedError(f'append answered {reply.status}')
    try:
        answer = append_decoder.decode(reply.body)
    except msgspec.DecodeError as fault:
        raise AppendOutcomeUnknownError(f'append answered {reply.status}: {fault}') from fault
    if reply.status == CONFLICT:
        logger.info('append conflict: {}', reply.body)
        expected = answer.seq if answer.expected is None else answer.expected
        raise SequenceMismatchError(expected)
    if reply.status != OK:
        raise AppendOutcomeUnknownError(f'append answered {reply.status}')
    return answer.offset
