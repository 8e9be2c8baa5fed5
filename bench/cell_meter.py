"""Processor time and bytes of the entries of a cell, by what the bytes are for."""

import asyncio
import statistics
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from bench.kernel_counters import SocketCount, cpu_s, sockets_of
from demo.harness import CellProcesses, EntryProcess
from demo.layout import CellLayout

__all__ = (
    'BenchCell',
    'Reading',
    'Usage',
    'median_usage',
    'read_entries',
    'show_each',
    'usage_between',
)

MS_PER_S = 1000

LOG = 'log'
VM_LIST = 'vm list'
WORKERS = 'workers'
PEERS = 'peers'
CALLERS = 'callers'

ZERO_SOCKET_COUNT = SocketCount(0, 0, 0, 0, 0)


class BenchCell(CellProcesses):
    """A cell whose VM list may name VMs that do not exist here.

    Attributes:
        listed: further VMs of the list, none of which the entries of the cell call.
    """

    def __init__(self, layout: CellLayout, listed: Sequence[dict[str, Any]] = ()) -> None:
        """Keep the layout and the further VMs."""
        super().__init__(layout)
        self.listed = listed

    async def put(self, address: str, path: str, body: Any) -> tuple[int, Any]:
        """Replace the VM list; it gets the further VMs."""
        vms = [*body['vms'], *self.listed]
        return await super().put(address, path, body | {'vms': vms})


class Reading(msgspec.Struct):
    """Totals of one entry at a moment; sockets by inode."""

    at_s: float
    cpu_s: float
    sockets: dict[int, SocketCount]


class Usage(msgspec.Struct):
    """What an entry used in a second.

    Attributes:
        cpu_ms: processor time in milliseconds.
        traffic: bytes of payload in both directions, by what they are for.
        segments: TCP segments in both directions, acknowledgements included.
    """

    cpu_ms: float
    traffic: dict[str, float]
    segments: float

    @property
    def total_bytes(self) -> float:
        """Return the bytes of all connections."""
        return sum(self.traffic.values())

    def show(self) -> str:
        """Return the figures for a reader."""
        moved = sorted(self.traffic.items())
        parts = ', '.join(f'{name} {rate:.0f}' for name, rate in moved if rate)
        total = f'{self.total_bytes:.0f} B/s ({parts})'
        return f'{self.cpu_ms:.2f} ms/s, {total}, {self.segments:.0f} segments/s'


def read_entry(entry: EntryProcess) -> Reading:
    """Read the totals of an entry."""
    pid = entry.process.pid
    return Reading(time.monotonic(), cpu_s(pid), sockets_of(pid))


def read_entries(cell: CellProcesses) -> dict[str, Reading]:
    """Read the totals of all entries of a cell."""
    return {vm_id: read_entry(entry) for vm_id, entry in cell.entries.items()}


def usage_between(cell: CellProcesses, vm_id: str, before: Reading, after: Reading) -> Usage:
    """Return what an entry used between two readings."""
    elapsed_s = after.at_s - before.at_s
    purposes = purposes_of(cell, vm_id)
    traffic: Counter[str] = Counter()
    segments = 0
    for inode, count in after.sockets.items():
        earlier = before.sockets.get(inode, ZERO_SOCKET_COUNT)
        ports = (count.remote_port, count.local_port)
        purpose = next((purposes[port] for port in ports if port in purposes), 'other')
        moved = count.sent + count.received - earlier.sent - earlier.received
        traffic[purpose] += moved / elapsed_s
        segments += count.segments - earlier.segments
    spent_ms = (after.cpu_s - before.cpu_s) * MS_PER_S
    return Usage(spent_ms / elapsed_s, dict(traffic), segments / elapsed_s)


def purposes_of(cell: CellProcesses, vm_id: str) -> dict[int, str]:
    """Return what a connection is for, by the port of its server."""
    found = {port_of(cell.log_address): LOG, port_of(cell.vm_list_address): VM_LIST}
    found.update((port_of(address), WORKERS) for address in cell.workers.values())
    found.update((port_of(entry.grpc), PEERS) for entry in cell.entries.values())
    found[port_of(cell.entries[vm_id].http)] = CALLERS
    return found


def port_of(address: str) -> int:
    """Return the port of `host:port`."""
    return int(address.rpartition(':')[-1])


async def median_usage(cell: CellProcesses, seconds: float, windows: int) -> Usage:
    """Return the median over some windows of the mean of all entries."""
    usages = []
    before = read_entries(cell)
    for _ in range(windows):
        await asyncio.sleep(seconds)
        after = read_entries(cell)
        usages.append(
            mean_usage(
                [usage_between(cell, name, before[name], after[name]) for name in after],
            ),
        )
        before = after
    return combine(usages, statistics.median)


def mean_usage(usages: Sequence[Usage]) -> Usage:
    """Return the mean of what several entries used."""
    return combine(usages, statistics.fmean)


def combine(usages: Sequence[Usage], average: Any) -> Usage:
    """Average each figure of several usages."""
    purposes = {purpose for usage in usages for purpose in usage.traffic}
    return Usage(
        average([usage.cpu_ms for usage in usages]),
        {
            purpose: average([usage.traffic.get(purpose, 0) for usage in usages])
            for purpose in purposes
        },
        average([usage.segments for usage in usages]),
    )


def show_each(title: str, sizes: Sequence[int], usages: Sequence[Usage]) -> Iterator[str]:
    """Yield a row for each measured size."""
    for size, used in zip(sizes, usages, strict=True):
        yield f'{title} {size}: {used.show()}'
