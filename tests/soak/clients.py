"""Clients that send complete requests over their own connections and record every unanswered one."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

import msgspec

from tests.soak.entries import EntryProcess

__all__ = ('HOST', 'PREFIX', 'Clients', 'UnansweredRequest')

HOST = 'q.example'
PREFIX = '/q1/'

#: Requests sent less than this long before the end of their connection are not counted as unanswered, in s;
#: the entry may not have read them.
MIN_UNANSWERED_S = 0.2

#: Timeout of an answer on a connection that stays open, in s.
ANSWER_TIMEOUT_S = 10.0

OK = 200
GONE = 410

#: Interval of the timer that measures stalls of the event loop, in s.
TICK_S = 0.01

#: Maximum number of requests pipelined on one connection.
PIPELINED = 3

BODY = b'{"spec":"x","phases":[{"count":1,"cpu":100,"mem_mb":10,"est_ms":100}]}'


class UnansweredRequest(msgspec.Struct, frozen=True):
    """A request whose connection ended, or which timed out, without a complete answer.

    Attributes:
        waited_s: time from its last byte to the end of the connection or the timeout, without stalls of this process.
        after_stop_s: time from the last SIGTERM of the entry until then.
    """

    entry: str
    kind: str
    method: str
    waited_s: float
    after_stop_s: float


class Clients:
    """All clients of one run.

    Attributes:
        accepted: ids of the acknowledged submissions.
        unanswered: requests without an answer, except those that the entry may not have read.
        lost_submissions: ids of acknowledged submissions for which an entry answered 410.
        statuses: number of answers by method (`LIST` for a listing) and status.
        stalled_s: total time for which the event loop of this process was stalled, for example on a busy machine.
    """

    def __init__(self, rng: random.Random, entries: list[EntryProcess]) -> None:
        """Initialize without clients and requests."""
        self.rng = rng
        self.entries = entries
        self.accepted: list[str] = []
        self.unanswered: list[UnansweredRequest] = []
        self.lost_submissions: list[str] = []
        self.statuses: dict[tuple[str, int], int] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.ending = False
        self.stalled_s: float = 0

    def start(self, count: int) -> None:
        """Start `count` clients of each kind; all kinds but one hold their connections open."""
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self.keep_busy,
            self.keep_idle,
            self.use_new_connection,
            self.pipeline,
            self.send_slowly,
        )
        for kind in kinds:
            self.tasks.extend(asyncio.create_task(self.repeat(kind)) for _ in range(count))
        self.tasks.append(asyncio.create_task(self.measure_stalls()))

    async def measure_stalls(self) -> None:
        """Add up the delays with which timers fire."""
        loop = asyncio.get_running_loop()
        while not self.ending:
            due_at = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.stalled_s += max(0, loop.time() - due_at - TICK_S)

    async def finish(self) -> None:
        """Stop all clients after their current exchange."""
        self.ending = True
        await asyncio.gather(*self.tasks)

    async def repeat(self, kind: Callable[[], Awaitable[None]]) -> None:
        """Run one connection of a kind after another."""
        while not self.ending:
            with contextlib.suppress(OSError):
                await kind()
            await asyncio.sleep(self.rng.uniform(0, 0.05))

    async def keep_busy(self) -> None:
        """Send requests with short pauses until the connection ends."""
        await self.hold('busy', 0.1)

    async def keep_idle(self) -> None:
        """Send requests with long pauses until the connection ends."""
        await self.hold('idle', 2.5)

    async def hold(self, kind: str, max_pause_s: float) -> None:
        """Send requests with random pauses until the connection ends."""
        async with Connection(self, kind) as connection:
            while not self.ending and await connection.exchange(1):
                await asyncio.sleep(self.rng.uniform(0, max_pause_s))

    async def use_new_connection(self) -> None:
        """Send one request over a new connection."""
        async with Connection(self, 'fresh') as connection:
            await connection.exchange(1)

    async def pipeline(self) -> None:
        """Send several requests at once on a connection until it ends."""
        async with Connection(self, 'pipelined') as connection:
            while not self.ending and await connection.exchange(self.rng.randint(2, PIPELINED)):
                await asyncio.sleep(self.rng.uniform(0, 0.2))

    async def send_slowly(self) -> None:
        """Send requests in two parts until the connection ends."""
        async with Connection(self, 'slow') as connection:
            while not self.ending and await connection.exchange(1, pause_s=0.3):
                await asyncio.sleep(self.rng.uniform(0, 0.2))

    def next_request(self) -> tuple[str, str, bytes]:
        """Choose a random request; return its method (`LIST` for a listing), id and bytes."""
        method = self.rng.choices(('POST', 'GET', 'DELETE', 'LIST'), (5, 6, 1, 1))[0]
        name = f'{self.rng.getrandbits(64):016x}'
        if method in {'GET', 'DELETE'} and self.accepted:
            name = self.rng.choice(self.accepted[-40:])
        verb, path = ('GET', PREFIX) if method == 'LIST' else (method, PREFIX + name)
        body = BODY if method == 'POST' else b''
        head = f'{verb} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n'
        return method, name, head.encode() + body

    def record_answer(self, method: str, name: str, status: int) -> None:
        """Count an answer, and record accepted and lost submissions."""
        key = (method, status)
        self.statuses[key] = self.statuses.get(key, 0) + 1
        if method == 'POST' and status == OK:
            self.accepted.append(name)
        if status == GONE and name in self.accepted:
            self.lost_submissions.append(name)


class Connection:
    """One connection of a client to an entry, which may be stopping."""

    def __init__(self, clients: Clients, kind: str) -> None:
        """Choose a random entry."""
        self.clients = clients
        self.kind = kind
        self.entry = clients.rng.choice(clients.entries)

    async def __aenter__(self) -> 'Connection':
        """Open the connection."""
        streams = await asyncio.open_connection(self.entry.ip, self.entry.front_port)
        self.reader = streams[0]
        self.writer = streams[1]
        return self

    async def __aexit__(self, *_raised: object) -> None:
        """Close the connection."""
        self.writer.close()

    async def exchange(self, count: int, pause_s: float = 0) -> bool:
        """Send requests at once and wait for their answers; return whether the connection stays open.

        Args:
            count: number of requests.
            pause_s: maximum pause in seconds before the last byte.
        """
        loop = asyncio.get_running_loop()
        requests = [self.clients.next_request() for _ in range(count)]
        content = b''.join(request for _, _, request in requests)
        self.writer.write(content[:-1])
        await asyncio.sleep(self.clients.rng.uniform(0, pause_s))
        self.writer.write(content[-1:])
        sent_at = loop.time() - self.clients.stalled_s
        for index, (method, name, _) in enumerate(requests):
            try:
                status, is_open = await self.read_answer()
            except (OSError, EOFError, TimeoutError):
                self.record_unanswered(method, loop.time() - self.clients.stalled_s - sent_at)
                return False
            self.clients.record_answer(method, name, status)
            is_last = index + 1 == len(requests)
        return is_open and is_last

    async def read_answer(self) -> tuple[int, bool]:
        """Read an answer; return its status and whether the connection stays open after it."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode().lower()
            size = int(head.partition('content-length: ')[2].partition('\r\n')[0])
            await self.reader.readexactly(size)
        return int(head.split(' ', 2)[1]), 'connection: close' not in head

    def record_unanswered(self, method: str, waited_s: float) -> None:
        """Record a request without a complete answer, unless the entry may not have read it."""
        if waited_s <= MIN_UNANSWERED_S:
            return
        after_stop_s = asyncio.get_running_loop().time() - self.entry.stopped_at
        unanswered = UnansweredRequest(
            self.entry.name, self.kind, method, round(waited_s, 3), round(after_stop_s, 3)
        )
        self.clients.unanswered.append(unanswered)
