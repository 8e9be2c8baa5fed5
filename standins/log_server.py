"""Simulated log of the platform over HTTP, with fault injection."""

import asyncio
from collections import defaultdict

import msgspec
from aiohttp import web

from marigoldlift.ids import StreamId
from marigoldlift.platform.messages import AppendRequest, RecordPage

from standins.errors import PastRetentionError, RateLimitedError
from standins.log_state import LogState
from standins.messages import LogFaults, LogSettings, LogStats, Refusal
from standins.serving import (
    MS_PER_S,
    HttpListener,
    bad_request,
    drop_connection,
    json_answer,
    loop_now,
    merge,
    pause_ms,
)

__all__ = ('LogServer',)

RECORDS_PATH = '/v1/streams/{stream}/records'
DEFAULT_LIMIT = 1000
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429


class ReadQuery(msgspec.Struct):
    """Query of a read.

    Attributes:
        first: offset of the first record to return, `from` in the query.
        limit: maximum number of records to return.
        wait_ms: time in milliseconds to wait for a record when there is none (long poll).
    """

    first: int = msgspec.field(default=1, name='from')
    limit: int = DEFAULT_LIMIT
    wait_ms: int = 0


class LogServer:
    """HTTP server of a log; tests inject faults through `apply_faults` or `POST /v1/faults`.

    Attributes:
        faults: active faults.
        state: streams, retention and rate limit of the log.
    """

    def __init__(self, settings: LogSettings) -> None:
        """Create an empty log."""
        self.state = LogState(
            loop_now,
            retain_records=settings.retain_records,
            retain_s=settings.retain_s,
            appends_per_s=settings.appends_per_s,
        )
        self.faults = LogFaults(
            retain_records=settings.retain_records,
            retain_s=settings.retain_s,
            appends_per_s=settings.appends_per_s,
        )
        self.changed: defaultdict[StreamId, asyncio.Event] = defaultdict(asyncio.Event)
        self.listener = HttpListener(
            (
                web.post(RECORDS_PATH, self.append),
                web.get(RECORDS_PATH, self.read),
                web.post('/v1/faults', self.change_faults),
                web.get('/v1/stats', self.answer_stats),
            ),
            settings.port,
        )

    async def start(self) -> dict[str, str]:
        """Start to listen, and return the address under the name `log`."""
        return {'log': await self.listener.start()}

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.listener.stop()

    def apply_faults(self, faults: LogFaults) -> None:
        """Apply faults and limits, and wake all waiting reads so that an outage ends them at once."""
        self.faults = faults
        self.state.retain_records = faults.retain_records
        self.state.retain_s = faults.retain_s
        self.state.appends_per_s = faults.appends_per_s
        for stream in tuple(self.changed):
            self.wake_readers(stream)

    def stats(self) -> LogStats:
        """Return the totals since the start."""
        return self.state.snapshot_stats()

    async def append(self, request: web.Request) -> web.Response:
        """Append a batch; an append already in progress when an outage begins still takes effect."""
        batch = await read_batch(request)
        if self.faults.outage:
            return drop_connection(request)
        await self.delay_append()
        response = self.append_batch(StreamId(request.match_info['stream']), batch)
        return drop_connection(request) if self.loses_answer(response) else response

    async def delay_append(self) -> None:
        """Wait for the injected append delay, counting the append as waiting in the statistics."""
        stats = self.state.stats
        stats.waiting += 1
        await pause_ms(self.faults.append_delay_ms)
        stats.waiting -= 1

    async def read(self, request: web.Request) -> web.Response:
        """Answer a read; wait up to `wait_ms` for a record when there is none."""
        query = parse_query(request)
        stream = StreamId(request.match_info['stream'])
        await pause_ms(self.faults.read_delay_ms)
        try:
            page = await self.poll(stream, query)
        except PastRetentionError as error:
            page = error
        if self.faults.outage:
            return drop_connection(request)
        self.state.stats.reads += 1
        return page_answer(page)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Merge the given faults into the active ones, and answer with the result."""
        self.apply_faults(await merge(request, self.faults))
        return json_answer(self.faults)

    async def answer_stats(self, request: web.Request) -> web.Response:
        """Answer with the totals since the start."""
        return json_answer(self.stats())

    def append_batch(self, stream: StreamId, batch: AppendRequest) -> web.Response:
        """Append a batch and wake the waiting readers of the stream."""
        try:
            appended = self.state.append(stream, batch)
        except RateLimitedError as error:
            return json_answer(Refusal('rate_limited', str(error)), HTTP_TOO_MANY_REQUESTS)
        self.wake_readers(stream)
        return msgpack_answer(appended)

    def loses_answer(self, response: web.Response) -> bool:
        """Return whether to drop the answer of an append; count an answer dropped by `lose_append_answers`."""
        if self.faults.outage:
            return True
        if not self.faults.lose_append_answers or response.status == HTTP_TOO_MANY_REQUESTS:
            return False
        self.faults.lose_append_answers -= 1
        self.state.stats.lost_answers += 1
        return True

    async def poll(self, stream: StreamId, query: ReadQuery) -> RecordPage:
        """Return a page once it has records, the wait time is over, or an outage begins.

        Raises:
            PastRetentionError: `query.first` is below the oldest retained offset.
        """
        deadline_s = loop_now() + query.wait_ms / MS_PER_S
        page = self.state.read(stream, query.first, query.limit)
        while not (page.records or self.faults.outage) and loop_now() < deadline_s:
            await self.wait_change(stream, deadline_s)
            page = self.state.read(stream, query.first, query.limit)
        return page

    async def wait_change(self, stream: StreamId, deadline_s: float) -> None:
        """Wait until the stream or the faults change, or until the deadline."""
        changed = self.changed[stream]
        try:
            async with asyncio.timeout_at(deadline_s):
                await changed.wait()
        except TimeoutError:
            return

    def wake_readers(self, stream: StreamId) -> None:
        """Wake the waiting reads of a stream, which then check it again."""
        changed = self.changed.pop(stream, None)
        if changed is not None:
            changed.set()


async def read_batch(request: web.Request) -> AppendRequest:
    """Decode a msgpack batch; an invalid body is answered with 400."""
    try:
        return msgspec.msgpack.decode(await request.read(), type=AppendRequest)
    except msgspec.MsgspecError as error:
        raise bad_request(error) from error


def parse_query(request: web.Request) -> ReadQuery:
    """Decode the query of a read; an invalid one is answered with 400."""
    try:
        return msgspec.convert(dict(request.query), ReadQuery, strict=False)
    except msgspec.ValidationError as error:
        raise bad_request(error) from error


def msgpack_answer(content: msgspec.Struct) -> web.Response:
    """Return an answer with a msgpack body."""
    return web.Response(
        body=msgspec.msgpack.encode(content),
        content_type='application/msgpack',
    )


def page_answer(page: RecordPage | PastRetentionError) -> web.Response:
    """Return the records, or 410 with the oldest offset."""
    if isinstance(page, PastRetentionError):
        return json_answer({'oldest': page.oldest}, HTTP_GONE)
    return msgpack_answer(page)
