"""Size of the domain state per task, job and key: on the heap, in a snapshot and in the log."""

import gc
import time
import tracemalloc
from collections.abc import Iterator, Sequence
from itertools import pairwise

import msgspec

from bench.fit import fit_line
from bench.output import print_rows
from bench.prefill import Shape
from marigoldlift.ids import Offset
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.journal.messages import decode_record, encode_record

__all__ = ('run',)

MS_PER_S = 1000

REPEATS = 5

#: Jobs of many tasks that run or have ended, jobs of a single task, and closed keys.
TASKS_OF_JOB = (10, 20, 31, 45, 62)
RUNNING = tuple(Shape(jobs=100, tasks_of_job=tasks) for tasks in TASKS_OF_JOB)
ENDED = tuple(Shape(jobs=100, tasks_of_job=tasks, ended=True) for tasks in TASKS_OF_JOB)
JOBS = tuple(Shape(jobs=jobs) for jobs in (1000, 3000, 6200))
KEYS = tuple(Shape(keys=keys) for keys in (2000, 5000, 10_000))

TIMES = ('apply_ms', 'dump_ms', 'restore_ms')


class Size(msgspec.Struct):
    """Size of a domain state, and the processor time to build, dump and restore it.

    Attributes:
        heap: bytes on the heap.
        snapshot: bytes of the dump.
        log: bytes of the encoded records.
        apply_ms: time to decode and apply the records, in milliseconds.
        dump_ms: time to dump the state, in milliseconds.
        restore_ms: time to restore the dump, in milliseconds.
    """

    heap: int
    snapshot: int
    log: int
    apply_ms: float
    dump_ms: float
    restore_ms: float


def measure(shape: Shape, seed: int) -> Size:
    """Build a state from its records and return its size and times."""
    payloads = [encode_record(record) for record in shape.records(seed)]
    times_ms = [measure_times(payloads) for _ in range(REPEATS)]
    fastest = map(min, zip(*times_ms, strict=True))
    state = DomainState()
    tracemalloc.start()
    apply_all(state, payloads)
    gc.collect()
    heap = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return Size(heap, len(state.dump()), sum(map(len, payloads)), *fastest)


def measure_times(payloads: Sequence[bytes]) -> tuple[float, float, float]:
    """Return the processor times to apply, to dump and to restore in milliseconds.

    Garbage is collected first. The caller takes the minimum of several repetitions, since other
    load on the machine can only increase the times.
    """
    state = DomainState()
    gc.collect()
    marks_s = [time.process_time()]
    apply_all(state, payloads)
    marks_s.append(time.process_time())
    body = state.dump()
    marks_s.append(time.process_time())
    DomainState().restore(state.applied, body)
    marks_s.append(time.process_time())
    times_ms = [(after - before) * MS_PER_S for before, after in pairwise(marks_s)]
    return times_ms[0], times_ms[1], times_ms[2]


def apply_all(state: DomainState, payloads: Sequence[bytes]) -> None:
    """Decode and apply records in order, as a replica does.

    Raises:
        RuntimeError: a record was refused.
    """
    for offset, payload in enumerate(payloads, start=1):
        verdict = state.apply(Offset(offset), decode_record(payload))
        if not verdict.accepted:
            raise RuntimeError(verdict.reason)


def rows_for(unit: str, counts: Sequence[int], sizes: Sequence[Size]) -> Iterator[str]:
    """Yield the fitted lines of bytes and of processor times."""
    for name in ('heap', 'snapshot', 'log'):
        line = fit_line(counts, [getattr(size, name) for size in sizes])
        yield f'{unit}: {name} {line.describe("B", unit)}'
    for field in TIMES:
        line = fit_line(counts, [getattr(size, field) for size in sizes])
        yield f'{unit}: {field[:-3]} {line.describe("ms", unit)}'


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; the seed determines the synthetic records."""
    cases = (
        ('running task', [shape.tasks for shape in RUNNING], RUNNING),
        ('ended task', [shape.tasks for shape in ENDED], ENDED),
        ('job of one running task', [shape.jobs for shape in JOBS], JOBS),
        ('closed key', [shape.keys for shape in KEYS], KEYS),
    )
    rows: list[str] = []
    for unit, counts, shapes in cases:
        sizes = [measure(shape, seed) for shape in shapes]
        rows.append(f'{unit}: measured at {", ".join(map(str, counts))}')
        rows.extend(rows_for(unit, counts, sizes))
    return rows


def main() -> None:
    """Print the rows."""
    print_rows('bench_state', run)


if __name__ == '__main__':
    main()
