"""Messages between an entry and the platform: log, VM list and workers."""

from enum import Enum

import msgspec

from marigoldlift.ids import (
    Epoch,
    FailureDomain,
    Incarnation,
    Offset,
    TaskId,
    VmId,
    WorkspaceId,
)
from marigoldlift.resources import Resources

__all__ = (
    'AppendRequest',
    'AppendResult',
    'LeaseAction',
    'LeaseGrant',
    'LeaseRequest',
    'LogRecord',
    'RecordPage',
    'RequestResult',
    'RunRequest',
    'StartTask',
    'StopTask',
    'TaskEvent',
    'TaskInventory',
    'TaskState',
    'VmDescription',
    'VmRole',
    'VmSnapshot',
    'VmState',
)


class AppendRequest(msgspec.Struct):
    """Body of an append.

    Attributes:
        producer: incarnation of the writer.
        sequence: number of the batch; it increases with each batch of a producer in a stream.
        payloads: encoded records.
    """

    producer: str
    sequence: int
    payloads: list[bytes]


class AppendResult(msgspec.Struct):
    """Offset of the batch's first record, and the offset that the next appended record will get."""

    first_offset: Offset
    next_offset: Offset


class LogRecord(msgspec.Struct):
    """One record as the log stores it."""

    offset: Offset
    producer: str
    sequence: int
    payload: bytes


class RecordPage(msgspec.Struct):
    """Consecutive records, the oldest offset that the log still keeps, and the next offset of the stream."""

    oldest: Offset
    next: Offset
    records: list[LogRecord]


class VmRole(Enum):
    """Role of a VM."""

    entry = 'entry'
    worker = 'worker'


class VmState(Enum):
    """State of a VM according to the list."""

    live = 'live'
    leaving = 'leaving'


class VmDescription(msgspec.Struct, frozen=True):
    """One VM of the list.

    Attributes:
        address: `host:port` of its HTTP (worker) or gRPC (entry) server.
        capacity: all resources of a worker; zero for an entry.
        connections: largest number of concurrent connections to a worker.
        http_address: `host:port` of an entry's HTTP server, empty for a worker.
    """

    vm_id: VmId
    role: VmRole
    failure_domain: FailureDomain
    rack: str
    address: str
    state: VmState = VmState.live
    labels: dict[str, str] = {}
    capacity: Resources = Resources()
    connections: int = 0
    http_address: str = ''


class VmSnapshot(msgspec.Struct):
    """The whole list with its version."""

    version: int
    vms: list[VmDescription]


class LeaseAction(Enum):
    """Action on the control lease of a worker."""

    claim = 'claim'
    renew = 'renew'
    release = 'release'


class LeaseRequest(msgspec.Struct):
    """Claim, renewal or release of a worker's control lease.

    Attributes:
        holder: VM id and incarnation of the entry.
        incarnation: the worker's incarnation; empty for a claim.
        epoch: epoch of the lease; 0 for a claim.
        ttl_ms: length of the lease in milliseconds, measured by the worker's clock.
        acknowledged: sequence of the last task event that the holder has stored.
        want_inventory: whether a renewal should return the inventory too. While the epoch is unchanged, the
            inventory proves that a task is on the worker, but not that a command in transit will not arrive later.
    """

    action: LeaseAction
    holder: str
    incarnation: Incarnation
    epoch: Epoch
    ttl_ms: int
    acknowledged: int = 0
    want_inventory: bool = False


class TaskState(Enum):
    """State of a task on a worker."""

    running = 'running'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'


class TaskInventory(msgspec.Struct):
    """A task or request that a worker runs, or that has ended and is still kept by the worker."""

    task_id: TaskId
    workspace: WorkspaceId
    resources: Resources
    state: TaskState
    result: str = ''


class TaskEvent(msgspec.Struct):
    """End of a task, kept by the worker until it is acknowledged."""

    sequence: int
    task_id: TaskId
    state: TaskState
    result: str = ''


class LeaseGrant(msgspec.Struct):
    """Answer to a lease request.

    Attributes:
        granted: whether the requester holds the lease now.
        holder: current holder of the lease, empty if there is none.
        remaining_ms: time until the lease expires, by the worker's clock.
        leaving: whether the worker is about to leave; it then starts nothing new.
        inventory: all running tasks, and the ended ones that the worker still keeps; sent with a granted claim
            and with a renewal that requests it.
        events: ends of tasks after `acknowledged`; sent with a granted renewal.
        usage: measured usage, which lags behind.
    """

    granted: bool
    holder: str
    incarnation: Incarnation
    epoch: Epoch
    remaining_ms: int = 0
    leaving: bool = False
    inventory: list[TaskInventory] = []
    events: list[TaskEvent] = []
    usage: Resources = Resources()


class StartTask(msgspec.Struct):
    """Command to start a task that outlives the call.

    Attributes:
        run_ms: declared run time in milliseconds; 0 for a service.
        payload: description of the work, opaque to the scheduler.
    """

    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId
    workspace: WorkspaceId
    resources: Resources
    run_ms: int
    payload: str


class StopTask(msgspec.Struct):
    """Command to stop a running task."""

    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId


class RunRequest(msgspec.Struct):
    """Command to run one request to its end.

    Attributes:
        deadline_ms: time left until the caller's deadline, in milliseconds.
        retain: whether the worker keeps the result for the inventory and reports it as an event until acknowledged.
        traceparent: W3C trace context of the calling span.
    """

    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId
    workspace: WorkspaceId
    resources: Resources
    payload: str
    deadline_ms: int
    retain: bool = False
    traceparent: str = ''


class RequestResult(msgspec.Struct):
    """Final state of a request on the worker, with its whole answer."""

    state: TaskState
    result: str
