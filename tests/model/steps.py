"""Steps of a model run: operations of callers, and faults."""

import msgspec

from marigoldlift.journal.messages import JobKind

from tests.model.network import WireMode

__all__ = (
    'Advance',
    'Break',
    'Cancel',
    'Charge',
    'Crash',
    'Isolate',
    'LogOutage',
    'LoseAnswers',
    'Pause',
    'Request',
    'RestartWorker',
    'Retry',
    'Step',
    'Submit',
    'TraceLine',
)


class Base(
    msgspec.Struct,
    frozen=True,
    tag_field='do',
    tag=str.lower,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of the steps; entries, workers and earlier sends are given by number."""


class Request(Base, frozen=True):
    """Send a repeatable request."""

    entry: int
    run_ms: int = 20
    deadline_ms: int = 5000


class Charge(Base, frozen=True):
    """Send a non-repeatable request under its own key."""

    entry: int
    run_ms: int = 20
    deadline_ms: int = 5000


class Retry(Base, frozen=True):
    """Send an earlier request, charge or job again, as its next attempt."""

    sent: int
    entry: int


class Submit(Base, frozen=True):
    """Submit a job; two tasks of 1500 milli-cores fit on a worker."""

    entry: int
    kind: JobKind = JobKind.batch
    tasks: int = 1
    cpu_milli: int = 1500
    run_ms: int = 2000


class Cancel(Base, frozen=True):
    """Cancel an earlier job."""

    sent: int
    entry: int


class Crash(Base, frozen=True):
    """Kill an entry and restart it after `down_s`."""

    entry: int
    down_s: float = 3


class Pause(Base, frozen=True):
    """Pause an entry for `for_s`; its clock advances and its messages wait."""

    entry: int
    for_s: float = 6


class Break(Base, frozen=True):
    """Break the connection of an entry to a worker (`w0`), an entry (`e0`) or the `log`."""

    entry: int
    target: str
    mode: WireMode = WireMode.cut
    for_s: float = 5


class Isolate(Base, frozen=True):
    """Break the connections of all entries to a worker."""

    worker: int
    mode: WireMode = WireMode.cut
    for_s: float = 40


class LoseAnswers(Base, frozen=True):
    """Lose the next answers to one kind of call to a worker (`w0`) or the `log`."""

    entry: int
    target: str
    call: str
    count: int = 1


class LogOutage(Base, frozen=True):
    """Break the connections of all entries to the log."""

    mode: WireMode = WireMode.cut
    for_s: float = 8


class RestartWorker(Base, frozen=True):
    """Restart a worker."""

    worker: int


class Advance(Base, frozen=True):
    """Advance the clock."""

    for_s: float = 1


Step = (
    Request
    | Charge
    | Retry
    | Submit
    | Cancel
    | Crash
    | Pause
    | Break
    | Isolate
    | LoseAnswers
    | LogOutage
    | RestartWorker
    | Advance
)


class TraceLine(msgspec.Struct, frozen=True):
    """One line of a trace: a step and its time in seconds after the start."""

    at_s: float
    step: Step
