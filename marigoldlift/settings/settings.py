"""Settings of an entry.

The types and bounds of the fields are the rules by which `loader` checks a file. The names of
sections and options are the names in the file; `_ms` is milliseconds, `_s` is seconds.
"""

from enum import Enum
from typing import Annotated

import msgspec

from marigoldlift.ids import FailureDomain, VmId

__all__ = (
    'JournalSettings',
    'LeaseSettings',
    'LimitSettings',
    'LogLevel',
    'LoggingSettings',
    'MembershipSettings',
    'Settings',
)

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
MAX_RETENTION_MS = 1000 * DAY_MS

#: Shorter intervals cost more than the control overhead allowed per node.
MIN_INTERVAL_MS = 50

#: Shortest leases that allow the renewals that `relations` asks for.
MIN_LEASE_MS = 300
MIN_TASK_LEASE_MS = 600

KIB = 1024
MIB = KIB * KIB
MAX_BYTES = 10 * MIB

MAX_COUNT = 100_000
MAX_BATCH = 10_000
MAX_RETENTION_RECORDS = 1_000_000_000
MAX_FORWARDS = 8

Interval = Annotated[int, msgspec.Meta(ge=MIN_INTERVAL_MS, le=MINUTE_MS)]
LivenessTimeout = Annotated[int, msgspec.Meta(ge=100, le=HOUR_MS)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Size = Annotated[int, msgspec.Meta(ge=KIB, le=MAX_BYTES)]


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the settings and their sections."""


class LeaseSettings(Section, frozen=True, kw_only=True):
    """Leases of workers and tasks.

    Attributes:
        ttl_ms: length of the control lease of a worker.
        renew_ms: time between two renewals.
        task_lease_ms: time after which a worker stops a task that nobody renewed.
    """

    ttl_ms: Annotated[int, msgspec.Meta(ge=MIN_LEASE_MS, le=MINUTE_MS)] = 4000
    renew_ms: Interval = 1000
    task_lease_ms: Annotated[int, msgspec.Meta(ge=MIN_TASK_LEASE_MS, le=HOUR_MS)] = 20_000


class MembershipSettings(Section, frozen=True, kw_only=True):
    """Heartbeats, and the silence after which an entry is avoided and forgotten.

    Attributes:
        heartbeat_ms: time between heartbeats to entries of the own failure domain.
        remote_heartbeat_ms: time between heartbeats to other failure domains.
        suspect_ms: silence after which an entry gets no forwarded work.
        remote_suspect_ms: the same for other failure domains.
        remove_ms: silence after which an entry is removed.
        remote_remove_ms: the same for other failure domains.
    """

    heartbeat_ms: Interval = 500
    remote_heartbeat_ms: Interval = 2000
    suspect_ms: LivenessTimeout = 2000
    remote_suspect_ms: LivenessTimeout = 8000
    remove_ms: LivenessTimeout = 10_000
    remote_remove_ms: LivenessTimeout = 40_000


class JournalSettings(Section, frozen=True, kw_only=True):
    """Appends to the platform's log, and what the log keeps.

    Attributes:
        appends_per_s: appends of one failure domain per second, divided by its live entries.
        max_batch_records: records of one append.
        max_batch_bytes: bytes of one append.
        max_pending_records: records that may wait for an append.
        retention_records: records that the log keeps of a stream.
        retention_ms: time for which the log keeps a record.
        snapshot_records: records after which the state is appended as a snapshot.
    """

    appends_per_s: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 40
    max_batch_records: Annotated[int, msgspec.Meta(ge=1, le=MAX_BATCH)] = 500
    max_batch_bytes: Size = 2 * MIB
    max_pending_records: Count = 10_000
    retention_records: Annotated[int, msgspec.Meta(ge=100, le=MAX_RETENTION_RECORDS)] = 100_000
    retention_ms: Annotated[int, msgspec.Meta(ge=1000, le=MAX_RETENTION_MS)] = DAY_MS
    snapshot_records: Annotated[int, msgspec.Meta(ge=10, le=MAX_RETENTION_RECORDS)] = 20_000


class LimitSettings(Section, frozen=True, kw_only=True):
    """Bounds of what one entry takes on.

    Attributes:
        max_body_bytes: longest body of an HTTP request.
        max_queue: requests of all workspaces and services that may wait.
        max_connections: connections of callers and operators at once.
        max_forwards: times that a request may be forwarded between entries.
        retry_budget_percent: retries per hundred requests.
        drain_ms: time that requests in progress get when the entry stops.
    """

    max_body_bytes: Size = MIB
    max_queue: Count = 5000
    max_connections: Count = 4096
    max_forwards: Annotated[int, msgspec.Meta(ge=0, le=MAX_FORWARDS)] = 2
    retry_budget_percent: Annotated[int, msgspec.Meta(ge=0, le=100)] = 10
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=HOUR_MS)] = 30_000


class LogLevel(Enum):
    """Least severity that is logged."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


class LoggingSettings(Section, frozen=True, kw_only=True):
    """Log lines."""

    level: LogLevel = LogLevel.info


class Settings(Section, frozen=True, kw_only=True):
    """Settings of one entry.

    Attributes:
        vm_id: name of the VM, as in the VM list.
        failure_domain: where the VM is.
        region: region of the failure domain.
        failure_domains: all failure domains of the cell, the same on every entry, since the home
            of a key depends on them.
        rack: rack of the VM.
        http_listen: IP:port for callers and operators; port 0 lets the system choose.
        grpc_listen: IP:port for other entries; port 0 lets the system choose.
        http_advertise: IP:port under which callers reach `http_listen`.
        grpc_advertise: IP:port under which other entries reach `grpc_listen`.
        log_address: IP:port of the platform's log.
        vm_list_address: IP:port of the VM list.
        seeds: gRPC addresses of other entries, used before the VM list has answered.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    region: str
    failure_domains: tuple[FailureDomain, ...]
    rack: str
    http_listen: str
    grpc_listen: str
    http_advertise: str
    grpc_advertise: str
    log_address: str
    vm_list_address: str
    seeds: tuple[str, ...] = ()
    lease: LeaseSettings = LeaseSettings()
    membership: MembershipSettings = MembershipSettings()
    journal: JournalSettings = JournalSettings()
    limits: LimitSettings = LimitSettings()
    logging: LoggingSettings = LoggingSettings()
