"""Exception hierarchy; each error has a stable machine-readable code and a human-readable reason."""

__all__ = (
    'AppendOutcomeUnknownError',
    'AppendRefusedError',
    'ConflictError',
    'FencedError',
    'InvalidInputError',
    'LogUnavailableError',
    'MalformedMessageError',
    'MarigoldliftError',
    'NotFoundError',
    'OverloadedError',
    'PeerUnavailableError',
    'PlatformError',
    'RecordRefusedError',
    'RetentionPassedError',
    'SequenceMismatchError',
    'SettingsError',
    'ShareExceededError',
    'WorkerRefusedError',
    'WorkerUnavailableError',
)


class MarigoldliftError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: stable machine-readable name of the error.
        reason: human-readable description.
        path: path of the invalid field in the input, empty if there is none.
    """

    code = 'internal'

    def __init__(self, reason: str, path: str = '') -> None:
        """Store the reason and the path of the invalid field."""
        super().__init__(reason)
        self.reason = reason
        self.path = path


class InvalidInputError(MarigoldliftError):
    """Invalid input; nothing was changed."""

    code = 'invalid_input'


class MalformedMessageError(InvalidInputError):
    """Bytes of another process that are no message of the expected type, or that are too large for one."""

    code = 'malformed_message'


class SettingsError(InvalidInputError):
    """A settings file that cannot be used; `errors` lists every problem with its path."""

    code = 'invalid_settings'

    def __init__(self, errors: tuple[str, ...]) -> None:
        """Join all problems into the reason."""
        super().__init__('; '.join(errors))
        self.errors = errors


class ConflictError(MarigoldliftError):
    """A change based on a version that is no longer current, or a key used for other content."""

    code = 'conflict'


class NotFoundError(MarigoldliftError):
    """The named object does not exist."""

    code = 'not_found'


class OverloadedError(MarigoldliftError):
    """A bounded queue or budget is exhausted."""

    code = 'overloaded'


class ShareExceededError(OverloadedError):
    """A submission beyond its workspace's share that a full cell refuses; nothing was stored.

    Attributes:
        retry_after_s: time after which the caller should come back, in s.
    """

    code = 'share_exceeded'

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Store the reason and the pause."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class PlatformError(MarigoldliftError):
    """A service of the platform did not perform a request."""

    code = 'platform'


class LogUnavailableError(PlatformError):
    """The log did not answer, and the call had no effect or only read."""

    code = 'log_unavailable'


class AppendOutcomeUnknownError(LogUnavailableError):
    """An append got no answer; it may have taken effect."""

    code = 'append_in_doubt'


class AppendRefusedError(PlatformError):
    """The log refused an append; nothing was stored."""

    code = 'append_refused'


class RecordRefusedError(AppendRefusedError):
    """A record has a form that the log never takes."""

    code = 'record_refused'


class SequenceMismatchError(PlatformError):
    """The log expects another sequence number of this producer.

    Attributes:
        expected: the next sequence number, None when a newer epoch of the producer exists.
    """

    code = 'sequence_mismatch'

    def __init__(self, expected: int | None) -> None:
        """Store the sequence number that the log expects."""
        super().__init__(f'expected sequence number is {expected}')
        self.expected = expected


class RetentionPassedError(PlatformError):
    """The log no longer retains records before `oldest`."""

    code = 'retention_passed'

    def __init__(self, oldest: int) -> None:
        """Store the oldest offset that can still be read."""
        super().__init__(f'oldest offset kept is {oldest}')
        self.oldest = oldest


class WorkerRefusedError(PlatformError):
    """A worker refused a request; it had no effect.

    Attributes:
        worker_code: the worker's own code: `fenced`, `duplicate`, `leaving` or `full`.
    """

    code = 'worker_refused'

    def __init__(self, worker_code: str, reason: str) -> None:
        """Store the code of the worker's answer."""
        super().__init__(reason)
        self.worker_code = worker_code


class FencedError(WorkerRefusedError):
    """The worker's lease has another holder or epoch, or has expired."""

    code = 'fenced'


class WorkerUnavailableError(PlatformError):
    """A worker did not answer.

    Attributes:
        may_have_run: false only if the request certainly never reached the worker.
    """

    code = 'worker_unavailable'

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        """Store whether the call may have taken effect."""
        super().__init__(reason)
        self.may_have_run = may_have_run


class OrderWithdrawnError(PlatformError):
    """An order was not sent, since it was out of date by the time it could have left."""

    code = 'order_withdrawn'


class PeerUnavailableError(MarigoldliftError):
    """Another entry did not answer.

    Attributes:
        may_have_run: false only if the call certainly never reached the peer.
    """

    code = 'peer_unavailable'

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        """Store whether the call may have taken effect."""
        super().__init__(reason)
        self.may_have_run = may_have_run
