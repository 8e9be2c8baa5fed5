"""Cost of the request path: a direct call to a worker, through its owner, and through two entries."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from bench.cell_meter import BenchCell, Reading, read_entries, usage_between
from bench.fit import fit_line
from bench.output import percentiles_ms, print_rows
from demo.layout import CellLayout

__all__ = ('run',)

MS_PER_S = 1000

#: Owner of the worker that answers, and the other failure domain.
OWNER_DOMAIN = 'recife'
REMOTE_DOMAIN = 'fortaleza'
WORKSPACE = 'egbolt'
SERVICE = 'clearance'

#: More slots than requests between two heartbeats, so that the forwarding entry never waits.
SLOTS = 2000

#: Slots of the workers of today.
SLOTS_TODAY = 8

ROUNDS = 300
RATES = (25, 50, 100)
RATE_S = 4.0
CONCURRENCY = (8, 32)
SATURATION_S = 4.0
HOP_S = 4.0
HOP_CONCURRENCY = 4
WARM_UP = 30

Send = Callable[[], Awaitable[None]]


class RequestRoutes:
    """Ways to the same worker.

    Attributes:
        lease: incarnation and epoch of the worker, as its owner holds it.
    """

    def __init__(self, cell: BenchCell) -> None:
        """Take the cell; `prepare` has to be called before anything is sent."""
        self.cell = cell
        self.lease: dict[str, object] = {}
        self.number = 0

    async def prepare(self) -> None:
        """Publish the service and learn the lease of the worker.

        Raises:
            RuntimeError: the configuration was refused.
        """
        selector = {'failure_domain': OWNER_DOMAIN}
        value = {'repeatable': True, 'selector': selector}
        changes = [
            {'kind': 'workspace', 'name': WORKSPACE, 'base_version': 0, 'value': {}},
            {'kind': 'service', 'name': SERVICE, 'base_version': 0, 'value': value},
        ]
        body = {'author': 'bench', 'changes': changes}
        status, reply = await self.cell.post(
            self.entry(OWNER_DOMAIN),
            '/v1/operator/configuration',
            body,
        )
        if reply['status'] != 'accepted' or not reply['in_force']:
            raise RuntimeError(f'configuration not in force: {status} {reply}')
        refused = await self.ask_lease()
        self.lease = {'incarnation': refused['incarnation'], 'epoch': refused['epoch']}

    async def ask_lease(self) -> dict[str, object]:
        """Ask for the lease that the owner has; the refusal names incarnation and epoch."""
        claim = {'action': 'claim', 'holder': 'bench', 'incarnation': '', 'epoch': 0}
        _, refused = await self.cell.post(self.worker, '/v1/lease', claim | {'ttl_ms': 1000})
        return refused

    @property
    def worker(self) -> str:
        """Return the address of the worker that answers."""
        return self.cell.workers[f'worker-{OWNER_DOMAIN}-0']

    def entry(self, domain: str) -> str:
        """Return the HTTP address of the entry of a failure domain."""
        return self.cell.entries[f'entry-{domain}-0'].http

    def next_key(self) -> str:
        """Return an idempotency key that was not used."""
        self.number += 1
        return f'request-{self.number}'

    async def direct(self) -> None:
        """Call the worker.

        Raises:
            RuntimeError: the worker refused.
        """
        body = self.lease | {
            'task_id': self.next_key(),
            'workspace': WORKSPACE,
            'resources': {'slots': 1},
            'payload': '{"answer": "clear"}',
            'deadline_ms': 5000,
        }
        _, reply = await self.cell.post(self.worker, '/v1/requests', body)
        if reply.get('result') != 'clear':
            raise RuntimeError(f'refused: {reply}')

    async def send_via(self, domain: str) -> None:
        """Send a request to the entry of a failure domain.

        Raises:
            RuntimeError: it did not complete.
        """
        body = {
            'key': self.next_key(),
            'service': SERVICE,
            'payload': '{"answer": "clear"}',
        }
        path = f'/v1/workspaces/{WORKSPACE}/requests'
        _, reply = await self.cell.post(self.entry(domain), path, body)
        if reply.get('answer') != 'clear':
            raise RuntimeError(f'not completed: {reply}')

    async def via_owner(self) -> None:
        """Send through the owner."""
        await self.send_via(OWNER_DOMAIN)

    async def via_remote_entry(self) -> None:
        """Send through an entry that forwards to the owner."""
        await self.send_via(REMOTE_DOMAIN)


class Load(msgspec.Struct):
    """What a load cost: requests a second, and milliseconds a second of each entry."""

    per_s: float
    cpu_ms: dict[str, float]

    @property
    def total_ms(self) -> float:
        """Return the processor time of all entries."""
        return sum(self.cpu_ms.values())


async def time_call(send: Send) -> float:
    """Return the duration of a request in seconds."""
    started_s = time.perf_counter()
    await send()
    return time.perf_counter() - started_s


async def latency_rows(path: RequestRoutes) -> list[str]:
    """Send one request at a time, each way in turn; return durations and what is added."""
    ways = (path.direct, path.via_owner, path.via_remote_entry)
    rounds = [[await time_call(send) for send in ways] for _ in range(ROUNDS + WARM_UP)]
    direct, via_owner, via_remote_entry = zip(*rounds[WARM_UP:], strict=True)
    return [
        f'one at a time, direct: {percentiles_ms(direct)}',
        f'one at a time, through the owner: {percentiles_ms(via_owner)}',
        f'one at a time, with one hop: {percentiles_ms(via_remote_entry)}',
        f'added to the direct call through the owner: {percentiles_ms(added(via_owner, direct))}',
        f'added to the direct call with one hop: {percentiles_ms(added(via_remote_entry, direct))}',
    ]


def added(times_s: Sequence[float], direct_s: Sequence[float]) -> list[float]:
    """Return by how much each request took longer than the direct call of its round."""
    return [taken_s - base_s for taken_s, base_s in zip(times_s, direct_s, strict=True)]


async def measure_at_rate(cell: BenchCell, send: Send, per_s: float) -> Load:
    """Send at an even rate for some seconds."""
    before = read_entries(cell)
    started_s = time.monotonic()
    count = int(per_s * RATE_S)
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send())
            due_s = started_s + (number + 1) / per_s
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
    return load_since(cell, before, count)


async def saturated(cell: BenchCell, send: Send, seconds: float, concurrency: int) -> Load:
    """Keep some requests in progress for some seconds."""
    before = read_entries(cell)
    ends_s = time.monotonic() + seconds
    counts = await asyncio.gather(*(repeat(send, ends_s) for _ in range(concurrency)))
    return load_since(cell, before, sum(counts))


async def repeat(send: Send, ends_s: float) -> int:
    """Send one request after the other until a time; return how many."""
    count = 0
    while time.monotonic() < ends_s:
        await send()
        count += 1
    return count


def load_since(cell: BenchCell, before: dict[str, Reading], count: int) -> Load:
    """Return what requests cost since a reading."""
    after = read_entries(cell)
    elapsed_s = max(after[name].at_s - before[name].at_s for name in after)
    used = {name: usage_between(cell, name, before[name], after[name]) for name in after}
    return Load(count / elapsed_s, {name: usage.cpu_ms for name, usage in used.items()})


async def rate_rows(path: RequestRoutes) -> list[str]:
    """Fit the processor time of both entries against the rate, without and with a hop."""
    rows = []
    for name, send in (
        ('through the owner', path.via_owner),
        ('with one hop', path.via_remote_entry),
    ):
        loads = [await measure_at_rate(path.cell, send, per_s) for per_s in RATES]
        line = fit_line([load.per_s for load in loads], [load.total_ms for load in loads])
        rows.append(f'both entries, {name}: {line.show("ms/s", "request/s")}')
    return rows


async def saturation_rows(path: RequestRoutes) -> list[str]:
    """Return requests a second of one entry, and how much of a core it and the bench used."""
    rows = []
    for concurrency in CONCURRENCY:
        started_s = time.process_time()
        load = await saturated(path.cell, path.via_owner, SATURATION_S, concurrency)
        client_ms = (time.process_time() - started_s) * MS_PER_S / SATURATION_S
        busy_ms = load.cpu_ms[f'entry-{OWNER_DOMAIN}-0']
        shown = f'{load.per_s:.0f} requests/s, {busy_ms / load.per_s:.2f} ms of the entry each'
        used = f'entry {busy_ms:.0f} ms/s, bench {client_ms:.0f} ms/s'
        rows.append(f'saturation, {concurrency} at once: {shown} ({used})')
    return rows


def layout(slots: int) -> CellLayout:
    """Return two failure domains with one entry and one worker each."""
    return CellLayout(
        failure_domains=(OWNER_DOMAIN, REMOTE_DOMAIN), entries=1, workers=1, slots=slots
    )


async def hop_rows() -> list[str]:
    """Return what passes a hop when the worker has as many slots as one of today."""
    async with BenchCell(layout(SLOTS_TODAY)) as cell:
        await cell.wait_ready()
        path = RequestRoutes(cell)
        await path.prepare()
        via_owner = await saturated(cell, path.via_owner, HOP_S, HOP_CONCURRENCY)
        via_remote_entry = await saturated(cell, path.via_remote_entry, HOP_S, HOP_CONCURRENCY)
    shown = f'{via_owner.per_s:.0f} requests/s through the owner, {via_remote_entry.per_s:.1f} with one hop'
    return [f'{HOP_CONCURRENCY} at once, worker of {SLOTS_TODAY} slots: {shown}']


async def measure_rows() -> list[str]:
    """Measure and return the rows."""
    async with BenchCell(layout(SLOTS)) as cell:
        await cell.wait_ready()
        path = RequestRoutes(cell)
        await path.prepare()
        rows = [
            *await latency_rows(path),
            *await rate_rows(path),
            *await saturation_rows(path),
        ]
    return [*rows, *await hop_rows()]


def run(seed: int) -> list[str]:
    """Return the measured rows; nothing is drawn at random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_requests', run)


if __name__ == '__main__':
    main()
