"""Bodies of the platform's interfaces, decoded once; unknown fields are ignored."""

from typing import Any

import msgspec

__all__ = (
    'AdviceBody',
    'AdviceReply',
    'AppendReply',
    'ConfigurationBody',
    'PollReply',
    'NewestReply',
    'OrderReply',
    'QueueBody',
    'QueueAdviceBody',
    'ServiceBody',
    'StepBody',
    'SubmissionBody',
    'WorkerBody',
)


class CapacityBody(msgspec.Struct):
    """Room of a worker."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WorkerBody(msgspec.Struct):
    """A worker's report about itself."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: CapacityBody = msgspec.field(default_factory=CapacityBody)
    labels: list[str] = []
    born: int = 0
    clock_ms: float = 0
    remaining_ms: float | None = None


class QueueAdviceBody(msgspec.Struct):
    """Cost and validity of calls to the advice, in ms."""

    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class QueueBody(msgspec.Struct):
    """A route, which is a queue."""

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


class ServiceBody(msgspec.Struct):
    """A pool of workers."""

    name: str
    standby: bool = False
    health_path: str = ''


class LimitsBody(msgspec.Struct):
    """Bounds of requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class ConfigurationBody(msgspec.Struct):
    """The newest configuration in full."""

    version: int
    routes: list[QueueBody] = []
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class StepBody(msgspec.Struct):
    """A step of a submission; `phases` on the wire."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    data_rack: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    fills: bool = False
    may_miss: int = 0


class SubmissionBody(msgspec.Struct):
    """What a client submits."""

    spec: str = ''
    phases: list[StepBody] = []
    start_at_ms: float = 0
    repeat_count: int = 0
    interval_ms: float = 0


class OrderReply(msgspec.Struct):
    """Answer of a worker to an order; `reason` is there when it refused."""

    clock_ms: float = 0
    reason: str = ''


class PollReply(msgspec.Struct):
    """What a worker lists; rows that cannot be read are left out."""

    clock_ms: float = 0
    born: int = 0
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    remaining_ms: float | None = None


class AdviceBody(msgspec.Struct):
    """A question to the advice."""

    step: str
    workers: list[str]


class AdviceReply(msgspec.Struct):
    """Rows of worker and ticket."""

    allowed: list[tuple[str, str]] = []


class AppendReply(msgspec.Struct):
    """Answer to an append: `offset` of the first record, or why it was refused."""

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
    """One page of the newest records."""

    items: list[NewestItem] = []
    more: bool = False
    end: int = 0
