"""Cost of the request path: direct to a worker, through its owner, and with one hop between entries."""

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

#: Failure domain of the worker that answers and of its owner, and the other failure domain.
OWNER_DOMAIN = 'recife'
REMOTE_DOMAIN = 'fortaleza'
WORKSPACE = 'egbolt'
SERVICE = 'clearance'

#: More slots than requests between two heartbeats, so that the forwarding entry never has to wait
#: for a free slot.
SLOTS = 2000

#: Slots of present-day workers.
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
    """Sends requests to the same worker over different routes.

    Attributes:
        lease: incarnation and epoch of the owner's lease on the worker.
        number: number of idempotency keys used so far.
    """

    def __init__(self, cell: BenchCell) -> None:
        """Create the routes of a running cell; `prepare` has to be called before a request is sent."""
        self.cell = cell
        self.lease: dict[str, object] = {}
        self.number = 0

    async def prepare(self) -> None:
        """Publish the service and read the lease of the worker.

        Raises:
            RuntimeError: the configuration was refused or is not in force.
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
        refused = await self.read_lease()
        self.lease = {'incarnation': refused['incarnation'], 'epoch': refused['epoch']}

    async def read_lease(self) -> dict[str, object]:
        """Read the lease by claiming it: the refusal contains incarnation and epoch of the owner's lease."""
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
        """Return a new idempotency key."""
        self.number += 1
        return f'request-{self.number}'

    async def direct(self) -> None:
        """Send a request directly to the worker, with the lease of its owner.

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
            raise RuntimeError(f'request refused by the worker: {reply}')

    async def send_via(self, domain: str) -> None:
        """Send a request to the entry of a failure domain.

        Raises:
            RuntimeError: the request did not complete.
        """
        body = {
            'key': self.next_key(),
            'service': SERVICE,
            'payload': '{"answer": "clear"}',
        }
        path = f'/v1/workspaces/{WORKSPACE}/requests'
        _, reply = await self.cell.post(self.entry(domain), path, body)
        if reply.get('answer') != 'clear':
            raise RuntimeError(f'request not completed: {reply}')

    async def via_owner(self) -> None:
        """Send a request through the owner."""
        await self.send_via(OWNER_DOMAIN)

    async def via_remote_entry(self) -> None:
        """Send a request through an entry of the other failure domain, which forwards it to the owner."""
        await self.send_via(REMOTE_DOMAIN)


class Load(msgspec.Struct):
    """Result of a load.

    Attributes:
        per_s: completed requests per second.
        cpu_ms: processor time in milliseconds per second, by entry.
    """

    per_s: float
    cpu_ms: dict[str, float]

    @property
    def total_ms(self) -> float:
        """Return the processor time of all entries, in milliseconds per second."""
        return sum(self.cpu_ms.values())


async def time_call(send: Send) -> float:
    """Return the duration of a request in seconds."""
    started_s = time.perf_counter()
    await send()
    return time.perf_counter() - started_s


async def latency_rows(routes: RequestRoutes) -> list[str]:
    """Send one request at a time over each route in turn; return latencies and added latencies."""
    senders = (routes.direct, routes.via_owner, routes.via_remote_entry)
    rounds = [[await time_call(send) for send in senders] for _ in range(ROUNDS + WARM_UP)]
    direct, via_owner, via_remote_entry = zip(*rounds[WARM_UP:], strict=True)
    return [
        f'one at a time, direct: {percentiles_ms(direct)}',
        f'one at a time, through the owner: {percentiles_ms(via_owner)}',
        f'one at a time, with one hop: {percentiles_ms(via_remote_entry)}',
        f'added to the direct call through the owner: {percentiles_ms(added_latency(via_owner, direct))}',
        f'added to the direct call with one hop: {percentiles_ms(added_latency(via_remote_entry, direct))}',
    ]


def added_latency(times_s: Sequence[float], direct_s: Sequence[float]) -> list[float]:
    """Return by how many seconds each request took longer than the direct call of its round."""
    return [taken_s - base_s for taken_s, base_s in zip(times_s, direct_s, strict=True)]


async def measure_at_rate(cell: BenchCell, send: Send, per_s: float) -> Load:
    """Send requests at a constant rate for `RATE_S` seconds, also while earlier ones are in progress."""
    before = read_entries(cell)
    started_s = time.monotonic()
    count = int(per_s * RATE_S)
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send())
            due_s = started_s + (number + 1) / per_s
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
    return load_since(cell, before, count)


async def measure_saturated(cell: BenchCell, send: Send, seconds: float, concurrency: int) -> Load:
    """Keep `concurrency` requests in progress for some seconds."""
    before = read_entries(cell)
    ends_s = time.monotonic() + seconds
    counts = await asyncio.gather(*(send_repeatedly(send, ends_s) for _ in range(concurrency)))
    return load_since(cell, before, sum(counts))


async def send_repeatedly(send: Send, ends_s: float) -> int:
    """Send one request after the other until a monotonic time; return their number."""
    count = 0
    while time.monotonic() < ends_s:
        await send()
        count += 1
    return count


def load_since(cell: BenchCell, before: dict[str, Reading], count: int) -> Load:
    """Return the result of a load of `count` requests that started at the reading `before`."""
    after = read_entries(cell)
    elapsed_s = max(after[name].at_s - before[name].at_s for name in after)
    used = {name: usage_between(cell, name, before[name], after[name]) for name in after}
    return Load(count / elapsed_s, {name: usage.cpu_ms for name, usage in used.items()})


async def rate_rows(routes: RequestRoutes) -> list[str]:
    """Return fitted lines of the processor time of both entries against the rate, by route."""
    rows = []
    for name, send in (
        ('through the owner', routes.via_owner),
        ('with one hop', routes.via_remote_entry),
    ):
        loads = [await measure_at_rate(routes.cell, send, per_s) for per_s in RATES]
        line = fit_line([load.per_s for load in loads], [load.total_ms for load in loads])
        rows.append(f'both entries, {name}: {line.describe("ms/s", "request/s")}')
    return rows


async def saturation_rows(routes: RequestRoutes) -> list[str]:
    """Return the throughput of one entry, and the processor time of entry and benchmark client."""
    rows = []
    for concurrency in CONCURRENCY:
        started_s = time.process_time()
        load = await measure_saturated(routes.cell, routes.via_owner, SATURATION_S, concurrency)
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
    """Return the throughput without and with a hop to a worker of `SLOTS_TODAY` slots."""
    async with BenchCell(layout(SLOTS_TODAY)) as cell:
        await cell.wait_ready()
        routes = RequestRoutes(cell)
        await routes.prepare()
        via_owner = await measure_saturated(cell, routes.via_owner, HOP_S, HOP_CONCURRENCY)
        via_remote_entry = await measure_saturated(
            cell, routes.via_remote_entry, HOP_S, HOP_CONCURRENCY
        )
    shown = f'{via_owner.per_s:.0f} requests/s through the owner, {via_remote_entry.per_s:.1f} with one hop'
    return [f'{HOP_CONCURRENCY} at once, worker of {SLOTS_TODAY} slots: {shown}']


async def measure_rows() -> list[str]:
    """Measure all loads and return the rows."""
    async with BenchCell(layout(SLOTS)) as cell:
        await cell.wait_ready()
        routes = RequestRoutes(cell)
        await routes.prepare()
        rows = [
            *await latency_rows(routes),
            *await rate_rows(routes),
            *await saturation_rows(routes),
        ]
    return [*rows, *await hop_rows()]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; nothing is random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_requests', run)


if __name__ == '__main__':
    main()
