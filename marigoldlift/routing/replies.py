"""What a caller may truthfully be told when its request did not complete."""

from marigoldlift.errors import MarigoldliftError
from marigoldlift.journal.messages import KeyStatus
from marigoldlift.peers.messages import ExecuteReply, ReadToken, ReplyStatus

__all__ = (
    'EARLIER_ATTEMPT_UNKNOWN',
    'NO_FREE_SLOT',
    'STARTING',
    'closed_key_reply',
    'invalid_reply',
    'refusal',
    'starting_reply',
)

#: A peer's refusal that allows the request to be offered elsewhere at once.
NO_FREE_SLOT = 'no_free_slot'

#: Code of an entry that has not read its state yet.
STARTING = 'starting'

EARLIER_ATTEMPT_UNKNOWN = 'earlier_attempt_unknown'

STATUS_OF_KEY = (
    (KeyStatus.completed, ReplyStatus.completed),
    (KeyStatus.failed, ReplyStatus.failed),
    (KeyStatus.not_run, ReplyStatus.not_run),
    (KeyStatus.unknown, ReplyStatus.unknown),
    (KeyStatus.claimed, ReplyStatus.unknown),
)


def refusal(code: str, reason: str, *, attempt: int, may_have_run: bool) -> ExecuteReply:
    """Return `not_run` if that is certain for the request as a whole, else `unknown`.

    Args:
        code: stable name of the cause.
        reason: the cause for a person.
        attempt: number of the caller's send; an earlier one may have run elsewhere.
        may_have_run: whether this attempt may have run.
    """
    if may_have_run:
        return ExecuteReply(ReplyStatus.unknown, code=code, reason=reason)
    if attempt > 1:
        cause = f'not run by this attempt ({code}: {reason}); an earlier one may have run'
        return ExecuteReply(ReplyStatus.unknown, code=EARLIER_ATTEMPT_UNKNOWN, reason=cause)
    return ExecuteReply(ReplyStatus.not_run, code=code, reason=reason)


def starting_reply(attempt: int) -> ExecuteReply:
    """Return the reply of an entry that has not read the configuration or the stream yet."""
    reason = 'this entry has not read its state yet'
    return refusal(STARTING, reason, attempt=attempt, may_have_run=False)


def invalid_reply(error: MarigoldliftError) -> ExecuteReply:
    """Return the reply to input that breaks a rule."""
    return ExecuteReply(
        ReplyStatus.invalid,
        code=error.code,
        reason=error.reason,
        path=error.path,
    )


def closed_key_reply(
    status: KeyStatus,
    answer: str,
    reason: str,
    handle: str,
    token: ReadToken | None,
) -> ExecuteReply:
    """Return the reply that follows from what the log says of a key."""
    return ExecuteReply(
        dict(STATUS_OF_KEY)[status],
        answer=answer,
        code='' if status is KeyStatus.completed else f'key_{status.value}',
        reason=reason,
        handle=handle,
        token=token,
    )
