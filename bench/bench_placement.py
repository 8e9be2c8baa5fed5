"""Time of placement decisions compared with a linear scan, and cost of the domain state per task."""

import tracemalloc
from collections.abc import Callable, Iterable
from random import Random
from statistics import quantiles
from time import perf_counter
from types import MappingProxyType

from bench.placement_baseline import LinearScan
from bench.placement_cell import (
    TARGET_TASKS,
    TARGET_WORKERS,
    TASK_SIZES,
    random_cell,
    with_task_added,
)
from marigoldlift.ids import FailureDomain, IdempotencyKey, WorkerId, WorkspaceId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.task_ids import job_id_for
from marigoldlift.journal import messages as records
from marigoldlift.placement.index import CapacityIndex, Demand
from marigoldlift.resources import Resources

__all__ = ('run',)

WORKER_COUNTS = (100, 1000, TARGET_WORKERS)
TASK_COUNTS = (1000, 5000, 20_000)
TASKS_PER_JOB = 10

#: Decisions per row; fewer for the linear scan because it is slow.
DECISIONS = 2000
SCAN_DECISIONS = 300

#: Takes almost all of the smaller worker without accelerators.
LARGE_TASK = Resources(cpu_milli=31_000, memory_mb=60_000, slots=1)

SELECTORS = ({}, {'disk': 'ssd'})
HOME = FailureDomain('bench')
WORKSPACE = WorkspaceId('bench')

US_PER_S = 1_000_000
PERCENTILES = 100

Row = dict[str, str | float]
Placer = CapacityIndex | LinearScan


def run(seed: int) -> list[Row]:
    """Run the benchmark and return its rows."""
    rows: list[Row] = []
    for workers in WORKER_COUNTS:
        rows.extend(decision_rows(seed, workers))
    rows.extend(state_row(tasks) for tasks in TASK_COUNTS)
    return rows


def decision_rows(seed: int, workers: int) -> Iterable[Row]:
    """Measure decisions in a cell with as many tasks per worker as the design target."""
    tasks = TARGET_TASKS * workers // TARGET_WORKERS
    for work, decide in DECIDERS.items():
        for kind, count in ((CapacityIndex, DECISIONS), (LinearScan, SCAN_DECISIONS)):
            random = Random(seed)
            placer = kind()
            for view in random_cell(random, workers, tasks):
                placer.update(view)
            decisions_us, updates_us = measure(random, placer, decide, count)
            yield {
                'measure': f'{work} by {kind.__name__}',
                'size': f'{workers} workers, {tasks} tasks',
                'decisions': count,
                'p50_us': percentile(decisions_us, 50),
                'p99_us': percentile(decisions_us, 99),
                'update_p99_us': percentile(updates_us, 99),
            }


def measure(
    random: Random,
    placer: Placer,
    decide: Callable[[Random, Placer], tuple[WorkerId | None, Resources]],
    count: int,
) -> tuple[list[float], list[float]]:
    """Return the times of the decisions and of the index updates that follow, in microseconds."""
    decisions_us: list[float] = []
    updates_us: list[float] = []
    placed: list[tuple[WorkerId, Resources]] = []
    for _ in range(count):
        started = perf_counter()
        worker_id, need = decide(random, placer)
        decisions_us.append((perf_counter() - started) * US_PER_S)
        if worker_id is not None:
            placed.append((worker_id, need))
            updates_us.append(timed_update(placer, worker_id, need))
        if len(placed) > count // 10:
            end_random_task(random, placer, placed)
    return decisions_us, updates_us


def timed_update(placer: Placer, worker_id: WorkerId, need: Resources) -> float:
    """Subtract a task from the free resources of a worker; return the update time in microseconds."""
    view = with_task_added(placer.views[worker_id], need)
    started = perf_counter()
    placer.update(view)
    return (perf_counter() - started) * US_PER_S


def end_random_task(
    random: Random,
    placer: Placer,
    placed: list[tuple[WorkerId, Resources]],
) -> None:
    """End a random placed task, so that the utilization of the cell stays constant."""
    worker_id, need = placed.pop(random.randrange(len(placed)))
    timed_update(placer, worker_id, Resources() - need)


def decide_request(random: Random, placer: Placer) -> tuple[WorkerId | None, Resources]:
    """Choose a worker for a small request."""
    need = TASK_SIZES[0]
    return placer.choose_for_request(need, random.choice(SELECTORS)), need


def decide_task(random: Random, placer: Placer) -> tuple[WorkerId | None, Resources]:
    """Choose a worker for one task of a random size."""
    need = random.choice(TASK_SIZES)
    chosen = placer.place(Demand(need, 1, random.choice(SELECTORS)))
    return (chosen[0] if chosen else None), need


def decide_large_task(random: Random, placer: Placer) -> tuple[WorkerId | None, Resources]:
    """Choose a worker for a task that fits only on few workers."""
    chosen = placer.place(Demand(LARGE_TASK, 1))
    return (chosen[0] if chosen else None), LARGE_TASK


def state_row(tasks: int) -> Row:
    """Measure a domain state: assign all tasks, dump and restore the state, then end all tasks."""
    payloads = [records.encode_record(record) for record in start_records(tasks)]
    tracemalloc.start()
    state = DomainState()
    apply_all(state, payloads)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    timed_state = DomainState()
    start_s = apply_all(timed_state, payloads)
    started = perf_counter()
    body = timed_state.dump()
    dump_s = perf_counter() - started
    started = perf_counter()
    DomainState().restore(timed_state.applied, body)
    restore_s = perf_counter() - started
    end_s = apply_all(
        timed_state, [records.encode_record(record) for record in end_records(tasks)]
    )
    return {
        'measure': 'domain state',
        'size': f'{tasks} assigned tasks',
        'bytes_per_task': round(memory / tasks),
        'start_us_per_task': round(start_s * US_PER_S / tasks, 1),
        'end_us_per_task': round(end_s * US_PER_S / tasks, 1),
        'dump_ms': round(dump_s * 1000, 1),
        'restore_ms': round(restore_s * 1000, 1),
        'dump_bytes_per_task': round(len(body) / tasks),
    }


def apply_all(state: DomainState, payloads: list[bytes]) -> float:
    """Decode and apply records; return the time in seconds.

    Raises:
        RuntimeError: a record was refused.
    """
    started = perf_counter()
    for payload in payloads:
        verdict = state.apply(state.applied + 1, records.decode_record(payload))
        if not verdict.accepted:
            raise RuntimeError(verdict.reason)
    return perf_counter() - started


def start_records(tasks: int) -> Iterable[records.Record]:
    """Yield the records that accept jobs and assign all of their tasks."""
    spec = records.JobSpec(records.JobKind.batch, TASKS_PER_JOB, TASK_SIZES[0])
    for number in range(tasks // TASKS_PER_JOB):
        key = IdempotencyKey(f'key-{number}')
        job_id = job_id_for(HOME, WORKSPACE, key)
        yield records.JobAccepted(job_id, WORKSPACE, key, spec, accepted_ms=1)
        yield records.TasksAssigned(job_id, tuple(job_assignments(number)))


def job_assignments(number: int) -> Iterable[records.Assignment]:
    """Yield the first attempt of each task of a job, on workers in round-robin order."""
    for task_index in range(TASKS_PER_JOB):
        worker = (number * TASKS_PER_JOB + task_index) % (TARGET_WORKERS // 8)
        yield records.Assignment(task_index, 1, f'worker-{worker}', 'incarnation-1', 1)


def end_records(tasks: int) -> Iterable[records.Record]:
    """Yield the records that end all tasks."""
    for number in range(tasks // TASKS_PER_JOB):
        job_id = job_id_for(HOME, WORKSPACE, IdempotencyKey(f'key-{number}'))
        for task_index in range(TASKS_PER_JOB):
            yield records.TaskFinished(2, job_id, task_index, 1, records.TaskOutcome.succeeded)


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile, rounded to one decimal."""
    return round(quantiles(values, n=PERCENTILES)[percent - 1], 1)


DECIDERS = MappingProxyType(
    {
        'request': decide_request,
        'task': decide_task,
        'large task': decide_large_task,
    },
)
