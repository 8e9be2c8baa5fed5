"""Seeded generator of traces: operations of callers and faults of a small cell over some hours.

Write one with `python -m tests.model.traces PROFILE SEED HOURS FILE`.
"""

import random
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from types import MappingProxyType

import msgspec

from marigoldlift.journal.messages import JobKind

from tests.model import steps
from tests.model.network import WireMode

__all__ = ('PROFILES', 'Profile', 'generate', 'read_trace', 'write_trace')

SECONDS_PER_HOUR = 3600
START_S = 5.0

MODES = (
    WireMode.cut,
    WireMode.lose_requests,
    WireMode.lose_answers,
    WireMode.delay,
)


class Profile(msgspec.Struct, frozen=True):
    """Mean time between two steps of each kind, in seconds."""

    request_s: float
    charge_s: float
    burst_s: float
    job_s: float
    retry_s: float
    cancel_s: float
    fault_s: float


PROFILES = MappingProxyType(
    {
        'failures': Profile(12, 20, 900, 60, 60, 240, 45),
        'peaks': Profile(15, 30, 90, 120, 90, 600, 400),
    },
)


def request(rng: random.Random) -> list[steps.Step]:
    """Return a request of usual length."""
    return [steps.Request(rng.randrange(3), rng.choice((20, 80, 400)))]


def charge(rng: random.Random) -> list[steps.Step]:
    """Return a charge."""
    return [steps.Charge(rng.randrange(3), rng.choice((20, 80)))]


def burst(rng: random.Random) -> list[steps.Step]:
    """Return more requests at once than the cell has slots."""
    return [step for _ in range(12) for step in request(rng)]


def job(rng: random.Random) -> list[steps.Step]:
    """Return a batch or gang; a few run much longer than the rest."""
    kind = rng.choice((JobKind.batch, JobKind.batch, JobKind.gang))
    tasks = rng.randint(2, 4) if kind is JobKind.gang else rng.randint(1, 6)
    run_ms = rng.choice((2000, 10_000, 10_000, 30_000, 180_000))
    return [steps.Submit(rng.randrange(3), kind, tasks, rng.choice((500, 1500)), run_ms)]


def retry(rng: random.Random) -> list[steps.Step]:
    """Return a retry of an earlier send."""
    return [steps.Retry(rng.randrange(1000), rng.randrange(3))]


def cancel(rng: random.Random) -> list[steps.Step]:
    """Return a cancellation."""
    return [steps.Cancel(rng.randrange(1000), rng.randrange(3))]


def fault(rng: random.Random) -> list[steps.Step]:
    """Return one fault."""
    number = rng.randrange(3)
    worker = f'w{rng.randrange(3)}'
    mode = rng.choice(MODES)
    call = rng.choice(('lease', 'start', 'run'))
    return rng.choice(
        (
            [steps.Crash(number, rng.choice((1, 10, 60)))],
            [steps.Pause(number, rng.choice((1, 5, 30)))],
            [steps.Break(number, worker, mode, rng.choice((2, 10)))],
            [steps.Break(number, f'e{rng.randrange(3)}', mode, 3)],
            [steps.Break(number, 'log', mode, rng.choice((2, 20)))],
            [steps.Isolate(number, mode, rng.choice((3, 60)))],
            [steps.LogOutage(mode, rng.choice((3, 15)))],
            [steps.RestartWorker(number)],
            [steps.LoseAnswers(entry, worker, call, 2) for entry in range(3)],
            [steps.LoseAnswers(number, 'log', 'append', 2)],
        ),
    )


#: Function that makes the steps of a kind, by field of `Profile`.
STEP_MAKERS: MappingProxyType[str, Callable[[random.Random], list[steps.Step]]] = MappingProxyType(
    {
        'request_s': request,
        'charge_s': charge,
        'burst_s': burst,
        'job_s': job,
        'retry_s': retry,
        'cancel_s': cancel,
        'fault_s': fault,
    },
)


def generate(profile: Profile, seed: int, hours: float) -> list[steps.TraceLine]:
    """Return the lines of a trace; the same arguments give the same lines."""
    end_s = START_S + hours * SECONDS_PER_HOUR
    lines = [
        line
        for kind, mean_s in msgspec.structs.asdict(profile).items()
        for line in arrivals(random.Random(f'{seed} {kind}'), STEP_MAKERS[kind], mean_s, end_s)
    ]
    return sorted(lines, key=lambda line: line.at_s)


def arrivals(
    rng: random.Random,
    make: Callable[[random.Random], list[steps.Step]],
    mean_s: float,
    end_s: float,
) -> Iterator[steps.TraceLine]:
    """Yield steps of one kind at random times with a mean gap of `mean_s` seconds."""
    at_s = START_S + rng.expovariate(1 / mean_s)
    while at_s < end_s:
        for step in make(rng):
            yield steps.TraceLine(round(at_s, 3), step)
        at_s += rng.expovariate(1 / mean_s)


def write_trace(path: Path, lines: list[steps.TraceLine]) -> None:
    """Write a trace as JSON lines."""
    path.write_bytes(b''.join(msgspec.json.encode(line) + b'\n' for line in lines))


def read_trace(path: Path) -> list[steps.TraceLine]:
    """Read a trace from JSON lines."""
    decoder = msgspec.json.Decoder(steps.TraceLine)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


if __name__ == '__main__':
    profile_name, given_seed, given_hours, target = sys.argv[1:]
    trace = generate(PROFILES[profile_name], int(given_seed), float(given_hours))
    write_trace(Path(target), trace)
