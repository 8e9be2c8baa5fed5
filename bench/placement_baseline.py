"""Baseline for the placement benchmark: a linear scan over all workers for each decision."""

from collections.abc import Mapping

from marigoldlift.ids import WorkerId
from marigoldlift.placement.index import Demand
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import Resources

__all__ = ('LinearScan',)


class LinearScan:
    """Makes the same decisions as `CapacityIndex`, for single tasks and selectors without a rack."""

    def __init__(self) -> None:
        """Start without workers."""
        self.views: dict[WorkerId, WorkerView] = {}

    def update(self, view: WorkerView) -> None:
        """Add a worker or replace its view."""
        self.views[view.worker_id] = view

    def fitting(self, need: Resources, selector: Mapping[str, str]) -> list[WorkerView]:
        """Return all workers that match the selector and have enough free resources."""
        return [
            view
            for view in self.views.values()
            if need.fits_into(view.free) and selector.items() <= view.labels.items()
        ]

    def choose_for_request(
        self,
        need: Resources,
        selector: Mapping[str, str],
    ) -> WorkerId | None:
        """Return the fitting worker with most free slots, then with the shortest observed service time."""
        best = min(self.fitting(need, selector), key=request_rank, default=None)
        return None if best is None else best.worker_id

    def place(self, demand: Demand) -> list[WorkerId]:
        """Return the fitting worker with the least free resources, for one task (best fit)."""
        fitting = self.fitting(demand.resources, demand.selector)
        best = min(fitting, key=task_rank, default=None)
        return [] if best is None else [best.worker_id]


def request_rank(view: WorkerView) -> tuple:
    """Return the sort key for requests."""
    return (-view.free.slots, view.observed_ms, view.worker_id)


def task_rank(view: WorkerView) -> tuple:
    """Return the sort key for tasks."""
    free = view.free
    return (free.accelerators, free.cpu_milli, free.memory_mb, view.worker_id)
