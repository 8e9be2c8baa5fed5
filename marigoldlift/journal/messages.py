"""Records that entries write to the streams of the platform's log.

A record asks for a change of state. Every reader accepts or rejects it by log order alone, with
the same pure function, so all readers agree without talking to each other. A field `at_ms` is the
writer's wall clock in milliseconds; readers use it only to forget old outcomes.
"""

from enum import Enum

import msgspec

from marigoldlift.ids import (
    Epoch,
    IdempotencyKey,
    Incarnation,
    JobId,
    KeyId,
    Offset,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.resources import Resources

__all__ = (
    'Assignment',
    'ConfigurationChanged',
    'DomainRecord',
    'JobAccepted',
    'JobCancelled',
    'JobKind',
    'JobSpec',
    'KeyClaimed',
    'KeyClosed',
    'KeyStatus',
    'ObjectChange',
    'ObjectKind',
    'Record',
    'SnapshotChunk',
    'PreemptedTask',
    'TaskFinished',
    'TaskOutcome',
    'TaskReleased',
    'TasksAssigned',
    'TasksPreempted',
    'decode_record',
    'encode_record',
)


class JobKind(Enum):
    """How the tasks of a job are started."""

    batch = 'batch'
    gang = 'gang'
    service = 'service'


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller asks for.

    Attributes:
        tasks: number of equal tasks, at least 1.
        resources: needs of each task.
        run_ms: declared run time of a task in milliseconds; 0 for a service.
        selector: labels that a worker must have; `failure_domain` and `rack` are labels too.
        spread: place at most this many tasks in one rack; 0 for no limit.
        priority: larger starts first; 100 and more is urgent.
        finish_by_ms: wall-clock time in milliseconds by which all tasks should end; 0 for none.
        max_attempts: starts of one task before the job fails.
        payload: what to run, opaque to the scheduler.
        labels: labels of the unit of work, matched by policies.
    """

    kind: JobKind
    tasks: int
    resources: Resources
    run_ms: int = 0
    selector: dict[str, str] = {}
    spread: int = 0
    priority: int = 0
    finish_by_ms: int = 0
    max_attempts: int = 3
    payload: str = ''
    labels: dict[str, str] = {}


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """A job to be kept; the first record of a job id wins."""

    job_id: JobId
    workspace: WorkspaceId
    key: IdempotencyKey
    spec: JobSpec
    accepted_ms: int


class Assignment(msgspec.Struct, frozen=True):
    """One attempt of one task on one worker under one epoch."""

    task_index: int
    attempt: int
    worker_id: WorkerId
    incarnation: Incarnation
    epoch: Epoch


class TasksAssigned(msgspec.Struct, frozen=True, tag=True):
    """Attempts to start; accepted whole or not at all.

    Attributes:
        limit: most resources that the workspace may hold in this failure domain; None for any.
    """

    job_id: JobId
    assignments: tuple[Assignment, ...]
    limit: Resources | None = None


class TaskReleased(msgspec.Struct, frozen=True, tag=True):
    """An attempt that surely does not run any more and did not end by itself."""

    at_ms: int
    job_id: JobId
    task_index: int
    attempt: int
    reason: str


class PreemptedTask(msgspec.Struct, frozen=True):
    """One attempt that gives way."""

    task_index: int
    attempt: int


class TasksPreempted(msgspec.Struct, frozen=True, tag=True):
    """Attempts of one job that give way to a more urgent one; accepted whole or not at all."""

    at_ms: int
    job_id: JobId
    preempted: tuple[PreemptedTask, ...]
    urgent_job_id: JobId


class TaskOutcome(Enum):
    """How an attempt ended by itself."""

    succeeded = 'succeeded'
    failed = 'failed'


class TaskFinished(msgspec.Struct, frozen=True, tag=True):
    """An attempt that ended by itself."""

    at_ms: int
    job_id: JobId
    task_index: int
    attempt: int
    outcome: TaskOutcome
    result: str = ''


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """Wish of the workspace that the job shall not go on."""

    at_ms: int
    job_id: JobId


class KeyClaimed(msgspec.Struct, frozen=True, tag=True):
    """Right to dispatch a non-repeatable request once; the first record of a key wins."""

    at_ms: int
    key_id: KeyId
    workspace: WorkspaceId
    key: IdempotencyKey
    content_digest: str
    holder: str
    worker_id: WorkerId
    incarnation: Incarnation
    epoch: Epoch


class KeyStatus(Enum):
    """What is known of a non-repeatable request."""

    claimed = 'claimed'
    completed = 'completed'
    failed = 'failed'
    not_run = 'not_run'
    unknown = 'unknown'


class KeyClosed(msgspec.Struct, frozen=True, tag=True):
    """Final word on a non-repeatable request; the first closing record wins.

    As the first record of its key it forbids any later claim.
    """

    at_ms: int
    key_id: KeyId
    workspace: WorkspaceId
    key: IdempotencyKey
    content_digest: str
    status: KeyStatus
    answer: str = ''
    reason: str = ''


class ObjectKind(Enum):
    """Kinds of configuration objects."""

    workspace = 'workspace'
    service = 'service'
    policy = 'policy'
    vm_labels = 'vm-labels'
    drain = 'drain'


class ObjectChange(msgspec.Struct, frozen=True):
    """One object to set or remove.

    Attributes:
        base_version: version that the change is based on; 0 when the object must not exist.
        value: new content as JSON text; None removes the object.
    """

    kind: ObjectKind
    name: str
    base_version: int
    value: str | None


class ConfigurationChanged(msgspec.Struct, frozen=True, tag=True):
    """Change set of an operator; accepted whole or not at all."""

    change_id: str
    author: str
    changes: tuple[ObjectChange, ...]


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """Part of the state of a stream as of `as_of`, re-appended before retention takes the records.

    Attributes:
        snapshot_id: same for all chunks of one snapshot.
        index: number of the chunk, from 0.
        count: number of chunks of the snapshot.
        body: part of the encoded state.
        at_ms: when the snapshot was taken; tells a restarted reader its age.
    """

    snapshot_id: str
    as_of: Offset
    index: int
    count: int
    body: bytes
    at_ms: int = 0


DomainRecord = (
    JobAccepted
    | TasksAssigned
    | TaskReleased
    | TasksPreempted
    | TaskFinished
    | JobCancelled
    | KeyClaimed
    | KeyClosed
)
Record = DomainRecord | ConfigurationChanged | SnapshotChunk

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return encoder.encode(record)


def decode_record(payload: bytes) -> Record:
    """Decode a record of the log.

    Raises:
        msgspec.ValidationError: the payload is not a record of this version.
    """
    return decoder.decode(payload)
