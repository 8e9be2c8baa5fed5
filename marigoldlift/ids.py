"""Identifiers, each with its own type so that the type checker rejects mix-ups."""

from typing import NewType

__all__ = (
    'Epoch',
    'FailureDomain',
    'IdempotencyKey',
    'Incarnation',
    'JobId',
    'KeyId',
    'Offset',
    'StreamId',
    'TaskId',
    'VmId',
    'WorkerId',
    'WorkspaceId',
)

VmId = NewType('VmId', str)
WorkerId = NewType('WorkerId', str)
FailureDomain = NewType('FailureDomain', str)
WorkspaceId = NewType('WorkspaceId', str)
IdempotencyKey = NewType('IdempotencyKey', str)

#: Home failure domain and digest of (workspace, idempotency key).
KeyId = NewType('KeyId', str)
JobId = NewType('JobId', str)

#: Job or key id, task index and attempt; unique for one start on one worker.
TaskId = NewType('TaskId', str)

#: Identifies one execution of a process; a restart creates a new one.
Incarnation = NewType('Incarnation', str)

#: Number of a control lease of a worker; increases within an incarnation.
Epoch = NewType('Epoch', int)

StreamId = NewType('StreamId', str)

#: Position of a record in a stream; the first record has offset 1.
Offset = NewType('Offset', int)
