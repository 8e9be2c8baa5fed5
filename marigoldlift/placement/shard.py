"""Index of the workers that match one selector, with search orders for requests and tasks."""

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
    """Return the bucket of free resources; most free slots sort first."""
    return (-free.slots, free.accelerators, cpu_level(free), memory_level(free))


def request_order(view: WorkerView) -> tuple[float, WorkerId]:
    """Return the sort key of a worker; least observed service time sorts first."""
    return (view.observed_ms, view.worker_id)


def task_bucket(free: Resources) -> Bucket:
    """Return the bucket of free resources; least free capacity sorts first.

    Accelerators lead the key because they are scarce: workers without free ones are used first.
    """
    return (free.accelerators, cpu_level(free), memory_level(free), free.slots)


def task_order(view: WorkerView) -> tuple[int, int, WorkerId]:
    """Return the sort key of a worker; least free capacity sorts first."""
    return (view.free.cpu_milli, view.free.memory_mb, view.worker_id)


class Shard:
    """Workers in rotation that match one selector.

    Attributes:
        views: workers by id.
        by_slots: workers in search order for requests, most free slots first.
        by_tightness: workers in search order for tasks, least free capacity first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.views: dict[WorkerId, WorkerView] = {}
        self.by_slots = CapacityLevels(request_bucket, request_order)
        self.by_tightness = CapacityLevels(task_bucket, task_order)

    def update(self, view: WorkerView) -> None:
        """Add a worker or replace its view."""
        self.remove(view.worker_id)
        self.views[view.worker_id] = view
        self.by_slots.add(view)
        self.by_tightness.add(view)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker, if present."""
        view = self.views.pop(worker_id, None)
        if view is not None:
            self.by_slots.discard(view)
            self.by_tightness.discard(view)

    def best_for_request(self, need: Resources) -> WorkerView | None:
        """Return the worker that the need fits on with the most free slots, or None.

        Among workers with equal slots, the one with the least observed service time is returned.
        """
        needed = request_bucket(need)[1:]
        for _, buckets in groupby(self.by_slots.candidates(), key=slots_of):
            first_per_bucket = [
                first_fitting(views, need)
                for bucket, views in buckets
                if meets_levels(bucket[1:], needed)
            ]
            fitting = [first for first in first_per_bucket if first is not None]
            if fitting:
                return min(fitting, key=request_order)
        return None

    def fitting_tasks(self, need: Resources) -> Iterator[WorkerView]:
        """Yield the workers that fit at least one task, least free capacity first."""
        needed = task_bucket(need)
        least = (need.cpu_milli, 0, '')
        for bucket, views in self.by_tightness.candidates(needed):
            if meets_levels(bucket, needed):
                candidates_in_bucket = views.irange_key(min_key=least)
                yield from (view for view in candidates_in_bucket if need.fits_into(view.free))


def slots_of(candidate: tuple[Bucket, Iterable[WorkerView]]) -> int:
    """Return the negated free slots of a bucket of `request_bucket`."""
    return candidate[0][0]


def meets_levels(levels: tuple[int, ...], needed: tuple[int, ...]) -> bool:
    """Return whether no level is below the needed one."""
    return all(level >= least for level, least in zip(levels, needed, strict=True))


def first_fitting(views: Iterable[WorkerView], need: Resources) -> WorkerView | None:
    """Return the first worker that the need fits on, or None."""
    return next((view for view in views if need.fits_into(view.free)), None)
