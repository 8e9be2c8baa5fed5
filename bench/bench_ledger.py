"""In-process cost of the scans over all workers of a domain: heartbeats and refresh."""

import asyncio
import time
from collections.abc import Callable, Iterator
from functools import partial

import msgspec

from bench.fit import fit_line
from bench.output import print_rows
from bench.prefill import listed_vm
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.ids import FailureDomain, VmId
from marigoldlift.membership.liveness import LivenessLimits
from marigoldlift.membership.table import MemberTable
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.ownership.service import OwnershipService
from marigoldlift.ownership.session import LeaseTimes
from marigoldlift.platform.messages import VmDescription, VmSnapshot
from marigoldlift.util import loop_now

__all__ = ('run',)

MS_PER_S = 1000
DOMAIN = FailureDomain('salvador')

#: Workers of the domain.
WORKERS = (240, 480, 963)

#: Every eighth worker is owned.
OWNED_SHARE = 8

#: Lease that does not expire during the benchmark, in seconds.
LEASE_S = 3600
CALLS = 100
REPEATS = 5


def vms(count: int) -> list[VmDescription]:
    """Return descriptions of workers as the VM list has them."""
    return [msgspec.convert(listed_vm(number), VmDescription) for number in range(count)]


def make_service(count: int) -> OwnershipService:
    """Return the ownership service of a domain; no session renews its leases."""
    ledger = WorkerLedger(loop_now)
    service = OwnershipService(
        'bench',
        DOMAIN,
        ledger,
        Reservations(ledger, loop_now),
        MemberTable(VmId('bench'), DOMAIN, LivenessLimits()),
        ConfigurationState(),
        no_worker_api,
        LeaseTimes(),
    )
    service.start_sessions = start_no_sessions
    service.take_list(VmSnapshot(1, vms(count)))
    service.refresh()
    for number, worker in enumerate(ledger.workers.values()):
        if number % OWNED_SHARE == 0:
            worker.until_s = loop_now() + LEASE_S
            ledger.refresh(worker)
    return service


def no_worker_api(vm: VmDescription) -> None:
    """Return no worker API, since no worker is called."""


def start_no_sessions() -> None:
    """Start no session, since no worker listens."""


def cost_ms(call: Callable[[], object]) -> float:
    """Return the processor time of a call in milliseconds, the minimum of `REPEATS` repetitions."""
    costs = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(CALLS):
            call()
        costs.append((time.process_time() - started_s) / CALLS)
    return min(costs) * MS_PER_S


def heartbeat_scan(ledger: WorkerLedger) -> None:
    """Compute the ledger sums that each heartbeat contains."""
    ledger.free_slots()
    len(ledger.owned_ids())


async def measure_rows() -> list[str]:
    """Measure and return the rows."""
    return list(all_rows())


def all_rows() -> Iterator[str]:
    """Yield the fitted lines of processor time against the number of workers."""
    services = [make_service(count) for count in WORKERS]
    scans = [cost_ms(partial(heartbeat_scan, each.ledger)) for each in services]
    yield f'scan for one heartbeat: {fit_line(WORKERS, scans).describe("ms", "worker")}'
    refreshes = [cost_ms(each.refresh) for each in services]
    yield f'refresh of the ownership: {fit_line(WORKERS, refreshes).describe("ms", "worker")}'


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; nothing is random, so the seed is not used."""
    return asyncio.run(measure_rows())


def main() -> None:
    """Print the rows."""
    print_rows('bench_ledger', run)


if __name__ == '__main__':
    main()
