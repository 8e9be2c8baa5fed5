"""Memory of an entry: after imports, idle, and with workers, tasks, jobs, keys and listed VMs."""

import asyncio
import resource
import subprocess
import sys
from collections.abc import Iterator, Sequence
from itertools import islice

import msgspec

from bench.cell_meter import BenchCell
from bench.fit import fit_line
from bench.kernel_counters import Memory, memory_of
from bench.output import print_rows
from bench.prefill import DOMAIN, Shape, append_records, listed_vm
from demo.layout import CellLayout

__all__ = ('run',)

KB_PER_MB = 1024
STREAM = f'domain-{DOMAIN}'
READY_TIMEOUT_S = 60.0

#: Time for the first snapshot and for buffers to reach their steady size, in seconds.
SETTLE_S = 8.0

WORKERS = (0, 80, 160)
TASKS = (0, 3100, 6200)
TASKS_OF_JOB = 62
KEYS = (0, 5000, 10_000)

#: Numbers of jobs with one ended task, and of VMs of other failure domains in the VM list.
JOBS = (0, 2700, 5400)
LISTED = (0, 4000, 7700)

#: Modules imported one after the other in a new interpreter, in the order in which the entry
#: daemon imports them; the last one is the daemon itself.
IMPORTS = (
    'asyncio',
    'msgspec',
    'ssl',
    'aiohttp',
    'aiohttp.web',
    'grpclib.client',
    'grpclib.server',
    'loguru',
    'opentelemetry.sdk.trace',
    'hdrh.histogram',
    'marigoldlift.entry',
)

#: Prints the resident and the private memory in kB before and after each import.
IMPORT_SCRIPT = """
import importlib, sys

def resident_kb():
    with open('/proc/self/smaps_rollup') as rollup:
        fields = [line.split() for line in rollup]
    sizes = {found[0]: int(found[1]) for found in fields if found[-1] == 'kB'}
    return sizes['Rss:'], sizes['Private_Clean:'] + sizes['Private_Dirty:']

print('interpreter', *resident_kb())
for name in sys.argv[1:]:
    importlib.import_module(name)
    print(name, *resident_kb())
print('modules', len(sys.modules), 0)
"""


class Case(msgspec.Struct, frozen=True):
    """A daemon to measure.

    Attributes:
        workers: workers of its failure domain.
        shape: contents of the domain stream.
        listed: additional VMs of other failure domains in the VM list.
    """

    workers: int = 0
    shape: Shape = Shape()
    listed: int = 0


def import_rows() -> Iterator[str]:
    """Yield the memory after each import."""
    command = (sys.executable, '-c', IMPORT_SCRIPT, *IMPORTS)
    printed = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    *lines, modules = [line.split() for line in printed.splitlines()]
    before_kb = 0
    for name, resident, private in lines:
        grown = (int(resident) - before_kb) / KB_PER_MB
        before_kb = int(resident)
        megabytes = f'{before_kb / KB_PER_MB:.1f} MB (+{grown:.1f})'
        yield f'resident after {name}: {megabytes}, private {int(private) / KB_PER_MB:.1f} MB'
    yield f'modules loaded: {modules[1]}'


async def client_row() -> str:
    """Return the processor time of one run of the operators' client, including its start."""
    layout = CellLayout(failure_domains=(DOMAIN,), entries=1, workers=1)
    async with BenchCell(layout) as cell:
        await cell.wait_ready(READY_TIMEOUT_S)
        entry = next(iter(cell.entries.values()))
        words = ('-m', 'marigoldlift', 'status', '--address', entry.http)
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            stdout=asyncio.subprocess.DEVNULL,
        )
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        await client.wait()
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return f'client, one `status` of one entry: processor {spent_s:.2f} s'


async def measure(case: Case, seed: int) -> Memory:
    """Return the memory of the only entry of a cell."""
    layout = CellLayout(failure_domains=(DOMAIN,), entries=1, workers=case.workers)
    listed = [listed_vm(number) for number in range(case.listed)]
    async with BenchCell(layout, listed) as cell:
        await cell.wait_ready(READY_TIMEOUT_S)
        await append_records(cell, STREAM, list(case.shape.records(seed)))
        await asyncio.sleep(SETTLE_S)
        entry = next(iter(cell.entries.values()))
        return memory_of(entry.process.pid)


def rows_for(title: str, sizes: Sequence[int], measured: Sequence[Memory]) -> Iterator[str]:
    """Yield the memory at each size, and the fitted line of resident memory."""
    for size, memory in zip(sizes, measured, strict=True):
        parts = f'private {memory.private:.1f} MB, peak {memory.peak:.1f} MB'
        yield f'daemon with {size} {title}s: resident {memory.resident:.1f} MB, {parts}'
    line = fit_line(sizes, [used.resident * KB_PER_MB for used in measured])
    yield f'daemon: resident {line.describe("kB", title)}'


async def measure_rows(seed: int) -> list[str]:
    """Measure all daemons concurrently and return the rows."""
    cases = (
        *(Case(workers=workers) for workers in WORKERS),
        *(Case(shape=Shape(tasks // TASKS_OF_JOB, TASKS_OF_JOB)) for tasks in TASKS),
        *(Case(shape=Shape(jobs, ended=True)) for jobs in JOBS),
        *(Case(shape=Shape(keys=keys)) for keys in KEYS),
        *(Case(listed=listed) for listed in LISTED),
    )
    measured = iter(await asyncio.gather(*(measure(case, seed) for case in cases)))
    return [
        row
        for title, sizes in (
            ('owned worker', WORKERS),
            ('running task', TASKS),
            ('ended job', JOBS),
            ('closed key', KEYS),
            ('listed VM', LISTED),
        )
        for row in rows_for(title, sizes, list(islice(measured, len(sizes))))
    ]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; the seed determines the synthetic records."""
    return [*import_rows(), asyncio.run(client_row()), *asyncio.run(measure_rows(seed))]


def main() -> None:
    """Print the rows."""
    print_rows('bench_memory', run)


if __name__ == '__main__':
    main()
