"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ('ExitCode',)


class ExitCode(IntEnum):
    """Result of a command.

    Attributes:
        done: the command succeeded.
        failed: the system refused the operation or failed, and the operation has had no effect.
        usage: the arguments, a file or the settings are invalid; nothing was sent.
        unreachable: no entry could be reached; nothing was changed.
        unknown: the operation may have taken effect or may still do so; run the command again.
    """

    done = 0
    failed = 1
    usage = 2
    unreachable = 3
    unknown = 4
