"""Client for the platform's store, used as a keyed log with one partition."""

import base64
import math
import struct
from collections.abc import Iterator, Sequence
from types import MappingProxyType
from urllib.parse import quote

from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    LogUnavailableError,
    MalformedMessageError,
    RetentionPassedError,
    SequenceMismatchError,
)
from marigoldlift.platform.calls import CallUnansweredError, Reply, Transfer
from marigoldlift.platform.store_route import StoreRoute
from marigoldlift.platform.wire import AppendReply, NewestReply
from marigoldlift.replication.api import LogPage, Producer, SnapshotPage
from marigoldlift.submissions.record_codec import StoredRecord
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('OPERATORS_TOPIC', 'WORKERS_TOPIC', 'WORK_TOPIC', 'PlatformLog')

#: Topic of this program's own records; the prefix `keyed.` makes the store keep the newest record of each key.
WORK_TOPIC = 'keyed.work'

#: Topics with other writers: the operators, and the workers, which register themselves.
OPERATORS_TOPIC = 'keyed.op'
WORKERS_TOPIC = 'keyed.servers'

#: Names of the topics in metrics and logs.
STREAMS = MappingProxyType(
    {WORK_TOPIC: 'work', OPERATORS_TOPIC: 'operators', WORKERS_TOPIC: 'workers'}
)

MS_PER_S = 1000
BYTES_PER_KB = 1024

#: Longest wait for an answer, or for the next part of it, in s, in addition to the time that the call asks the store to
#: wait; the store usually answers in 4 ms, and in 0.3 s when it is slow.
ANSWER_TIMEOUT_S = 0.8

#: How much longer to wait for the answer to an append of a store that is slow, in s. It takes the appends of a partition
#: one by one, and refuses those that would wait for more than 2 s.
APPEND_PATIENCE_S = 1.8

#: Largest answer to a read, in kB; the slowest VMs have links of 5 Mbit/s and need 0.2 s for it. A read of the operators'
#: topic soon tells that a large configuration follows, and where the topic ends; the record is then read as a whole.
READ_KB = MappingProxyType({WORK_TOPIC: 128, OPERATORS_TOPIC: 32, WORKERS_TOPIC: 128})

#: Size for which a record is read whose own size is cut off, in bytes.
UNKNOWN_RECORD_BYTES = 1_048_576

#: Size of the answer to a probe, in kB.
PROBE_KB = 1

#: Longest wait for a whole answer while parts of it arrive, in s; a snapshot page has up to 1 MB in base64 and takes 2 s
#: over the slowest link.
PAGE_TIMEOUT_S = 8.0

#: Longest wait for the next part of a snapshot page, in s. A slow store begins its answer within 0.3 s; an unresponsive
#: one must not block an entry that has no snapshot yet for the whole timeout.
PAGE_IDLE_TIMEOUT_S = 1.0

#: Length of a record, in front of each one.
LENGTH = struct.Struct('>I')

#: Header of the answer to a read: the offset after the last record of the topic, and its first offset.
POSITION = struct.Struct('>QQ')

CONFLICT = 409
OK = 200
GONE = 410

#: Statuses with which the store says that a record was not appended; it rejects a malformed call with most of them.
REFUSED_STATUSES = frozenset((400, 403, 404, 405, 411, 413, 414, 415, 422, 429, 503, 507))

#: Largest answers of the store, in bytes: to an append, and a page of a snapshot, whose records have up to 1 MB.
MAX_APPEND_REPLY_BYTES = 65_536
MAX_PAGE_BYTES = 8_388_608

append_decoder: JsonDecoder[AppendReply] = JsonDecoder(AppendReply, MAX_APPEND_REPLY_BYTES)
newest_decoder: JsonDecoder[NewestReply] = JsonDecoder(NewestReply, MAX_PAGE_BYTES)


class PlatformLog:
    """One topic of the store, partition 0.

    Attributes:
        stream: name of the topic in metrics and logs.
        active_reads: number of reads under way.
    """

    def __init__(self, route: StoreRoute, topic: str, metrics: Metrics) -> None:
        """Use a topic over the route to the store, and count what is read of it."""
        self.route = route
        self.topic = topic
        self.metrics = metrics
        self.stream = STREAMS[topic]
        self.active_reads = 0

    def path(self, verb: str, query: str) -> str:
        """Return the path and query of a call."""
        return f'/-/{verb}?topic={self.topic}&part=0{query}'

    async def append(
        self, records: Sequence[tuple[str, bytes]], producer: Producer, sequence: int
    ) -> int:
        """Store records atomically, once for each sequence number of a producer.

        Without records no sequence number is sent, and the store only refuses earlier epochs of the producer from then
        on.

        Returns:
            The offset of the first record.

        Raises:
            AppendRefusedError: nothing was stored.
            AppendOutcomeUnknownError: the records may be stored, now or later.
            SequenceMismatchError: the store expects another sequence number, or has a newer epoch of the producer.
        """
        body = b''.join(encode_stored(key, content) for key, content in records)
        identity = f'&producer={quote(producer.name)}&epoch={producer.epoch}'
        path = self.path('log-append', f'{identity}&seq={sequence}' if records else identity)
        try:
            reply = await self.route.call(
                'POST', path, body, ANSWER_TIMEOUT_S, patience_s=APPEND_PATIENCE_S
            )
        except CallUnansweredError as fault:
            if fault.was_sent:
                raise AppendOutcomeUnknownError(str(fault)) from fault
            raise AppendRefusedError(str(fault)) from fault
        return parse_append(reply)

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on, waiting up to `wait_ms` for the first one.

        Raises:
            RetentionPassedError: records from that offset are no longer kept.
            LogUnavailableError: no usable answer.
        """
        return self.page_of(await self.read_bytes(start, wait_ms, READ_KB[self.topic]), start)

    async def read_record(self, start: int, size_bytes: int) -> LogPage:
        """Return the record at an offset, of a size that a read has told, and those that fit beside it.

        Raises:
            RetentionPassedError: the record is no longer kept.
            LogUnavailableError: no usable answer.
        """
        max_kb = math.ceil((POSITION.size + size_bytes) / BYTES_PER_KB)
        reply = await self.fetch(
            self.read_path(start, 0, max_kb), PAGE_TIMEOUT_S, ANSWER_TIMEOUT_S
        )
        return self.page_of(checked_body(reply, start), start)

    async def probe(self, start: int) -> None:
        """Make the smallest read from an offset, to find out whether the store answers.

        Raises:
            RetentionPassedError: records from that offset are no longer kept.
            LogUnavailableError: no usable answer.
        """
        await self.read_bytes(start, 0, PROBE_KB)

    def page_of(self, body: bytes, start: int) -> LogPage:
        """Decode the answer to a read."""
        end, _ = POSITION.unpack_from(body)
        size_bytes = cut_off_size(body)
        if size_bytes:
            self.metrics.add(Metric.log_reads, stream=self.stream, outcome='cut_off')
            return LogPage(end, [], size_bytes)
        return LogPage(end, list(decode_stored(body, start)))

    def read_path(self, start: int, wait_ms: int, max_kb: int) -> str:
        """Return the path and query of a read."""
        return self.path('log-read', f'&from={start}&wait_ms={wait_ms}&max_kb={max_kb}')

    async def read_bytes(self, start: int, wait_ms: int, max_kb: int) -> bytes:
        """Return the answer to one read, which begins with a `POSITION`.

        Raises:
            RetentionPassedError: records from that offset are no longer kept.
            LogUnavailableError: no usable answer.
        """
        answer_s = ANSWER_TIMEOUT_S + wait_ms / MS_PER_S
        path = self.read_path(start, wait_ms, max_kb)
        return checked_body(await self.fetch(path, answer_s, answer_s, PAGE_TIMEOUT_S), start)

    async def newest(self, after: str) -> SnapshotPage:
        """Return one page of the newest records, for the keys that follow `after`.

        Raises:
            LogUnavailableError: no usable answer.
        """
        query = f'&after={quote(after, safe="")}' if after else ''
        reply = await self.fetch(
            self.path('log-newest', query), PAGE_TIMEOUT_S, PAGE_IDLE_TIMEOUT_S
        )
        if reply.status != OK:
            raise LogUnavailableError(f'snapshot answered {reply.status}')
        try:
            page = newest_decoder.decode(reply.body)
            records = [
                StoredRecord(item.offset, item.key, base64.b64decode(item.value, validate=True))
                for item in page.items
            ]
        except (MalformedMessageError, ValueError) as fault:
            raise LogUnavailableError(f'snapshot cannot be read: {fault}') from fault
        return SnapshotPage(page.end, records, page.more)

    async def fetch(
        self, path: str, wait_s: float, idle_timeout_s: float, patience_s: float = 0
    ) -> Reply:
        """Make a read-only call.

        Args:
            path: path and query.
            wait_s: longest wait for the whole answer, in s.
            idle_timeout_s: longest wait for the next part of it over the direct route, in s.
            patience_s: how much longer to wait over the direct route while parts arrive, in s.

        Raises:
            LogUnavailableError: no answer.
        """
        transfer = Transfer()
        started_at = loop_now()
        self.active_reads += 1
        try:
            reply = await self.route.call(
                'GET', path, b'', wait_s, idle_timeout_s, patience_s, transfer
            )
        except CallUnansweredError as fault:
            self.count_read('unanswered', transfer)
            logger.warning(
                'read given up: stream={} received_bytes={} took_s={:.3f} active_reads={} {}',
                self.stream,
                transfer.received_bytes,
                loop_now() - started_at,
                self.active_reads,
                fault,
            )
            raise LogUnavailableError(str(fault)) from fault
        finally:
            self.active_reads -= 1
        self.count_read('answered', transfer)
        return reply

    def count_read(self, outcome: str, transfer: Transfer) -> None:
        """Count a read that has ended, and the bytes that were received for it."""
        self.metrics.add(Metric.log_reads, stream=self.stream, outcome=outcome)
        self.metrics.add(
            Metric.log_read_bytes, transfer.received_bytes, stream=self.stream, outcome=outcome
        )


def encode_stored(key: str, content: bytes) -> bytes:
    """Encode a record of a keyed topic: length of the rest, length of the key, key, content."""
    key_bytes = key.encode()
    record = b'%c%b%b' % (len(key_bytes), key_bytes, content)
    return LENGTH.pack(len(record)) + record


def decode_stored(body: bytes, start: int) -> Iterator[StoredRecord]:
    """Yield the records of a read's answer.

    Args:
        body: the answer; a record that is cut off at its end is left out.
        start: offset of the first record, the one that was requested.
    """
    position = POSITION.size
    offset = start
    while position + LENGTH.size <= len(body):
        size = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        record = body[position : position + size]
        position += size
        if len(record) < size:
            return
        yield split_record(offset, record)
        offset += 1


def checked_body(reply: Reply, start: int) -> bytes:
    """Return the body of the answer to a read, which begins with a `POSITION`.

    Raises:
        RetentionPassedError: records from the offset `start` are no longer kept.
        LogUnavailableError: no usable answer.
    """
    if reply.status == GONE:
        raise RetentionPassedError(start)
    if reply.status != OK or len(reply.body) < POSITION.size:
        raise LogUnavailableError(f'read answered {reply.status}')
    return reply.body


def cut_off_size(body: bytes) -> int:
    """Return the size of the first record of the answer to a read if it ends within that record, else 0, in bytes."""
    kept = len(body) - POSITION.size
    if kept < LENGTH.size:
        return UNKNOWN_RECORD_BYTES if kept > 0 else 0
    size: int = LENGTH.size + LENGTH.unpack_from(body, POSITION.size)[0]
    return size if kept < size else 0


def split_record(offset: int, record: bytes) -> StoredRecord:
    """Split a record into key and content; the key is empty if it does not decode."""
    key_size = record[0] if record else 0
    try:
        key = record[1 : 1 + key_size].decode()
    except UnicodeDecodeError as fault:
        logger.warning('record without a readable key: offset={} {}', offset, fault)
        key = ''
    return StoredRecord(offset, key, record[1 + key_size :])


def parse_append(reply: Reply) -> int:
    """Return the offset of the first record from the answer to an append.

    Raises:
        AppendRefusedError: nothing was stored.
        AppendOutcomeUnknownError: the records may be stored.
        SequenceMismatchError: the store expects another sequence number, or has a newer epoch of the producer.
    """
    if reply.status in REFUSED_STATUSES:
        raise AppendRefusedError(f'append answered {reply.status}')
    try:
        answer = append_decoder.decode(reply.body)
    except MalformedMessageError as fault:
        raise AppendOutcomeUnknownError(f'append answered {reply.status}: {fault}') from fault
    if reply.status == CONFLICT:
        logger.info('append conflict: {}', reply.body)
        expected = answer.seq if answer.expected is None else answer.expected
        raise SequenceMismatchError(expected)
    if reply.status != OK:
        raise AppendOutcomeUnknownError(f'append answered {reply.status}')
    return answer.offset
