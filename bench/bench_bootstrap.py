"""Time in which a new entry catches up: from the log, from a snapshot in it, and from a peer."""

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
FIRST = f'entry-{DOMAIN}-0'
NEW = f'entry-{DOMAIN}-1'
POLL_S = 0.01
TIMEOUT_S = 90.0

#: Time in which the first entry writes the snapshot that a stream without one is due for.
SNAPSHOT_S = 6.0

#: Closed keys, each two records of the stream; a domain keeps at most 50,000.
KEYS = (5000, 15_000, 45_000)
RETAINED_MARGIN = 5


class CatchUp(msgspec.Struct):
    """How long a new entry took, in seconds from the start of its process.

    Attributes:
        records: records of the stream that it read or that its state stands for.
        started_s: until it listened.
        caught_up_s: until it had applied the stream.
    """

    records: int
    started_s: float
    caught_up_s: float

    def show(self) -> str:
        """Return the times for a reader."""
        return f'listens after {self.started_s:.2f} s, caught up after {self.caught_up_s:.2f} s'


async def from_log(cell: BenchCell) -> None:
    """Leave the log as it is: the new entry applies all records."""


async def from_snapshot(cell: BenchCell) -> None:
    """Let the log drop the first records: the new entry has to look for a snapshot."""
    applied = await applied_at(cell, FIRST)
    await cell.post(cell.log_address, '/v1/faults', {'retain_records': applied - RETAINED_MARGIN})


async def from_peer(cell: BenchCell) -> None:
    """Take the log down: the new entry asks its peer."""
    await cell.post(cell.log_address, '/v1/faults', {'outage': True})


async def measure(
    shape: Shape, seed: int, prepare: Callable[[BenchCell], Awaitable[None]]
) -> CatchUp:
    """Fill the stream of a domain, let one entry read it, and time a second one."""
    records: list[Record] = list(shape.records(seed))
    layout = CellLayout(failure_domains=(DOMAIN,), entries=1, workers=0, retain_records=10**6)
    async with BenchCell(layout) as cell:
        await cell.wait_ready(TIMEOUT_S)
        await append_records(cell, STREAM, records)
        await wait_applied(cell, FIRST, len(records))
        await asyncio.sleep(SNAPSHOT_S)
        expected = await applied_at(cell, FIRST)
        await prepare(cell)
        began_s = time.monotonic()
        await cell.replace_entry(NEW, seeds=[cell.entries[FIRST].grpc])
        started_s = time.monotonic() - began_s
        await wait_applied(cell, NEW, expected)
        return CatchUp(expected, started_s, time.monotonic() - began_s)


async def wait_applied(cell: BenchCell, vm_id: str, offset: int) -> None:
    """Wait until an entry has applied an offset and is ready."""
    async with asyncio.timeout(TIMEOUT_S):
        while await applied_at(cell, vm_id) < offset:
            await asyncio.sleep(POLL_S)


async def applied_at(cell: BenchCell, vm_id: str) -> int:
    """Return the last applied offset of the domain stream at an entry."""
    status = await cell.get(cell.entries[vm_id].http, '/v1/operator/status')
    return status['entries'][0]['applied'].get(STREAM, 0)


async def measure_sizes(
    shapes: Sequence[Shape],
    seed: int,
    prepare: Callable[[BenchCell], Awaitable[None]],
) -> list[CatchUp]:
    """Measure several sizes side by side."""
    return await asyncio.gather(*(measure(shape, seed, prepare) for shape in shapes))


def rows_for(title: str, found: Sequence[CatchUp]) -> Iterator[str]:
    """Yield each size and the line through the times."""
    yield from (f'{title}, {one.records} records: {one.show()}' for one in found)
    sizes = [each.records for each in found]
    line = fit_line(sizes, [each.caught_up_s for each in found])
    yield f'{title}: {line.show("s", "record")}'


async def measure_rows(seed: int) -> list[str]:
    """Measure and return the rows."""
    shapes = [Shape(keys=keys) for keys in KEYS]
    rows: list[str] = []
    for title, prepare in (
        ('all records from the log', from_log),
        ('search for a snapshot in the log', from_snapshot),
        ('from a peer, log down', from_peer),
    ):
        rows.extend(rows_for(title, await measure_sizes(shapes, seed, prepare)))
    return rows


def run(seed: int) -> list[str]:
    """Return the measured rows; the seed draws the made-up records."""
    return asyncio.run(measure_rows(seed))


def main() -> None:
    """Print the rows."""
    print_rows('bench_bootstrap', run)


if __name__ == '__main__':
    main()
