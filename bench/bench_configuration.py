"""Configuration: time until a change is in force on every entry, and what a change costs."""

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

#: Changes a second, sent without polling.
RATES = (0, 2, 4, 8)
RATE_S = 4.0

#: Workspaces as in the design, whose quota each change sets.
VALUE = MappingProxyType(
    {'quota': {'cpu_milli': 4_000_000, 'memory_mb': 8_000_000}, 'weight': 2},
)


class Cost(msgspec.Struct):
    """What all entries used in a second, and what the log took."""

    cpu_ms: float
    moved: float
    log_bytes: float


class Changes:
    """Publishes new objects to a cell."""

    def __init__(self, cell: BenchCell) -> None:
        """Take the cell."""
        self.cell = cell
        self.number = 0

    async def publish(self) -> int:
        """Publish one object and return its version once the reply has come.

        Raises:
            RuntimeError: it is not in force everywhere.
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
            raise RuntimeError(f'not in force everywhere: {reply}')
        return reply['version']

    async def measure_propagation(self) -> tuple[float, float]:
        """Publish; return the seconds until each entry had it, and until the reply said so."""
        started_s = time.monotonic()
        expected = 1 + await self.version_at(next(iter(self.cell.entries.values())).http)
        seen = [
            asyncio.create_task(self.wait_in_force(entry.http, expected))
            for entry in self.cell.entries.values()
        ]
        await self.publish()
        replied_s = time.monotonic()
        in_force_s = max(await asyncio.gather(*seen))
        return in_force_s - started_s, replied_s - started_s

    async def wait_in_force(self, address: str, version: int) -> float:
        """Return the moment at which an entry has a version in force."""
        while await self.version_at(address) < version:
            await asyncio.sleep(POLL_S)
        return time.monotonic()

    async def version_at(self, address: str) -> int:
        """Return the version in force at an entry."""
        found = await self.cell.get(address, '/v1/operator/configuration?kind=drain')
        return found['version']

    async def measure_at_rate(self, per_s: int) -> Cost:
        """Publish at an even rate and return the cost of a second."""
        before = read_entries(self.cell)
        logged = await self.logged()
        async with asyncio.TaskGroup() as group:
            for _ in range(int(per_s * RATE_S)):
                group.create_task(self.publish())
                await asyncio.sleep(1 / per_s)
        spent_s = time.monotonic() - next(iter(before.values())).at_s
        await asyncio.sleep(max(RATE_S - spent_s, 0))
        after = read_entries(self.cell)
        used = [usage_between(self.cell, name, before[name], after[name]) for name in after]
        elapsed_s = time.monotonic() - next(iter(before.values())).at_s
        return Cost(
            sum(usage.cpu_ms for usage in used),
            sum(usage.total_bytes for usage in used),
            (await self.logged() - logged) / elapsed_s,
        )

    async def logged(self) -> int:
        """Return the bytes of the configuration stream."""
        stats = await self.cell.get(self.cell.log_address, '/v1/stats')
        return stats['streams'].get(STREAM, {'bytes': 0})['bytes']


def cost_rows(costs: Sequence[Cost]) -> Iterator[str]:
    """Yield the lines through the costs of all entries."""
    entries = len(DOMAINS) * ENTRIES
    for title, name, unit in (
        ('processor', 'cpu_ms', 'ms/s'),
        ('traffic', 'moved', 'B/s'),
    ):
        line = fit_line(RATES, [getattr(cost, name) for cost in costs])
        yield f'{entries} entries together: {title} {line.show(unit, "change/s")}'
    logged = fit_line(RATES[1:], [cost.log_bytes for cost in costs[1:]])
    yield f'log: {logged.show("B/s", "change/s")}'


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
    """Return the measured rows; nothing is drawn at random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_configuration', run)


if __name__ == '__main__':
    main()
