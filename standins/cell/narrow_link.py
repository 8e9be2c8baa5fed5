"""HTTP client of a VM whose narrow link all answers of the platform's store share."""

import asyncio
import base64
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from marigoldlift.platform.calls import CallUnansweredError, Reply, Transfer
from marigoldlift.platform.store import LENGTH, POSITION, encode_stored
from standins.cell.log import MemoryLog

__all__ = ('NarrowLinkCalls',)

#: Size of the parts in which the answers take turns on the link, in bytes.
PART_BYTES = 8192

#: Time from a call to the first byte of its answer on an idle link, in s.
ANSWER_S = 0.004

#: Limits of one page of the newest records: number of keys, and bytes.
PAGE_RECORDS = 500
PAGE_BYTES = 1_048_576

BYTES_PER_KB = 1024
MS_PER_S = 1000


class NarrowLinkCalls:
    """Stands in for the HTTP client; only reads of the store are served.

    Attributes:
        bytes_per_s: rate of the link, in bytes/s.
        topics: logs of the store by topic.
        silent: whether the store answers nothing.
        received_bytes: bytes that the link has carried.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Start with an idle link and without topics."""
        self.bytes_per_s = bytes_per_s
        self.topics: dict[str, MemoryLog] = {}
        self.silent = False
        self.received_bytes = 0
        self.turn = asyncio.Lock()
        self.verbs = {'/-/log-read': self.read, '/-/log-newest': self.newest}

    def topic(self, name: str) -> MemoryLog:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, MemoryLog())

    async def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        wait_s: float,
        idle_timeout_s: float | None = None,
        may_send: Callable[[], bool] | None = None,
        transfer: Transfer | None = None,
    ) -> Reply:
        """Answer a read over the link.

        Raises:
            CallUnansweredError: the answer was not complete in time, or no part of it came for too long.
        """
        received = transfer or Transfer()
        try:
            async with asyncio.timeout(wait_s):
                return await self.answer(url, idle_timeout_s, received)
        except TimeoutError as late:
            raise CallUnansweredError(f'TimeoutError {wait_s}', was_sent=True) from late

    async def answer(self, url: str, idle_timeout_s: float | None, received: Transfer) -> Reply:
        """Return the answer once its last part has arrived."""
        async with asyncio.timeout(idle_timeout_s):
            await asyncio.sleep(ANSWER_S)
            reply = await self.serve(url)
        for start in range(0, len(reply.body), PART_BYTES):
            size = min(PART_BYTES, len(reply.body) - start)
            async with asyncio.timeout(idle_timeout_s):
                await self.carry(size)
            received.note_part(size)
        return reply

    async def carry(self, size: int) -> None:
        """Carry one part; answers under way take turns."""
        async with self.turn:
            await asyncio.sleep(size / self.bytes_per_s)
        self.received_bytes += size

    async def serve(self, url: str) -> Reply:
        """Return the store's answer, or none while it is silent."""
        if self.silent:
            await asyncio.Event().wait()
        parsed = urlsplit(url)
        query = {name: found[0] for name, found in parse_qs(parsed.query).items()}
        return await self.verbs[parsed.path](self.topic(query['topic']), query)

    async def read(self, log: MemoryLog, query: Mapping[str, str]) -> Reply:
        """Return records from an offset on; one that exceeds the size of the read is cut off."""
        start = int(query['from'])
        arrived = log.arrived
        if start >= len(log.records):
            await asyncio.wait(
                [asyncio.ensure_future(arrived.wait())],
                timeout=int(query['wait_ms']) / MS_PER_S,
            )
        if start < log.first:
            return Reply(HTTPStatus.GONE, b'')
        body = bytearray(POSITION.pack(len(log.records), log.first))
        limit = int(query['max_kb']) * BYTES_PER_KB
        for stored in log.records[start:]:
            body.extend(encode_stored(stored.key, stored.content))
            if len(body) >= limit:
                break
        return Reply(HTTPStatus.OK, bytes(body[: max(limit, POSITION.size + LENGTH.size)]))

    async def newest(self, log: MemoryLog, query: Mapping[str, str]) -> Reply:
        """Return one page of the newest records of the keys that sort after a key."""
        keys = sorted(key for key in log.newest if key > query.get('after', ''))
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_RECORDS]:
            found = log.newest[key]
            size += len(found.content)
            if page and size > PAGE_BYTES:
                break
            value = base64.b64encode(found.content).decode()
            page.append({'key': key, 'offset': found.offset, 'value': value})
        body = {'items': page, 'more': len(keys) > len(page), 'end': len(log.records)}
        return Reply(HTTPStatus.OK, msgspec.json.encode(body))
