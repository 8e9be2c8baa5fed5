"""Processor time and network traffic of the entries of a cell, by purpose of the traffic."""

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
    'usage_between',
    'usage_rows',
)

MS_PER_S = 1000

LOG = 'log'
VM_LIST = 'vm list'
WORKERS = 'workers'
PEERS = 'peers'
CALLERS = 'callers'

ZERO_SOCKET_COUNT = SocketCount(0, 0, 0, 0, 0)


class BenchCell(CellProcesses):
    """A cell whose VM list may contain VMs that do not exist.

    Attributes:
        listed: additional VMs of the list; the entries of the cell call none of them.
    """

    def __init__(self, layout: CellLayout, listed: Sequence[dict[str, Any]] = ()) -> None:
        """Create a cell; nothing is started yet."""
        super().__init__(layout)
        self.listed = listed

    async def put(self, address: str, path: str, body: Any) -> tuple[int, Any]:
        """Send a VM list to the platform, with the additional VMs appended to it."""
        vms = [*body['vms'], *self.listed]
        return await super().put(address, path, body | {'vms': vms})


class Reading(msgspec.Struct):
    """Totals of one entry since its start.

    Attributes:
        at_s: monotonic time of the reading, in seconds.
        cpu_s: processor time in seconds.
        sockets: totals of its TCP connections by inode.
    """

    at_s: float
    cpu_s: float
    sockets: dict[int, SocketCount]


class Usage(msgspec.Struct):
    """Resources that an entry used per second.

    Attributes:
        cpu_ms: processor time in milliseconds.
        traffic: bytes of TCP payload in both directions, by purpose.
        segments: TCP segments in both directions, including acknowledgements.
    """

    cpu_ms: float
    traffic: dict[str, float]
    segments: float

    @property
    def total_bytes(self) -> float:
        """Return the bytes per second of all connections."""
        return sum(self.traffic.values())

    def describe(self) -> str:
        """Return the figures as text."""
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
    """Return the usage of an entry between two readings."""
    elapsed_s = after.at_s - before.at_s
    purposes = purposes_by_port(cell, vm_id)
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


def purposes_by_port(cell: CellProcesses, vm_id: str) -> dict[int, str]:
    """Return the purpose of connections by the port of their server."""
    purposes = {port_of(cell.log_address): LOG, port_of(cell.vm_list_address): VM_LIST}
    purposes.update((port_of(address), WORKERS) for address in cell.workers.values())
    purposes.update((port_of(entry.grpc), PEERS) for entry in cell.entries.values())
    purposes[port_of(cell.entries[vm_id].http)] = CALLERS
    return purposes


def port_of(address: str) -> int:
    """Return the port of an address `host:port`."""
    return int(address.rpartition(':')[-1])


async def median_usage(cell: CellProcesses, seconds: float, windows: int) -> Usage:
    """Return the median over consecutive windows of the mean usage of all entries."""
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
    return average_usages(usages, statistics.median)


def mean_usage(usages: Sequence[Usage]) -> Usage:
    """Return the mean of several usages."""
    return average_usages(usages, statistics.fmean)


def average_usages(usages: Sequence[Usage], average: Any) -> Usage:
    """Combine each figure of several usages with the function `average`."""
    purposes = {purpose for usage in usages for purpose in usage.traffic}
    return Usage(
        average([usage.cpu_ms for usage in usages]),
        {
            purpose: average([usage.traffic.get(purpose, 0) for usage in usages])
            for purpose in purposes
        },
        average([usage.segments for usage in usages]),
    )


def usage_rows(title: str, sizes: Sequence[int], usages: Sequence[Usage]) -> Iterator[str]:
    """Yield a row for each measured size."""
    for size, used in zip(sizes, usages, strict=True):
        yield f'{title} {size}: {used.describe()}'
