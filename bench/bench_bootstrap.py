"""Catch-up time of a new entry: from log records, from a snapshot in the log, and from a peer."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

import msgspec

from bench.cell_meter import BenchCell
from bench.fit import fit_line
from bench.output import print_rows
from bench.prefill import DOMAIN, Shape, append_records
from demo.layout import CellLayout
from marigoldlift.journal.messages import Record

__all__ = ('run',)

STREAM = f'domain-{DOMAIN}'
FIRST_ENTRY = f'entry-{DOMAIN}-0'
NEW_ENTRY = f'entry-{DOMAIN}-1'
POLL_S = 0.01
TIMEOUT_S = 90.0

#: Time for the first entry to write the first snapshot of the stream, in seconds.
SNAPSHOT_S = 6.0

#: Numbers of closed keys; each takes two records, and a domain keeps at most 50,000 keys.
KEYS = (5000, 15_000, 45_000)

#: Records by which the log keeps fewer than the entry has applied, so that the first are dropped.
RETAINED_MARGIN = 5


class CatchUp(msgspec.Struct):
    """Start-up and catch-up time of a new entry, in seconds from the start of its process.

    Attributes:
        records: records of the stream that it applied or that the state it loaded includes.
        started_s: until it listened on its ports.
        caught_up_s: until it had applied the stream.
    """

    records: int
    started_s: float
    caught_up_s: float

    def describe(self) -> str:
        """Return the times as text."""
        return f'listens after {self.started_s:.2f} s, caught up after {self.caught_up_s:.2f} s'


async def prepare_log_replay(cell: BenchCell) -> None:
    """Keep the whole log, so that the new entry applies all records."""


async def prepare_snapshot_search(cell: BenchCell) -> None:
    """Make the log drop the first records, so that the new entry has to search for a snapshot."""
    applied = await applied_offset(cell, FIRST_ENTRY)
    await cell.post(cell.log_address, '/v1/faults', {'retain_records': applied - RETAINED_MARGIN})


async def prepare_peer_transfer(cell: BenchCell) -> None:
    """Start an outage of the log, so that the new entry loads its state from its peer."""
    await cell.post(cell.log_address, '/v1/faults', {'outage': True})


async def measure(
    shape: Shape, seed: int, prepare: Callable[[BenchCell], Awaitable[None]]
) -> CatchUp:
    """Fill the stream of a domain, let one entry apply it, and measure how a second one catches up.

    Args:
        shape: contents of the stream.
        seed: seed of the synthetic records.
        prepare: sets up the source from which the second entry catches up.
    """
    records: list[Record] = list(shape.records(seed))
    layout = CellLayout(failure_domains=(DOMAIN,), entries=1, workers=0, retain_records=10**6)
    async with BenchCell(layout) as cell:
        await cell.wait_ready(TIMEOUT_S)
        await append_records(cell, STREAM, records)
        await wait_applied(cell, FIRST_ENTRY, len(records))
        await asyncio.sleep(SNAPSHOT_S)
        expected = await applied_offset(cell, FIRST_ENTRY)
        await prepare(cell)
        began_s = time.monotonic()
        await cell.replace_entry(NEW_ENTRY, seeds=[cell.entries[FIRST_ENTRY].grpc])
        started_s = time.monotonic() - began_s
        await wait_applied(cell, NEW_ENTRY, expected)
        return CatchUp(expected, started_s, time.monotonic() - began_s)


async def wait_applied(cell: BenchCell, vm_id: str, offset: int) -> None:
    """Wait until an entry has applied the domain stream up to an offset."""
    async with asyncio.timeout(TIMEOUT_S):
        while await applied_offset(cell, vm_id) < offset:
            await asyncio.sleep(POLL_S)


async def applied_offset(cell: BenchCell, vm_id: str) -> int:
    """Return the last offset of the domain stream that an entry has applied, 0 if none."""
    status = await cell.get(cell.entries[vm_id].http, '/v1/operator/status')
    return status['entries'][0]['applied'].get(STREAM, 0)


async def measure_sizes(
    shapes: Sequence[Shape],
    seed: int,
    prepare: Callable[[BenchCell], Awaitable[None]],
) -> list[CatchUp]:
    """Measure several sizes concurrently."""
    return await asyncio.gather(*(measure(shape, seed, prepare) for shape in shapes))


def rows_for(title: str, measured: Sequence[CatchUp]) -> Iterator[str]:
    """Yield a row for each size, and the fitted line through the catch-up times."""
    yield from (f'{title}, {result.records} records: {result.describe()}' for result in measured)
    sizes = [result.records for result in measured]
    line = fit_line(sizes, [result.caught_up_s for result in measured])
    yield f'{title}: {line.describe("s", "record")}'


async def measure_rows(seed: int) -> list[str]:
    """Measure all sources and return the rows."""
    shapes = [Shape(keys=keys) for keys in KEYS]
    rows: list[str] = []
    for title, prepare in (
        ('all records from the log', prepare_log_replay),
        ('search for a snapshot in the log', prepare_snapshot_search),
        ('from a peer, log down', prepare_peer_transfer),
    ):
        rows.extend(rows_for(title, await measure_sizes(shapes, seed, prepare)))
    return rows


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; the seed determines the synthetic records."""
    return asyncio.run(measure_rows(seed))


def main() -> None:
    """Print the rows."""
    print_rows('bench_bootstrap', run)


if __name__ == '__main__':
    main()
