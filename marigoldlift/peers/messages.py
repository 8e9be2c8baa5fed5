"""Messages of the gRPC calls between entries."""

from enum import Enum

import msgspec

from marigoldlift.ids import (
    Epoch,
    FailureDomain,
    IdempotencyKey,
    Incarnation,
    JobId,
    Offset,
    StreamId,
    VmId,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.journal.messages import JobSpec
from marigoldlift.platform.messages import LogRecord
from marigoldlift.resources import Resources

__all__ = (
    'CancelRequest',
    'Empty',
    'ExecuteReply',
    'ExecuteRequest',
    'Heartbeat',
    'JobSummary',
    'ListJobsReply',
    'ListJobsRequest',
    'MemberState',
    'QueryReply',
    'QueryRequest',
    'ReadToken',
    'RecordsReply',
    'RecordsRequest',
    'ReleaseReservation',
    'ReplyStatus',
    'ReserveReply',
    'ReserveRequest',
    'ReservedTask',
    'SnapshotReply',
    'SnapshotRequest',
    'SpanRecord',
    'SpansReply',
    'SpansRequest',
    'SubmitRequest',
)


class Empty(msgspec.Struct):
    """Reply without fields."""


class MemberState(Enum):
    """State of an entry as reported in its own heartbeat."""

    starting = 'starting'
    ready = 'ready'
    leaving = 'leaving'


class Heartbeat(msgspec.Struct):
    """Status of an entry; sent as the request and as the reply.

    Attributes:
        address: `host:port` of the gRPC server.
        http_address: `host:port` of the HTTP server.
        applied: last applied offset of each stream.
        configuration_version: offset of the last accepted configuration change.
        free_slots: free request slots on the workers that the entry owns.
        owned_workers: number of workers whose lease the entry holds.
        queue_length: number of queued requests.
        queue_delay_ms: time for which the oldest queued request has waited, in milliseconds.
    """

    vm_id: VmId
    incarnation: Incarnation
    failure_domain: FailureDomain
    state: MemberState
    address: str
    http_address: str
    applied: dict[str, int] = {}
    configuration_version: int = 0
    free_slots: int = 0
    owned_workers: int = 0
    queue_length: int = 0
    queue_delay_ms: float = 0


class ReadToken(msgspec.Struct, frozen=True):
    """Position in a stream that an entry must have applied before it answers a read.

    Gives a caller read-your-writes consistency.
    """

    stream: StreamId
    offset: Offset


class ReplyStatus(Enum):
    """Outcome of a request or submission, as reported to the caller."""

    completed = 'completed'
    failed = 'failed'
    not_run = 'not_run'
    accepted = 'accepted'
    unknown = 'unknown'
    invalid = 'invalid'


class ExecuteRequest(msgspec.Struct):
    """A caller's interactive request, forwarded between entries.

    Attributes:
        attempt: 1 for the first send by the caller, higher for a retry.
        deadline_ms: time left until the deadline, in milliseconds.
        hops: number of times that the request was forwarded.
        queue: whether the receiver queues it, as in the home failure domain; if false, the receiver
            runs a forwarded request at once or refuses it.
        traceparent: W3C trace context of the calling span.
    """

    request_id: str
    workspace: WorkspaceId
    key: IdempotencyKey
    service: str
    payload: str
    attempt: int
    deadline_ms: int
    hops: int = 0
    queue: bool = False
    traceparent: str = ''


class ExecuteReply(msgspec.Struct):
    """Outcome of a request, submission or cancellation, as reported to the caller.

    Attributes:
        code: stable machine-readable name of the reason, empty when completed.
        handle: key id or job id for later reads, empty when nothing was stored durably.
        token: position of the write, for later reads.
        path: path of the invalid field in the input, for `invalid`.
    """

    status: ReplyStatus
    answer: str = ''
    code: str = ''
    reason: str = ''
    handle: str = ''
    token: ReadToken | None = None
    path: str = ''


class SubmitRequest(msgspec.Struct):
    """Submission of a job, forwarded to the job's home failure domain."""

    workspace: WorkspaceId
    key: IdempotencyKey
    spec: JobSpec
    attempt: int
    deadline_ms: int
    hops: int = 0
    traceparent: str = ''


class CancelRequest(msgspec.Struct):
    """Cancellation of a job, forwarded to the job's home failure domain.

    Attributes:
        token: token of the submission, so that an entry whose replica lags does not report the job as
            missing.
    """

    workspace: WorkspaceId
    handle: str
    deadline_ms: int
    hops: int = 0
    traceparent: str = ''
    token: ReadToken | None = None


class QueryRequest(msgspec.Struct):
    """Read of a job or key by its handle.

    Attributes:
        explain: whether to include the reason for which tasks are pending.
    """

    workspace: WorkspaceId
    handle: str
    deadline_ms: int
    token: ReadToken | None = None
    explain: bool = False
    hops: int = 0
    traceparent: str = ''


class QueryReply(msgspec.Struct):
    """Outcome of a read.

    Attributes:
        view: JSON text of the job or key; empty if the read failed.
        code: stable machine-readable name of the error; empty if the read succeeded.
    """

    view: str = ''
    code: str = ''
    reason: str = ''


class ListJobsRequest(msgspec.Struct):
    """Read of the jobs of the peer's failure domain; an empty `workspace` or `state` matches all."""

    workspace: str
    state: str
    limit: int


class JobSummary(msgspec.Struct):
    """Summary of a job for a list of jobs."""

    handle: str
    workspace: WorkspaceId
    kind: str
    state: str
    accepted_ms: int
    tasks: int
    running: int
    ended: int
    priority: int


class ListJobsReply(msgspec.Struct):
    """Jobs of one failure domain, at most `limit` of the request; `truncated` if there are more."""

    jobs: list[JobSummary]
    truncated: bool = False


class ReserveRequest(msgspec.Struct):
    """Request to reserve capacity for tasks of a job on the workers that the receiver owns.

    Attributes:
        count: number of tasks to place; fewer may be granted.
        rack_use: number of tasks of the job that each rack already holds.
        ttl_ms: time after which the reservation expires, in milliseconds.
        avoid: workers that must not be used.
    """

    reservation_id: str
    job_id: JobId
    workspace: WorkspaceId
    resources: Resources
    count: int
    selector: dict[str, str]
    spread: int
    rack_use: dict[str, int]
    ttl_ms: int
    avoid: list[WorkerId] = []


class ReservedTask(msgspec.Struct, frozen=True):
    """Capacity reserved for one task on one worker, under one epoch of the worker's lease."""

    worker_id: WorkerId
    incarnation: Incarnation
    epoch: Epoch
    rack: str


class ReserveReply(msgspec.Struct):
    """Reserved capacity.

    Attributes:
        reserved: one element for each task that was granted capacity.
        feasible: whether a worker of this owner could run a task if it were empty.
    """

    reserved: list[ReservedTask]
    feasible: bool
    reason: str = ''


class ReleaseReservation(msgspec.Struct):
    """Release of the capacity of a reservation that no assignment uses."""

    reservation_id: str


class RecordsRequest(msgspec.Struct):
    """Read of the log records that a peer keeps in memory."""

    stream: StreamId
    first: Offset
    limit: int


class RecordsReply(msgspec.Struct):
    """Records that a peer keeps in memory.

    Attributes:
        oldest: offset of the oldest record in memory.
        next: offset after the newest record in memory; 0 while the peer has not caught up.
    """

    oldest: Offset
    next: Offset
    records: list[LogRecord]


class SnapshotRequest(msgspec.Struct):
    """Read of a peer's snapshot of the complete state of a stream."""

    stream: StreamId


class SnapshotReply(msgspec.Struct):
    """Snapshot of the state as of an offset; offset 0 if the peer has no state to offer."""

    as_of: Offset
    body: bytes


class SpansRequest(msgspec.Struct):
    """Read of the spans of one trace that a peer keeps."""

    trace_id: str


class SpanRecord(msgspec.Struct):
    """One finished span; times are wall clock times in nanoseconds since the epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ns: int
    end_ns: int
    attributes: dict[str, str]


class SpansReply(msgspec.Struct):
    """Spans of one trace."""

    spans: list[SpanRecord]
