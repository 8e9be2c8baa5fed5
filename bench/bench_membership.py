"""Cost of heartbeats against the number of entries, within and across failure domains."""

import asyncio
from collections.abc import Iterator, Sequence

from bench.cell_meter import BenchCell, Usage, median_usage, show_each
from bench.fit import fit_line
from bench.output import print_rows
from demo.layout import CellLayout

__all__ = ('run',)

#: Entries of one failure domain.
LOCAL = (2, 4, 8, 12)

#: Failure domains with one entry each.
REMOTE = (2, 4, 8, 12)

SETTLE_S = 4.0

#: Two periods of the heartbeats across failure domains and of the VM list.
WINDOW_S = 4.0
WINDOWS = 3
READY_TIMEOUT_S = 60.0


async def measure(domains: int, entries: int) -> Usage:
    """Return what one entry of an idle cell without workers uses in a second."""
    names = tuple(f'domain{number}' for number in range(domains))
    async with BenchCell(CellLayout(failure_domains=names, entries=entries, workers=0)) as cell:
        await cell.wait_ready(READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        return await median_usage(cell, WINDOW_S, WINDOWS)


def rows_for(title: str, sizes: Sequence[int], usages: Sequence[Usage]) -> Iterator[str]:
    """Yield the measured points and the lines through them, by the number of other entries."""
    yield from show_each(title, sizes, usages)
    others = [size - 1 for size in sizes]
    spent = fit_line(others, [used.cpu_ms for used in usages])
    moved = fit_line(others, [used.traffic['peers'] for used in usages])
    yield f'{title}: processor {spent.show("ms/s", "other entry")}'
    yield f'{title}: traffic with peers {moved.show("B/s", "other entry")}'


async def measure_rows() -> list[str]:
    """Measure all cells and return the rows."""
    local = await asyncio.gather(*(measure(1, entries) for entries in LOCAL))
    remote = await asyncio.gather(*(measure(domains, 1) for domains in REMOTE))
    return [
        *rows_for('entries of one domain', LOCAL, local),
        *rows_for('domains with one entry each', REMOTE, remote),
    ]


def run(seed: int) -> list[str]:
    """Return the measured rows; nothing is drawn at random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_membership', run)


if __name__ == '__main__':
    main()
