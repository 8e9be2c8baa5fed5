"""Cost of a submission with many occurrences: its state on the leader, and the progress records of those that run.

Fastest of several repetitions, in process. All occurrences are due; in the first table none has started, in the second all run.
Each row names the ratio to the row before it, beside that of the sizes.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from types import SimpleNamespace

from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import HeldTasks, RunTable
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.waiting_steps import WaitingSteps
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.record_codec import decode_record, encode_record
from marigoldlift.submissions.state import Job

__all__ = ('run',)

OCCURRENCES = (1000, 4000, 10_000)
REPETITIONS = 7
TENURE = 1

MS_PER_S = 1000
BYTES_PER_KB = 1000

POLICY = Policy('queue', 'service', 1, 3, 2.0, 1000)
WORKER = Worker('w0', '', 'a', POLICY.service, True, 0, 64_000, 128_000, 0, ())

Row = dict[str, str | float]


def run(seed: int) -> list[Row]:
    """Run the benchmark, which draws nothing, and return its rows."""
    return [*measured(measure_waiting), *measured(measure_records)]


def measured(measure: Callable[[int], dict[str, float]]) -> list[Row]:
    """Return a row for each size, with the ratio of each figure to that of the size before."""
    rows: list[Row] = []
    before: dict[str, float] = {}
    for occurrences in OCCURRENCES:
        found = {'occurrences': float(occurrences)} | measure(occurrences)
        cells = {name: format_figure(found[name], before.get(name)) for name in found}
        rows.append({'what': measure.__name__.removeprefix('measure_')} | cells)
        before = found
    return rows


def format_figure(figure: float, before: float | None) -> str:
    """Return a figure with its ratio to the one before."""
    ratio = f' (x{figure / before:.1f})' if before else ''
    return f'{figure:.2f}{ratio}'


def new_job(occurrences: int) -> Job:
    """Return a submission of one step that is due many times."""
    submission = Submission(
        SubmissionId('job'),
        '',
        (Step(count=1, cpu_m=10),),
        POLICY,
        'e0',
        occurrences=occurrences,
        first_due_ms=1,
        interval_ms=1,
    )
    return Job(submission, 0, 0)


def open_job(job: Job) -> WaitingSteps:
    """Return the waiting steps after a leader has opened a submission."""
    waiting = WaitingSteps(time.monotonic)
    waiting.open_due(JobRun(job))
    return waiting


def measure_waiting(occurrences: int) -> dict[str, float]:
    """Measure what a leader does to open a submission, and what it keeps of it."""
    job = new_job(occurrences)
    tracemalloc.start()
    waiting = open_job(job)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'open ms': fastest_ms(partial(open_job, job)),
        'kept KB': kept / BYTES_PER_KB,
        'waiting steps': len(waiting),
    }


def measure_records(occurrences: int) -> dict[str, float]:
    """Measure what one change costs the leader, and each entry that reads its record."""
    job = new_job(occurrences)
    running = JobRun(job)
    table = RunTable(WORKER, HeldTasks())
    session = SimpleNamespace(worker=WORKER, run_table=table, now=time.monotonic)
    for occurrence in range(occurrences):
        running.open_step((occurrence, 0)).begin(0, session, 1)
    writer = ProgressWriter(SimpleNamespace(), TENURE, SimpleNamespace())
    for part in all_parts(running):
        job.merge(writer.record_of(running, part))
    record = writer.record_of(running, 0)
    encoded = encode_record(record)
    return {
        'build ms': fastest_ms(partial(writer.record_of, running, 0)),
        'decode ms': fastest_ms(partial(decode_record, encoded)),
        'merge ms': fastest_ms(partial(job.merge, record)),
        'record KB': len(encoded) / BYTES_PER_KB,
    }


def all_parts(job: JobRun) -> Sequence[int]:
    """Return the numbers of the parts of a submission's progress."""
    return range(1 + max(map(job.complete.part_of, job.steps)))


def fastest_ms(action: Callable[[], object]) -> float:
    """Return the least processor time of an action, in ms."""
    spent_s = []
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        action()
        spent_s.append(time.process_time() - started_at)
    return min(spent_s) * MS_PER_S
