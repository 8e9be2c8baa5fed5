"""Random cells for the placement benchmark, up to the size of the design target."""

from random import Random

import msgspec

from marigoldlift.ids import WorkerId
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import Resources

__all__ = ('TARGET_TASKS', 'TARGET_WORKERS', 'TASK_SIZES', 'random_cell', 'with_task_added')

TARGET_WORKERS = 7700
TARGET_TASKS = 49_000

RACK_SIZE = 8

#: 11,000 accelerators on 7,700 workers: 8 each on 1,375 of them.
ACCELERATOR_SHARE = 1375 / TARGET_WORKERS
PLAIN_SHAPES = (
    Resources(cpu_milli=32_000, memory_mb=65_536, slots=16),
    Resources(cpu_milli=64_000, memory_mb=131_072, slots=16),
)
ACCELERATED = Resources(cpu_milli=64_000, memory_mb=131_072, accelerators=8, slots=16)

TASK_SIZES = (
    Resources(cpu_milli=500, memory_mb=512, slots=1),
    Resources(cpu_milli=2000, memory_mb=4096, slots=1),
    Resources(cpu_milli=4000, memory_mb=16_384, slots=1),
    Resources(cpu_milli=16_000, memory_mb=8192, slots=1),
    Resources(cpu_milli=4000, memory_mb=8192, accelerators=1, slots=1),
)

DISKS = ('ssd', 'hdd')
MAX_OBSERVED_MS = 50


def random_cell(random: Random, workers: int, tasks: int) -> list[WorkerView]:
    """Return workers on which tasks of random sizes run.

    A task that does not fit on its randomly chosen worker is left out.
    """
    views = [random_worker(random, number) for number in range(workers)]
    for _ in range(tasks):
        number = random.randrange(workers)
        need = random.choice(TASK_SIZES)
        if need.fits_into(views[number].free):
            views[number] = with_task_added(views[number], need)
    return views


def random_worker(random: Random, number: int) -> WorkerView:
    """Return a worker of random capacity on which no task runs."""
    is_accelerated = random.random() < ACCELERATOR_SHARE
    capacity = ACCELERATED if is_accelerated else random.choice(PLAIN_SHAPES)
    rack = number // RACK_SIZE
    return WorkerView(
        worker_id=WorkerId(f'worker-{number}'),
        rack=f'rack-{rack}',
        labels={'disk': random.choice(DISKS)},
        capacity=capacity,
        free=capacity,
        observed_ms=random.uniform(1, MAX_OBSERVED_MS),
    )


def with_task_added(view: WorkerView, need: Resources) -> WorkerView:
    """Return the view of the worker with one more task."""
    return msgspec.structs.replace(view, free=view.free - need)
