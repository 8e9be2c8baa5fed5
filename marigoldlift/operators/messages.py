"""Messages between operators and an entry, and between the routes for operators and their backend."""

from enum import Enum
from typing import Annotated

import msgspec

from marigoldlift.configuration.objects import MAX_REASON_LENGTH
from marigoldlift.ids import FailureDomain, Offset, VmId, WorkerId, WorkspaceId
from marigoldlift.journal.messages import JobKind, ObjectKind
from marigoldlift.journal.state import Verdict
from marigoldlift.peers.messages import MemberState, ReadToken, SpanRecord

__all__ = (
    'ApplyInput',
    'ApplyReply',
    'ApplyStatus',
    'CancelReply',
    'ChangeInput',
    'DrainInput',
    'EntryProgress',
    'EntryStatus',
    'ErrorReply',
    'ExplainReply',
    'JobFilter',
    'JobState',
    'JobSummary',
    'JobsReply',
    'ObjectVersion',
    'ObjectView',
    'ObjectsReply',
    'ProposalOutcome',
    'StatusReply',
    'TaskExplanation',
    'TraceReply',
)


class ChangeInput(msgspec.Struct, forbid_unknown_fields=True):
    """Change of one configuration object: sets or removes it.

    Attributes:
        base_version: version that the change is based on; 0 when the object must not exist.
        value: new content as JSON; null removes the object. The field is required in both cases.
    """

    kind: ObjectKind
    name: str
    base_version: int
    value: msgspec.Raw


class ApplyInput(msgspec.Struct, forbid_unknown_fields=True):
    """Change set submitted by an operator.

    Attributes:
        change_id: identifies the change set, so that it can be submitted again; generated if empty.
    """

    author: str
    changes: list[ChangeInput]
    change_id: str = ''


class DrainInput(msgspec.Struct, forbid_unknown_fields=True):
    """Request to drain a VM, which then gets no new work.

    Attributes:
        author: who drains the VM.
        reason: why the VM is drained.
        change_id: identifies the change set; generated if empty.
    """

    author: str
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_LENGTH)] = ''
    change_id: str = ''


class ErrorReply(msgspec.Struct):
    """Error reply.

    Attributes:
        code: stable name of the error.
        path: location of the error in the input, empty if there is none.
    """

    code: str
    reason: str
    path: str = ''


class ApplyStatus(Enum):
    """Outcome of a change set.

    A change set with status `unknown` may still come into force; one that is `refused` or `unavailable` never
    will.
    """

    accepted = 'accepted'
    refused = 'refused'
    unknown = 'unknown'
    unavailable = 'unavailable'


class EntryProgress(msgspec.Struct):
    """Whether an accepted change set is in force at an entry.

    Attributes:
        applied: offset up to which the entry has applied the configuration stream.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    applied: int
    in_force: bool


class ObjectVersion(msgspec.Struct):
    """Version of an object that is in force; 0 if the object does not exist."""

    kind: ObjectKind
    name: str
    version: int


class ApplyReply(msgspec.Struct):
    """Outcome of a change set.

    Attributes:
        version: new version of the changed objects, 0 unless accepted.
        in_force: whether the change set is in force at every entry.
        entries: progress of each entry, empty unless accepted.
        current: versions in force of the objects in a refused change set, empty otherwise.
        code: stable name of the error, empty if accepted.
        path: location of the error in the input.
    """

    status: ApplyStatus
    change_id: str
    version: int = 0
    in_force: bool = False
    entries: list[EntryProgress] = []
    current: list[ObjectVersion] = []
    code: str = ''
    reason: str = ''
    path: str = ''


class ObjectView(msgspec.Struct):
    """One configuration object in force; `value` is its content as JSON."""

    kind: ObjectKind
    name: str
    version: int
    value: msgspec.Raw


class ObjectsReply(msgspec.Struct):
    """Configuration objects in force at the entry that serves the request.

    Attributes:
        version: offset of the last accepted change set.
        applied: offset up to which the entry has applied the configuration stream.
        views: the objects; the JSON field is named `objects`.
    """

    version: int
    applied: int
    views: list[ObjectView] = msgspec.field(name='objects')


class EntryStatus(msgspec.Struct):
    """Status of an entry, as seen by the entry that serves the request.

    Attributes:
        suspect: whether heartbeats of the entry are overdue.
        configuration_version: offset of the last accepted change set.
        applied: offset up to which the entry has applied each stream, by stream name.
        queue_delay_ms: waiting time of the oldest request in milliseconds.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    state: MemberState
    suspect: bool = False
    configuration_version: int = 0
    applied: dict[str, int] = {}
    owned_workers: int = 0
    free_slots: int = 0
    queue_length: int = 0
    queue_delay_ms: float = 0


class StatusReply(msgspec.Struct):
    """Status of all entries."""

    entries: list[EntryStatus]


class JobState(Enum):
    """State of a job, by which operators can filter."""

    waiting = 'waiting'
    running = 'running'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'


class JobFilter(msgspec.Struct, frozen=True):
    """Filter of a list of jobs; None in a field matches any value."""

    workspace: WorkspaceId | None = None
    state: JobState | None = None


class JobSummary(msgspec.Struct):
    """One job in a list.

    Attributes:
        accepted_ms: wall-clock time at which the job was accepted, in milliseconds.
        tasks: number of tasks.
        running: tasks that are assigned.
        ended: tasks that succeeded, failed or were cancelled.
    """

    handle: str
    workspace: WorkspaceId
    failure_domain: FailureDomain
    kind: JobKind
    state: JobState
    accepted_ms: int
    tasks: int
    running: int = 0
    ended: int = 0
    priority: int = 0


class JobsReply(msgspec.Struct):
    """Jobs that match a filter.

    Attributes:
        truncated: whether more jobs match than are listed.
        missing: failure domains that did not answer.
    """

    jobs: list[JobSummary]
    truncated: bool = False
    missing: list[FailureDomain] = []


class TaskExplanation(msgspec.Struct):
    """Explanation of the state of one task."""

    task_index: int
    attempt: int
    state: str
    reason: str = ''
    worker_id: WorkerId | None = None


class ExplainReply(msgspec.Struct):
    """Explanation of the state of a job or key."""

    handle: str
    workspace: WorkspaceId
    state: str
    reason: str
    tasks: list[TaskExplanation] = []


class TraceReply(msgspec.Struct):
    """Spans of a trace.

    Attributes:
        missing: entries that did not answer.
    """

    trace_id: str
    spans: list[SpanRecord]
    missing: list[VmId] = []


class CancelReply(msgspec.Struct):
    """State of a job after its cancellation has been read back from the log.

    Attributes:
        token: makes later reads reflect the cancellation.
    """

    handle: str
    state: JobState
    token: ReadToken | None = None


class ProposalOutcome(msgspec.Struct, frozen=True):
    """Offset at which a change set was read back from the log, and whether it was accepted."""

    offset: Offset
    verdict: Verdict
