"""JSON bodies of the platform's interfaces; unknown fields are ignored when decoding."""

from typing import Annotated, Any

import msgspec

__all__ = (
    'AdviceBody',
    'AdviceReply',
    'AppendReply',
    'CapBody',
    'ConfigurationBody',
    'PollReply',
    'NewestReply',
    'OrderReply',
    'QueueBody',
    'QueueAdviceBody',
    'ServiceBody',
    'StepBody',
    'SubmissionBody',
    'TenantBody',
    'Weight',
    'WorkerBody',
)


#: Largest Unix time that is accepted, in ms: the end of the year 2099.
MAX_UNIX_MS = 4_102_444_800_000

#: Largest reading of a clock and largest duration, in ms; a double represents whole numbers up to here exactly.
MAX_MS = 9_007_199_254_740_992

#: Largest resources of a worker or task: thousandths of a core, MB of memory, and GPUs.
MAX_CPU_M = 10_000_000
MAX_MEM_MB = 1_000_000_000
MAX_GPUS = 10_000

#: Number of workers up to which a cap over all of them is checked.
MAX_WORKERS = 100_000

#: Longest name of a service or failure domain of a worker, in characters; the latter is part of a record.
MAX_NAME_CHARS = 1024

#: Largest count in a submission: tasks of a step, occurrences, and limits on tasks.
MAX_COUNT = 1_000_000

CpuThousandths = Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU_M)]
Megabytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEM_MB)]
GpuCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_GPUS)]
TotalCpuThousandths = Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU_M * MAX_WORKERS)]
TotalMegabytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEM_MB * MAX_WORKERS)]
TotalGpuCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_GPUS * MAX_WORKERS)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
ClockMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
ShortName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
RemainingMs = Annotated[float, msgspec.Meta(ge=-MAX_MS, le=MAX_MS)]


class CapacityBody(msgspec.Struct):
    """Capacity of a worker: processor in thousandths of a core, memory in MB, and GPUs."""

    cpu: CpuThousandths
    mem_mb: Megabytes
    gpu: GpuCount = 0


class WorkerBody(msgspec.Struct):
    """A worker's own entry in the registry.

    Attributes:
        addr: address of the worker.
        zone: failure domain of the worker.
        state: `ready` or `draining`; entries with other states are skipped.
        born: Unix time of the start of this incarnation, in ms.
        remaining_ms: least time left while the worker drains, None if it is unknown.
    """

    service: ShortName
    addr: str
    zone: ShortName
    state: str
    capacity: CapacityBody
    labels: list[str] = []
    born: UnixMs = 0
    clock_ms: ClockMs = 0
    remaining_ms: RemainingMs | None = None


class QueueAdviceBody(msgspec.Struct):
    """Cost and validity of calls to the advice, in ms."""

    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class QueueBody(msgspec.Struct):
    """A queue, called a route on the wire."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 3000
    target_latency_ms: float = 0
    max_attempts: int = 1
    priority: int = 0
    stretch: float = 1
    advice: QueueAdviceBody | None = None
    anonymous: bool = False


class ServiceBody(msgspec.Struct):
    """A pool of workers."""

    name: str
    standby: bool = False
    health_path: str = ''


class LimitsBody(msgspec.Struct):
    """Limits for requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class CapBody(msgspec.Struct):
    """What a workspace may have running over all workers; 0 stands for no limit."""

    cpu: TotalCpuThousandths = 0
    mem_mb: TotalMegabytes = 0
    gpu: TotalGpuCount = 0


class TenantBody(msgspec.Struct):
    """A workspace, called a tenant on the wire.

    Keys, weight and cap are decoded by themselves, so that one that is malformed leaves the others in force.

    Attributes:
        api_keys: keys that its callers use.
        weight: its share when all is full, in submissions a second: a `Weight`.
        cap: what it may have running, a `CapBody`.
    """

    name: str
    api_keys: list[msgspec.Raw] = []
    weight: msgspec.Raw = msgspec.Raw(b'0')
    cap: msgspec.Raw = msgspec.Raw(b'{}')


class ConfigurationBody(msgspec.Struct):
    """One whole version of the configuration; `routes` are queues.

    Attributes:
        tenants: entries of workspaces, each decoded by itself; None where the deployment has none.
    """

    version: int
    routes: list[QueueBody] = []
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)
    tenants: list[msgspec.Raw] | None = None


class StepBody(msgspec.Struct):
    """A step of a submission, called a phase on the wire."""

    count: Count = 1
    cpu: CpuThousandths = 0
    mem_mb: Megabytes = 0
    gpu: GpuCount = 0
    est_ms: DurationMs = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    data_rack: str = ''
    anti_affinity: Count = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    fills: bool = False
    may_miss: Count = 0


class SubmissionBody(msgspec.Struct):
    """Body of a submission; `phases` are its steps."""

    spec: str = ''
    phases: list[StepBody] = []
    start_at_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0
    repeat_count: Count = 0
    interval_ms: DurationMs = 0


class OrderReply(msgspec.Struct):
    """Answer of a worker to an order; `reason` is set if the worker refused it."""

    clock_ms: ClockMs = 0
    reason: str = ''


class PollReply(msgspec.Struct):
    """Answer of a worker to a status poll; rows that cannot be read are skipped when it is converted.

    Attributes:
        clock_ms: time of the worker's clock, in ms.
        born: Unix time of the start of this incarnation, in ms.
        running: rows of the runs on the worker.
        finished: rows of the runs that have ended.
        remaining_ms: least time left while the worker drains, None if it is unknown.
    """

    clock_ms: ClockMs = 0
    born: UnixMs = 0
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    remaining_ms: RemainingMs | None = None


class AdviceBody(msgspec.Struct):
    """Request to the placement advice: which of the workers may run a step."""

    step: str
    workers: list[str]


class AdviceReply(msgspec.Struct):
    """Answer of the placement advice: rows of worker id and ticket."""

    allowed: list[tuple[str, str]] = []


class AppendReply(msgspec.Struct):
    """Answer to an append.

    Attributes:
        offset: offset of the first record.
        end: offset after the last record of the topic.
        reason: why the append was refused.
        seq: sequence number that the store expects, used if `expected` is missing.
        expected: sequence number that the store expects.
    """

    offset: int = 0
    end: int = 0
    reason: str = ''
    seq: int | None = None
    expected: int | None = None


class NewestItem(msgspec.Struct):
    """Newest record of a key; the value is in base64."""

    key: str
    offset: int
    value: str = ''


class NewestReply(msgspec.Struct):
    """One page of the newest records; `more` says that further pages follow."""

    items: list[NewestItem] = []
    more: bool = False
    end: int = 0
