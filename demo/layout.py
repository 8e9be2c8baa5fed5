"""Layout of a small cell, and the settings of its processes."""

from collections.abc import Mapping
from typing import Any

import msgspec

__all__ = ('CellLayout', 'entry_settings', 'vm_list', 'worker_fleet')

LOOPBACK_ANY_PORT = '127.0.0.1:0'
#: Connections that a worker accepts at once.
CONNECTIONS = 64


class CellLayout(msgspec.Struct):
    """Scaled-down version of the cells in use today.

    Attributes:
        entries: entry VMs in each failure domain.
        workers: workers in each failure domain.
        workers_in_rack: workers in each rack.
        cpu_milli: capacity of each worker in thousandths of a CPU.
        memory_mb: capacity of each worker in megabytes.
        accelerators: accelerators of each worker.
        slots: slots of each worker.
        retain_records: number of records that the log retains for each stream.
        log_addresses: address of the log by VM id, for entries that reach the log through a proxy.
        settings: settings of all entries that differ from the defaults.
        worker_settings: settings of all workers that differ from the defaults.
    """

    failure_domains: tuple[str, ...] = ('recife', 'fortaleza', 'salvador')
    entries: int = 2
    workers: int = 4
    workers_in_rack: int = 2
    cpu_milli: int = 32_000
    memory_mb: int = 64_000
    accelerators: int = 0
    slots: int = 8
    retain_records: int = 100_000
    log_addresses: dict[str, str] = {}
    settings: dict[str, Any] = {}
    worker_settings: dict[str, Any] = {}

    def entry_ids(self) -> list[str]:
        """Return the ids of all entry VMs."""
        return [
            f'entry-{domain}-{number}'
            for domain in self.failure_domains
            for number in range(self.entries)
        ]

    def worker_ids(self, domain: str) -> list[str]:
        """Return the ids of the workers of a failure domain."""
        return [f'worker-{domain}-{number}' for number in range(self.workers)]

    def domain_of(self, vm_id: str) -> str:
        """Return the failure domain of a VM."""
        return vm_id.split('-')[1]

    def capacity(self) -> dict[str, int]:
        """Return the capacity of each worker, by dimension."""
        return {
            'cpu_milli': self.cpu_milli,
            'memory_mb': self.memory_mb,
            'accelerators': self.accelerators,
            'slots': self.slots,
        }

    def rack_of(self, worker_id: str) -> str:
        """Return the rack of a worker."""
        _, domain, number = worker_id.split('-')
        return f'{domain}-r{int(number) // self.workers_in_rack}'


def worker_fleet(layout: CellLayout, domain: str) -> dict[str, Any]:
    """Return the settings of the worker stand-in for one failure domain."""
    return {
        'workers': [
            {
                'worker_id': worker_id,
                'capacity': layout.capacity(),
                'connections': CONNECTIONS,
                **layout.worker_settings,
            }
            for worker_id in layout.worker_ids(domain)
        ],
    }


def entry_settings(
    layout: CellLayout,
    vm_id: str,
    log_address: str,
    vm_list_address: str,
) -> dict[str, Any]:
    """Return the settings of an entry."""
    domain = layout.domain_of(vm_id)
    return {
        'vm_id': vm_id,
        'failure_domain': domain,
        'region': 'region-1',
        'failure_domains': list(layout.failure_domains),
        'rack': f'{domain}-entries',
        'http_listen': LOOPBACK_ANY_PORT,
        'grpc_listen': LOOPBACK_ANY_PORT,
        'log_address': layout.log_addresses.get(vm_id, log_address),
        'vm_list_address': vm_list_address,
        **layout.settings,
    }


def vm_list(
    layout: CellLayout,
    workers: Mapping[str, str],
    entries: Mapping[str, tuple[str, str]],
) -> dict[str, Any]:
    """Return the VM list.

    Args:
        layout: layout of the cell.
        workers: addresses of the workers by worker id.
        entries: gRPC address and HTTP address of each entry by VM id.
    """
    vms = [
        {
            'vm_id': worker_id,
            'role': 'worker',
            'failure_domain': layout.domain_of(worker_id),
            'rack': layout.rack_of(worker_id),
            'address': address,
            'capacity': layout.capacity(),
            'connections': CONNECTIONS,
        }
        for worker_id, address in workers.items()
    ]
    vms.extend(
        {
            'vm_id': vm_id,
            'role': 'entry',
            'failure_domain': layout.domain_of(vm_id),
            'rack': f'{layout.domain_of(vm_id)}-entries',
            'address': grpc,
            'http_address': http,
        }
        for vm_id, (grpc, http) in entries.items()
    )
    return {'version': 1, 'vms': vms}
