"""Workers that match one selector, searchable for requests and for tasks."""

from collections.abc import Iterable, Iterator
from itertools import groupby

from marigoldlift.ids import WorkerId
from marigoldlift.placement.capacity_levels import (
    Bucket,
    CapacityLevels,
    cpu_level,
    memory_level,
)
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import Resources

__all__ = ('Shard',)


def request_bucket(free: Resources) -> Bucket:
    """Order buckets by most free slots."""
    return (-free.slots, free.accelerators, cpu_level(free), memory_level(free))


def request_order(view: WorkerView) -> tuple[float, WorkerId]:
    """Order workers by least observed service time."""
    return (view.observed_ms, view.worker_id)


def task_bucket(free: Resources) -> Bucket:
    """Order buckets by least free capacity, scarce accelerators first."""
    return (free.accelerators, cpu_level(free), memory_level(free), free.slots)


def task_order(view: WorkerView) -> tuple[int, int, WorkerId]:
    """Order workers by least free capacity."""
    return (view.free.cpu_milli, view.free.memory_mb, view.worker_id)


class Shard:
    """Workers in rotation that match one selector.

    Attributes:
        views: by worker id.
        by_slots: order of the search for requests.
        by_tightness: order of the search for tasks.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.views: dict[WorkerId, WorkerView] = {}
        self.by_slots = CapacityLevels(request_bucket, request_order)
        self.by_tightness = CapacityLevels(task_bucket, task_order)

    def update(self, view: WorkerView) -> None:
        """Add a worker or replace what is known of it."""
        self.remove(view.worker_id)
        self.views[view.worker_id] = view
        self.by_slots.add(view)
        self.by_tightness.add(view)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker, if it is there."""
        view = self.views.pop(worker_id, None)
        if view is not None:
            self.by_slots.discard(view)
            self.by_tightness.discard(view)

    def best_for_request(self, need: Resources) -> WorkerView | None:
        """Return the fitting worker with most free slots, then least observed time."""
        needed = request_bucket(need)[1:]
        for _, buckets in groupby(self.by_slots.candidates(), key=slots_of):
            heads = [
                first_fitting(views, need)
                for bucket, views in buckets
                if meets_levels(bucket[1:], needed)
            ]
            fitting = [head for head in heads if head is not None]
            if fitting:
                return min(fitting, key=request_order)
        return None

    def fitting_tasks(self, need: Resources) -> Iterator[WorkerView]:
        """Yield the workers that fit at least one task, tightest first."""
        needed = task_bucket(need)
        least = (need.cpu_milli, 0, '')
        for bucket, views in self.by_tightness.candidates(needed):
            if meets_levels(bucket, needed):
                roomy = views.irange_key(min_key=least)
                yield from (view for view in roomy if need.fits_into(view.free))


def slots_of(candidate: tuple[Bucket, Iterable[WorkerView]]) -> int:
    """Return the free slots of a bucket in the order for requests, negated."""
    return candidate[0][0]


def meets_levels(levels: tuple[int, ...], needed: tuple[int, ...]) -> bool:
    """Tell whether no level is below the needed one."""
    return all(level >= least for level, least in zip(levels, needed, strict=True))


def first_fitting(views: Iterable[WorkerView], need: Resources) -> WorkerView | None:
    """Return the first worker that fits, or None."""
    return next((view for view in views if need.fits_into(view.free)), None)
