"""Settings of an entry.

`loader` validates a file by the types and bounds of the fields. The names of sections and options
are the names in the file. The suffix `_ms` means milliseconds; `_per_s` means per second.
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

#: Shorter intervals would exceed the control overhead allowed per node.
MIN_INTERVAL_MS = 50

#: Shortest leases for which the renewals required by `relations` are possible.
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
    """Durations of the leases of workers and tasks.

    Attributes:
        ttl_ms: duration of the control lease of a worker.
        renew_ms: interval between renewals.
        task_lease_ms: time without renewal after which a worker stops a task.
    """

    ttl_ms: Annotated[int, msgspec.Meta(ge=MIN_LEASE_MS, le=MINUTE_MS)] = 4000
    renew_ms: Interval = 1000
    task_lease_ms: Annotated[int, msgspec.Meta(ge=MIN_TASK_LEASE_MS, le=HOUR_MS)] = 20_000


class MembershipSettings(Section, frozen=True, kw_only=True):
    """Heartbeat intervals, and the timeouts after which an entry is suspected and removed.

    Attributes:
        heartbeat_ms: interval of heartbeats to entries of the same failure domain.
        remote_heartbeat_ms: interval of heartbeats to entries of other failure domains.
        suspect_ms: time without heartbeat after which no work is forwarded to an entry.
        remote_suspect_ms: the same for other failure domains.
        remove_ms: time without heartbeat after which an entry is removed.
        remote_remove_ms: the same for other failure domains.
    """

    heartbeat_ms: Interval = 500
    remote_heartbeat_ms: Interval = 2000
    suspect_ms: LivenessTimeout = 2000
    remote_suspect_ms: LivenessTimeout = 8000
    remove_ms: LivenessTimeout = 10_000
    remote_remove_ms: LivenessTimeout = 40_000


class JournalSettings(Section, frozen=True, kw_only=True):
    """Limits of appends to the platform's log, and retention of the log.

    Attributes:
        appends_per_s: appends per second of one failure domain, shared by its live entries.
        max_batch_records: maximum records of one append.
        max_batch_bytes: maximum bytes of one append.
        max_pending_records: maximum records that wait to be appended.
        retention_records: number of records that the log retains per stream.
        retention_ms: time for which the log retains a record.
        snapshot_records: number of records after which a snapshot of the state is appended.
    """

    appends_per_s: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 40
    max_batch_records: Annotated[int, msgspec.Meta(ge=1, le=MAX_BATCH)] = 500
    max_batch_bytes: Size = 2 * MIB
    max_pending_records: Count = 10_000
    retention_records: Annotated[int, msgspec.Meta(ge=100, le=MAX_RETENTION_RECORDS)] = 100_000
    retention_ms: Annotated[int, msgspec.Meta(ge=1000, le=MAX_RETENTION_MS)] = DAY_MS
    snapshot_records: Annotated[int, msgspec.Meta(ge=10, le=MAX_RETENTION_RECORDS)] = 20_000


class LimitSettings(Section, frozen=True, kw_only=True):
    """Limits on the load of one entry.

    Attributes:
        max_body_bytes: maximum body size of an HTTP request.
        max_queue: maximum queued requests of all workspaces and services.
        max_connections: maximum concurrent connections of callers and operators.
        max_forwards: maximum number of times a request is forwarded between entries.
        retry_budget_percent: maximum retries per hundred requests.
        drain_ms: time allowed for requests in progress to complete when the entry stops.
    """

    max_body_bytes: Size = MIB
    max_queue: Count = 5000
    max_connections: Count = 4096
    max_forwards: Annotated[int, msgspec.Meta(ge=0, le=MAX_FORWARDS)] = 2
    retry_budget_percent: Annotated[int, msgspec.Meta(ge=0, le=100)] = 10
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=HOUR_MS)] = 30_000


class LogLevel(Enum):
    """Minimum severity of logged messages."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


class LoggingSettings(Section, frozen=True, kw_only=True):
    """Settings of the log lines.

    Attributes:
        level: minimum severity of logged messages.
    """

    level: LogLevel = LogLevel.info


class Settings(Section, frozen=True, kw_only=True):
    """Settings of one entry.

    Attributes:
        vm_id: name of the VM, as in the VM list.
        failure_domain: failure domain of the VM.
        region: region of the failure domain.
        failure_domains: all failure domains of the cell; must be the same on every entry, because
            the home of a key depends on them.
        rack: rack of the VM.
        http_listen: IP:port to listen on for callers and operators; with port 0 the operating
            system chooses a port.
        grpc_listen: IP:port to listen on for other entries; port 0 as above.
        http_advertise: IP:port under which callers reach `http_listen`.
        grpc_advertise: IP:port under which other entries reach `grpc_listen`.
        log_address: IP:port of the platform's log.
        vm_list_address: IP:port of the VM list.
        seeds: gRPC addresses of other entries, used until the VM list has answered.
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
