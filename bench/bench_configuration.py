"""Configuration changes: time until they are in force on every entry, and their cost."""

import asyncio
import time
from collections.abc import Iterator, Sequence
from types import MappingProxyType

import msgspec

from bench.cell_meter import BenchCell, read_entries, usage_between
from bench.fit import fit_line
from bench.output import percentiles_ms, print_rows
from demo.layout import CellLayout

__all__ = ('run',)

STREAM = 'configuration'
DOMAINS = ('recife', 'fortaleza', 'salvador')
ENTRIES = 2
SETTLE_S = 3.0
CHANGES = 20
POLL_S = 0.005

#: Changes per second, while no versions are polled.
RATES = (0, 2, 4, 8)
RATE_S = 4.0

#: Value of the workspace that each change publishes; the quota is of the size in the design.
VALUE = MappingProxyType(
    {'quota': {'cpu_milli': 4_000_000, 'memory_mb': 8_000_000}, 'weight': 2},
)


class Cost(msgspec.Struct):
    """Usage per second at one rate of changes.

    Attributes:
        cpu_ms: processor time of all entries, in milliseconds.
        moved: bytes sent and received by all entries.
        log_bytes: bytes appended to the configuration stream.
    """

    cpu_ms: float
    moved: float
    log_bytes: float


class Changes:
    """Publishes configuration objects to a cell and measures the effect.

    Attributes:
        number: number of objects published so far.
    """

    def __init__(self, cell: BenchCell) -> None:
        """Create a publisher for a running cell."""
        self.cell = cell
        self.number = 0

    async def publish(self) -> int:
        """Publish one new object, wait for the reply and return the version of the change.

        Raises:
            RuntimeError: the change is not in force on every entry.
        """
        self.number += 1
        change = {
            'kind': 'workspace',
            'name': f'team-{self.number}',
            'base_version': 0,
            'value': dict(VALUE),
        }
        body = {'author': 'bench', 'changes': [change]}
        entries = list(self.cell.entries.values())
        address = entries[self.number % len(entries)].http
        _, reply = await self.cell.post(address, '/v1/operator/configuration', body)
        if not reply['in_force']:
            raise RuntimeError(f'configuration not in force on every entry: {reply}')
        return reply['version']

    async def measure_propagation(self) -> tuple[float, float]:
        """Publish one object and measure its propagation.

        Returns:
            Seconds until it was in force on every entry, and until the reply arrived.
        """
        started_s = time.monotonic()
        expected = 1 + await self.version_at(next(iter(self.cell.entries.values())).http)
        waits = [
            asyncio.create_task(self.wait_in_force(entry.http, expected))
            for entry in self.cell.entries.values()
        ]
        await self.publish()
        replied_s = time.monotonic()
        in_force_s = max(await asyncio.gather(*waits))
        return in_force_s - started_s, replied_s - started_s

    async def wait_in_force(self, address: str, version: int) -> float:
        """Wait until an entry has a version in force and return the monotonic time in seconds."""
        while await self.version_at(address) < version:
            await asyncio.sleep(POLL_S)
        return time.monotonic()

    async def version_at(self, address: str) -> int:
        """Return the version in force at an entry."""
        status = await self.cell.get(address, '/v1/operator/configuration?kind=drain')
        return status['version']

    async def measure_at_rate(self, per_s: int) -> Cost:
        """Publish at a constant rate and return the usage per second."""
        before = read_entries(self.cell)
        log_bytes = await self.read_log_bytes()
        async with asyncio.TaskGroup() as group:
            for _ in range(int(per_s * RATE_S)):
                group.create_task(self.publish())
                await asyncio.sleep(1 / per_s)
        publishing_s = time.monotonic() - next(iter(before.values())).at_s
        await asyncio.sleep(max(RATE_S - publishing_s, 0))
        after = read_entries(self.cell)
        used = [usage_between(self.cell, name, before[name], after[name]) for name in after]
        elapsed_s = time.monotonic() - next(iter(before.values())).at_s
        return Cost(
            sum(usage.cpu_ms for usage in used),
            sum(usage.total_bytes for usage in used),
            (await self.read_log_bytes() - log_bytes) / elapsed_s,
        )

    async def read_log_bytes(self) -> int:
        """Return the size of the configuration stream in bytes."""
        stats = await self.cell.get(self.cell.log_address, '/v1/stats')
        return stats['streams'].get(STREAM, {'bytes': 0})['bytes']


def cost_rows(costs: Sequence[Cost]) -> Iterator[str]:
    """Yield the fitted lines of cost against the rate of changes."""
    entries = len(DOMAINS) * ENTRIES
    for title, name, unit in (
        ('processor', 'cpu_ms', 'ms/s'),
        ('traffic', 'moved', 'B/s'),
    ):
        line = fit_line(RATES, [getattr(cost, name) for cost in costs])
        yield f'{entries} entries together: {title} {line.describe(unit, "change/s")}'
    log_line = fit_line(RATES[1:], [cost.log_bytes for cost in costs[1:]])
    yield f'log: {log_line.describe("B/s", "change/s")}'


async def measure_rows() -> list[str]:
    """Measure and return the rows."""
    async with BenchCell(CellLayout(failure_domains=DOMAINS, entries=ENTRIES)) as cell:
        await cell.wait_ready()
        changes = Changes(cell)
        await changes.publish()
        await asyncio.sleep(SETTLE_S)
        costs = [await changes.measure_at_rate(rate) for rate in RATES]
        times = [await changes.measure_propagation() for _ in range(CHANGES)]
    in_force_s, replied_s = zip(*times, strict=True)
    return [
        f'in force on each of {len(DOMAINS) * ENTRIES} entries: {percentiles_ms(in_force_s)}',
        f'reply that says so: {percentiles_ms(replied_s)}',
        *cost_rows(costs),
    ]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; nothing is random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_configuration', run)


if __name__ == '__main__':
    main()
