"""Settings, injected faults, statistics and journal entries of the stand-ins.

The messages that the product exchanges with the platform are defined in
`marigoldlift.platform.messages`.
"""

from enum import Enum

import msgspec

from marigoldlift.ids import Epoch, Incarnation, TaskId, VmId, WorkspaceId
from marigoldlift.platform.messages import VmDescription, VmState
from marigoldlift.resources import Resources

__all__ = (
    'CheckpointTask',
    'CheckpointResult',
    'JournalEntry',
    'JournalKind',
    'ProxySettings',
    'RouteMode',
    'RouteSettings',
    'RouteView',
    'LogFaults',
    'LogSettings',
    'LogStats',
    'Refusal',
    'StreamStats',
    'ThrottleTask',
    'Violations',
    'VmFaults',
    'VmSettings',
    'VmStateChange',
    'WorkerFaults',
    'WorkerFleetSettings',
    'WorkerSettings',
)


class Refusal(msgspec.Struct):
    """Body of the answer to a refused call."""

    code: str
    reason: str


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the log.

    Attributes:
        port: port to listen on; 0 for a free port chosen by the OS.
        retain_records: maximum number of records retained in each stream.
        retain_s: age in seconds after which a record is dropped.
        appends_per_s: maximum number of appends in any second, across all streams.
    """

    port: int = 0
    retain_records: int = 100_000
    retain_s: float = 86_400
    appends_per_s: int = 400


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults and limits of the log.

    Attributes:
        outage: whether the connection of every read and append is closed without an answer.
        append_delay_ms: delay in milliseconds before an append takes effect.
        read_delay_ms: delay in milliseconds before a read is executed.
        lose_append_answers: number of next appends that take effect but get no answer.
        retain_records: maximum number of records retained in each stream.
        retain_s: age in seconds after which a record is dropped.
        appends_per_s: maximum number of appends in any second, across all streams.
    """

    retain_records: int
    retain_s: float
    appends_per_s: int
    outage: bool = False
    append_delay_ms: int = 0
    read_delay_ms: int = 0
    lose_append_answers: int = 0


class StreamStats(msgspec.Struct):
    """Totals of one stream since the start, including records dropped by retention.

    Attributes:
        size_bytes: total size of all payloads, `bytes` on the wire.
    """

    appends: int = 0
    records: int = 0
    size_bytes: int = msgspec.field(default=0, name='bytes')


class LogStats(msgspec.Struct):
    """Totals of the log since the start.

    Attributes:
        refused: number of appends refused by the rate limit.
        lost_answers: number of answers dropped by `lose_append_answers`.
        reads: number of reads that were answered.
        waiting: number of appends currently held back by the injected delay.
    """

    refused: int = 0
    lost_answers: int = 0
    reads: int = 0
    waiting: int = 0
    streams: dict[str, StreamStats] = {}


class VmSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the VM list.

    Attributes:
        port: port to listen on; 0 for a free port chosen by the OS.
        lag_ms: time in milliseconds until a change becomes visible.
        vms: the initial list, visible at once.
    """

    port: int = 0
    lag_ms: int = 0
    vms: list[VmDescription] = []


class VmFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults of the VM list.

    Attributes:
        outage: whether the connection of every read is closed without an answer; changes are still accepted.
        lag_ms: time in milliseconds until a change made from now on becomes visible.
        empty: whether readers get a list without any VM.
    """

    outage: bool = False
    lag_ms: int = 0
    empty: bool = False


class VmStateChange(msgspec.Struct, forbid_unknown_fields=True):
    """New state of one VM."""

    state: VmState


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one worker.

    Attributes:
        capacity: total resources of the worker.
        connections: limit of simultaneous connections; exceeding it is counted as a violation, not refused.
        port: port to listen on; 0 for a free port chosen by the OS.
        task_lease_s: time in seconds after the last extension of the task leases at which tasks are stopped.
        keep_results_s: time in seconds for which an unacknowledged result is kept.
        usage_lag_s: lag in seconds of the reported usage.
    """

    worker_id: VmId
    capacity: Resources
    connections: int
    port: int = 0
    task_lease_s: float = 20
    keep_results_s: float = 900
    usage_lag_s: float = 5


class WorkerFleetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a process that runs many workers."""

    workers: list[WorkerSettings]


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults of one worker.

    Attributes:
        fail_everything: whether every task or request fails as soon as it starts.
        leaving: whether new work is refused and lease answers report the worker as leaving.
        restart: restart the worker once; reset to false afterwards.
        hang_ms: delay in milliseconds before a call of the worker API is executed.
        drop_answers: number of next calls that take effect but get no answer.
        drop_path: path of the calls that `drop_answers` applies to; empty for every path.
    """

    fail_everything: bool = False
    leaving: bool = False
    restart: bool = False
    hang_ms: int = 0
    drop_answers: int = 0
    drop_path: str = ''


class CheckpointTask(msgspec.Struct):
    """Request to checkpoint a running task."""

    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId


class CheckpointResult(msgspec.Struct):
    """Run time of a task at its checkpoint, in milliseconds."""

    progress_ms: int


class ThrottleTask(msgspec.Struct):
    """Request to limit the CPU of a running task, in thousandths of a core."""

    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId
    cpu_milli: int


class JournalKind(Enum):
    """Kind of event in the journal of a worker."""

    claim = 'claim'
    release = 'release'
    start = 'start'
    end = 'end'
    stop = 'stop'
    stop_ignored = 'stop_ignored'
    lapse = 'lapse'
    killed = 'killed'
    refusal = 'refusal'
    restart = 'restart'
    checkpoint = 'checkpoint'
    throttle = 'throttle'
    over_allocation = 'over_allocation'
    over_connection = 'over_connection'


class JournalEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event in the journal of a worker.

    Attributes:
        at_s: time in seconds by the machine's monotonic clock, which all stand-ins share. The end of
            a task has the time at which it was due, even if the process handled it later.
        epoch: epoch of the control lease at that time; if a command was refused, the epoch that the
            command carries.
        detail: depends on the kind, for example the holder, state and result, the reason of a refusal,
            the exceeded dimension, or the CPU limit.
    """

    at_s: float
    kind: JournalKind
    worker_id: VmId
    incarnation: Incarnation
    epoch: Epoch
    task_id: TaskId = TaskId('')
    workspace: WorkspaceId = WorkspaceId('')
    resources: Resources = Resources()
    code: str = ''
    detail: str = ''


class Violations(msgspec.Struct):
    """Number of starts and connections that exceeded the capacity of the worker, by dimension."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0


class RouteMode(Enum):
    """Handling of connections and bytes by a route.

    Attributes:
        pass_through: bytes are delivered in both directions.
        cut: connections are closed, new ones are refused.
        freeze: connections are accepted, and bytes are held in both directions and delivered later.
        half_open: bytes to the server are delivered, those to the client are discarded.
        to_server_only: bytes to the server are delivered, those to the client are held and delivered later.
        to_client_only: bytes to the client are delivered, those to the server are held and delivered later.
    """

    pass_through = 'pass'
    cut = 'cut'
    freeze = 'freeze'
    half_open = 'half_open'
    to_server_only = 'to_server_only'
    to_client_only = 'to_client_only'


class RouteSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one route.

    Attributes:
        target: `host:port` of the server, on loopback.
        port: port to listen on; 0 for a free port chosen by the OS.
        delay_ms: delay in milliseconds of the bytes in each direction.
    """

    target: str
    port: int = 0
    mode: RouteMode = RouteMode.pass_through
    delay_ms: float = 0


class RouteView(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a route that can be changed while it runs.

    Attributes:
        target: `host:port` of the server for connections made from now on.
        delay_ms: delay in milliseconds of the bytes received from now on, in each direction.
    """

    target: str
    mode: RouteMode
    delay_ms: float


class ProxySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the proxy.

    Attributes:
        routes: routes by name; the name `control` is reserved.
        port: port of the HTTP control API; 0 for a free port chosen by the OS.
    """

    routes: dict[str, RouteSettings]
    port: int = 0
