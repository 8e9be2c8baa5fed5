"""Cost of heartbeats by number of entries, within and across failure domains."""

import asyncio
from collections.abc import Iterator, Sequence

from bench.cell_meter import BenchCell, Usage, median_usage, usage_rows
from bench.fit import fit_line
from bench.output import print_rows
from demo.layout import CellLayout

__all__ = ('run',)

#: Numbers of entries in a single failure domain.
LOCAL = (2, 4, 8, 12)

#: Numbers of failure domains with one entry each.
REMOTE = (2, 4, 8, 12)

SETTLE_S = 4.0

#: Two periods of the heartbeats across failure domains and of the VM list.
WINDOW_S = 4.0
WINDOWS = 3
READY_TIMEOUT_S = 60.0


async def measure(domains: int, entries: int) -> Usage:
    """Return the usage of one entry in an idle cell without workers."""
    names = tuple(f'domain{number}' for number in range(domains))
    async with BenchCell(CellLayout(failure_domains=names, entries=entries, workers=0)) as cell:
        await cell.wait_ready(READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        return await median_usage(cell, WINDOW_S, WINDOWS)


def rows_for(title: str, sizes: Sequence[int], usages: Sequence[Usage]) -> Iterator[str]:
    """Yield the measured usages, and the fitted lines against the number of other entries."""
    yield from usage_rows(title, sizes, usages)
    others = [size - 1 for size in sizes]
    cpu_line = fit_line(others, [used.cpu_ms for used in usages])
    traffic_line = fit_line(others, [used.traffic['peers'] for used in usages])
    yield f'{title}: processor {cpu_line.describe("ms/s", "other entry")}'
    yield f'{title}: traffic with peers {traffic_line.describe("B/s", "other entry")}'


async def measure_rows() -> list[str]:
    """Measure all cells and return the rows."""
    local = await asyncio.gather(*(measure(1, entries) for entries in LOCAL))
    remote = await asyncio.gather(*(measure(domains, 1) for domains in REMOTE))
    return [
        *rows_for('entries of one domain', LOCAL, local),
        *rows_for('domains with one entry each', REMOTE, remote),
    ]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; nothing is random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_membership', run)


if __name__ == '__main__':
    main()
