"""Stand-in of the platform's store: keyed topics, appends by producers, reads that wait, newest records.

Two listeners: one for the system, which may not write `keyed.op` and `keyed.servers`, and one for the workers and the
operator. Entries of workers that are silent for three heartbeat intervals are dropped.
"""

import argparse
import asyncio
import base64
import json
import struct
import time

from aiohttp import web

LENGTH = struct.Struct('>I')
POSITION = struct.Struct('>QQ')
GUARDED = ('keyed.op', 'keyed.servers')
PAGE = 500


class Topic:
    """One partition: records (key, value), the newest of each key, and the state of each producer."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def store(self, records):
        first = len(self.records)
        for key, value in records:
            offset = len(self.records)
            self.records.append((key, value))
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def produce(self, records, name, epoch, seq):
        """Return (status, body) of an append by a producer."""
        known = self.producers.setdefault(name, {'epoch': -1, 'next': None, 'last': []})
        if epoch < known['epoch']:
            return 409, {'reason': 'fenced'}
        if epoch > known['epoch']:
            known.update(epoch=epoch, next=None, last=[])
        if not records:
            return 200, {'offset': len(self.records), 'end': len(self.records)}
        for earlier, answer in known['last']:
            if earlier == seq:
                return 200, answer
        if known['next'] is not None and seq != known['next']:
            return 409, {'reason': 'seq', 'expected': known['next']}
        answer = {'offset': self.store(records), 'end': len(self.records)}
        known['next'] = seq + 1
        known['last'] = [*known['last'], (seq, answer)][-5:]
        return 200, answer


def decode(body):
    position = 0
    while position < len(body):
        size = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        record = body[position : position + size]
        position += size
        width = record[0]
        yield record[1 : 1 + width].decode(), bytes(record[1 + width :])


def encode(key, value):
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return LENGTH.pack(len(record)) + record


class Store:
    """The store; each answer takes `answer_ms`."""

    def __init__(self, heartbeat_ms, answer_ms):
        self.topics = {}
        self.heard = {}
        self.silence_s = 3 * heartbeat_ms / 1000
        self.answer_s = answer_ms / 1000

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def handle(self, request, trusted):
        topic_name = request.query.get('topic', '')
        body = await request.read()
        await asyncio.sleep(self.answer_s)
        verb = request.path
        if verb == '/-/log-append' and request.method == 'POST':
            if topic_name in GUARDED and not trusted:
                return web.Response(status=403)
            records = list(decode(body))
            topic = self.topic(topic_name)
            if topic_name == 'keyed.servers':
                for key, value in records:
                    if value:
                        self.heard[key] = time.monotonic()
                    else:
                        self.heard.pop(key, None)
            if 'producer' in request.query:
                status, answer = topic.produce(
                    records,
                    request.query['producer'],
                    int(request.query['epoch']),
                    int(request.query.get('seq', 0)),
                )
            else:
                status, answer = 200, {'offset': topic.store(records), 'end': len(topic.records)}
            return web.json_response(answer, status=status)
        if verb == '/-/log-read':
            return await self.read(request, self.topic(topic_name))
        if verb == '/-/log-newest':
            topic = self.topic(topic_name)
            after = request.query.get('after', '')
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(topic.newest[key][1]).decode(),
                    'offset': topic.newest[key][0],
                }
                for key in keys[:PAGE]
            ]
            answer = {'items': items, 'more': len(keys) > PAGE, 'end': len(topic.records)}
            return web.json_response(answer)
        return web.Response(status=404)

    async def read(self, request, topic):
        start = int(request.query['from'])
        until = time.monotonic() + int(request.query.get('wait_ms', 0)) / 1000
        limit = int(request.query.get('max_kb', 1024)) * 1024
        while start >= len(topic.records) and time.monotonic() < until:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, until - time.monotonic()))
            except TimeoutError:
                break
        body = bytearray(POSITION.pack(len(topic.records), 0))
        for key, value in topic.records[start:]:
            record = encode(key, value)
            if len(body) + len(record) > limit:
                break
            body += record
        return web.Response(body=bytes(body))

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, at in list(self.heard.items()):
                if now - at > self.silence_s:
                    self.heard.pop(key)
                    self.topic('keyed.servers').store([(key, b'')])


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--system', required=True)
    parser.add_argument('--platform', required=True)
    parser.add_argument('--heartbeat-ms', type=int, default=1500)
    parser.add_argument('--answer-ms', type=float, default=4)
    options = parser.parse_args()
    store = Store(options.heartbeat_ms, options.answer_ms)
    for address, trusted in ((options.system, False), (options.platform, True)):
        host, _, port = address.rpartition(':')

        def handler(request, trusted=trusted):
            return store.handle(request, trusted)

        server = web.Server(handler, access_log=None)
        await asyncio.get_running_loop().create_server(server, host, int(port))
    await store.expire()


if __name__ == '__main__':
    asyncio.run(main())
