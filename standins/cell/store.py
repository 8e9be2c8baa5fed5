"""HTTP server of the platform's store on top of the in-memory log, for tests that start real entries."""

import asyncio
import base64
import random
import struct
from collections.abc import Iterator
from http import HTTPStatus

import msgspec
from aiohttp import web

from marigoldlift.errors import SequenceMismatchError
from marigoldlift.replication.api import Producer
from standins.cell.log import MemoryLog

__all__ = ('StoreServer',)

LOOPBACK = '127.0.0.1'

#: Topic and key of the operators' configuration.
OPERATORS_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'

LENGTH = struct.Struct('>I')
POSITION = struct.Struct('>QQ')

#: Size limit of a read whose request sets none, in kB.
READ_KB = 1024
BYTES_PER_KB = 1024

#: Maximum number of keys in one page of the newest records.
PAGE = 500

MS_PER_S = 1000


class StoreServer:
    """Serves appends, reads and snapshots of keyed topics with one partition each.

    Attributes:
        addresses: addresses that it listens on.
        delay_s: maximum random delay of each call, on top of the wait of a read, in s.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without topics."""
        self.rng = rng
        self.topics: dict[str, MemoryLog] = {}
        self.addresses: list[str] = []
        self.listeners: list[asyncio.Server] = []
        self.delay_s: float = 0
        self.routes = {
            ('POST', '/-/log-append'): self.append,
            ('GET', '/-/log-read'): self.read,
            ('GET', '/-/log-newest'): self.newest,
        }

    async def listen(self) -> None:
        """Listen on one more loopback port, which the system chooses."""
        server = web.Server(self.handle, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, LOOPBACK, 0)
        self.listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        self.addresses.append(f'{host}:{port}')

    def close(self) -> None:
        """Stop listening."""
        for listener in self.listeners:
            listener.close()

    def topic(self, name: str) -> MemoryLog:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, MemoryLog())

    def configure(self, configuration: dict[str, object]) -> None:
        """Store a configuration as the operators do."""
        content = msgspec.json.encode(configuration)
        self.topic(OPERATORS_TOPIC).store([(CONFIGURATION_KEY, content)])

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        serve = self.routes.get((request.method, request.path))
        if serve is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self.delay_s:
            await asyncio.sleep(self.rng.uniform(0, self.delay_s))
        return await serve(request, self.topic(request.query['topic']))

    async def append(self, request: web.BaseRequest, topic: MemoryLog) -> web.Response:
        """Store records once for each sequence number of a producer."""
        records = list(decode_records(await request.read()))
        query = request.query
        producer = Producer(query['producer'], int(query['epoch']))
        try:
            offset = topic.produce(records, producer, int(query.get('seq', 0)))
        except SequenceMismatchError as mismatch:
            reason = 'fenced' if mismatch.expected is None else 'seq'
            body = {'reason': reason, 'expected': mismatch.expected}
            return json_reply(HTTPStatus.CONFLICT, body)
        return json_reply(HTTPStatus.OK, {'offset': offset, 'end': len(topic.records)})

    async def read(self, request: web.BaseRequest, topic: MemoryLog) -> web.Response:
        """Return the records from an offset on; wait up to `wait_ms` for the first one."""
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', 0)) / MS_PER_S
        arrived = topic.arrived
        if start >= len(topic.records) and wait_s:
            await asyncio.wait([asyncio.ensure_future(arrived.wait())], timeout=wait_s)
        if start < topic.first:
            return json_reply(HTTPStatus.GONE, {'first': topic.first})
        max_bytes = int(request.query.get('max_kb', READ_KB)) * BYTES_PER_KB
        body = bytearray(POSITION.pack(len(topic.records), topic.first))
        for stored in topic.records[start:]:
            record = encode_record(stored.key, stored.content)
            if len(body) + len(record) > max_bytes:
                break
            body.extend(record)
        return web.Response(body=bytes(body))

    async def newest(self, request: web.BaseRequest, topic: MemoryLog) -> web.Response:
        """Return one page of the newest records of the keys that sort after a key."""
        after = request.query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        page = [
            {
                'key': found.key,
                'offset': found.offset,
                'value': base64.b64encode(found.content).decode(),
            }
            for found in map(topic.newest.__getitem__, keys[:PAGE])
        ]
        body = {'items': page, 'more': len(keys) > PAGE, 'end': len(topic.records)}
        return json_reply(HTTPStatus.OK, body)


def json_reply(status: HTTPStatus, body: dict[str, object]) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type='application/json'
    )


def decode_records(body: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield key and value of each record of an append."""
    position = 0
    while position < len(body):
        size = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        record = body[position : position + size]
        position += size
        key_end = 1 + record[0]
        yield record[1:key_end].decode(), record[key_end:]


def encode_record(key: str, content: bytes) -> bytes:
    """Return a record in the wire format of a read."""
    name = key.encode()
    record = b'%c%b%b' % (len(name), name, content)
    return LENGTH.pack(len(record)) + record
