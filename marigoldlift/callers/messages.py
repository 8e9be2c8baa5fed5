"""JSON bodies of the HTTP interface for callers."""

from typing import Annotated

import msgspec

from marigoldlift.journal.messages import JobSpec
from marigoldlift.peers.messages import ReplyStatus

__all__ = ('JobBody', 'ReplyBody', 'RequestBody')

MAX_KEY_LENGTH = 128
MAX_NAME_LENGTH = 128

#: Control characters are not allowed in a key: keys become parts of digests, whose parts are separated by one.
NO_CONTROL_CHARACTERS = r'^[^\x00-\x1f]+$'
MAX_DEADLINE_MS = 3_600_000

#: Deadline of a body without `deadline_ms`, in milliseconds.
DEFAULT_DEADLINE_MS = 5000

Key = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_KEY_LENGTH, pattern=NO_CONTROL_CHARACTERS),
]
Attempt = Annotated[int, msgspec.Meta(ge=1)]
Deadline = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an interactive request.

    Attributes:
        key: idempotency key; the same for the first send and each retry of a request.
        service: name of a configured service.
        payload: content for the worker, passed on unchanged.
        attempt: 1 for the first send, higher for each retry.
        deadline_ms: time that the caller waits, in milliseconds.
    """

    key: Key
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    payload: str = ''
    attempt: Attempt = 1
    deadline_ms: Deadline = DEFAULT_DEADLINE_MS


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a job submission; `key`, `attempt` and `deadline_ms` as in `RequestBody`."""

    key: Key
    spec: JobSpec
    attempt: Attempt = 1
    deadline_ms: Deadline = DEFAULT_DEADLINE_MS


class ReplyBody(msgspec.Struct, omit_defaults=True):
    """Body of a reply to a caller; a read sent with `token` reflects the write that returned it."""

    status: ReplyStatus
    answer: str = ''
    code: str = ''
    reason: str = ''
    path: str = ''
    handle: str = ''
    token: str = ''
    trace_id: str = ''
