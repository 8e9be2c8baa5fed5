"""Selection of workers by free capacity, in time far below linear in the number of workers."""

from collections import OrderedDict
from collections.abc import Mapping
from itertools import repeat

import msgspec

from marigoldlift.ids import WorkerId
from marigoldlift.placement.feasibility import is_feasible, explain_infeasibility
from marigoldlift.placement.selectors import EXACT_MATCHER, LabelMatcher, first_mismatch
from marigoldlift.placement.shard import Shard
from marigoldlift.placement.worker_view import WorkerView, labels_of
from marigoldlift.resources import Resources

__all__ = ('MAX_SHARDS', 'CapacityIndex', 'Demand')

#: Maximum shards (one per selector) besides that of the empty selector; every update of a worker
#: costs time for each shard that it matches. Beyond the limit, the least recently used shard is
#: evicted; it is rebuilt from all workers when its selector is used again.
MAX_SHARDS = 32

SelectorKey = tuple[tuple[str, str], ...]


class Demand(msgspec.Struct, frozen=True):
    """Tasks of one job to be placed, with equal needs.

    Attributes:
        resources: resources that each task needs.
        count: number of tasks.
        selector: selector of the workers that may run the tasks.
        spread: maximum tasks of the job in one rack; 0 for no limit.
        rack_use: number of tasks of the job already placed in each rack.
    """

    resources: Resources
    count: int
    selector: dict[str, str] = {}
    spread: int = 0
    rack_use: dict[str, int] = {}


class CapacityIndex:
    """Index of workers by free capacity.

    Attributes:
        matcher: compares labels with the values that selectors expect.
        views: all workers, in rotation or not.
        unrestricted_shard: all workers in rotation.
        shards: cached workers in rotation that match a selector, by selector; least recently used
            first.
    """

    def __init__(self, matcher: LabelMatcher = EXACT_MATCHER) -> None:
        """Start empty."""
        self.matcher = matcher
        self.views: dict[WorkerId, WorkerView] = {}
        self.unrestricted_shard = Shard()
        self.shards: OrderedDict[SelectorKey, Shard] = OrderedDict()

    def update(self, view: WorkerView) -> None:
        """Add a worker or replace its view."""
        previous = self.views.get(view.worker_id)
        self.views[view.worker_id] = view
        if previous is not None and has_same_labels(previous, view):
            self.update_shards(view)
        else:
            self.reindex(view)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker, if present."""
        self.views.pop(worker_id, None)
        self.unrestricted_shard.remove(worker_id)
        for shard in self.shards.values():
            shard.remove(worker_id)

    def choose_for_request(
        self,
        resources: Resources,
        selector: Mapping[str, str] | None = None,
    ) -> WorkerId | None:
        """Return the worker with the most free slots, or None if the resources fit on none.

        Only workers in rotation that match the selector are considered. Among workers with equal
        slots, the one with the least observed service time is returned.
        """
        best = self.shard(selector or {}).best_for_request(resources)
        return None if best is None else best.worker_id

    def place(self, demand: Demand) -> list[WorkerId]:
        """Return a worker for each task that can be placed, possibly fewer than demanded.

        Workers with the least free capacity come first (best fit). Each is filled before the next
        is considered, so that a worker is checked only once, against all tasks placed on it by
        this call. The index does not change.
        """
        chosen: list[WorkerId] = []
        rack_use = dict(demand.rack_use)
        for view in self.shard(demand.selector).fitting_tasks(demand.resources):
            count = min(
                demand.count - len(chosen),
                times_fitting(demand.resources, view.free, demand.count),
                remaining_in_rack(demand, rack_use.get(view.rack, 0)),
            )
            chosen.extend(repeat(view.worker_id, count))
            rack_use[view.rack] = rack_use.get(view.rack, 0) + count
            if len(chosen) >= demand.count:
                break
        return chosen

    def feasible(self, resources: Resources, selector: Mapping[str, str]) -> bool:
        """Return whether the resources fit on any matching worker when empty."""
        return is_feasible(self.views.values(), resources, selector, self.matcher)

    def infeasible_reason(self, resources: Resources, selector: Mapping[str, str]) -> str:
        """Return how many workers each label and dimension rules out, or '' if feasible."""
        return explain_infeasibility(self.views.values(), resources, selector, self.matcher)

    def shard(self, selector: Mapping[str, str]) -> Shard:
        """Return the workers in rotation that match a selector; the shard is cached."""
        if not selector:
            return self.unrestricted_shard
        key = tuple(sorted(selector.items()))
        if key not in self.shards:
            self.shards[key] = self.build_shard(key)
            if len(self.shards) > MAX_SHARDS:
                self.shards.popitem(last=False)
        self.shards.move_to_end(key)
        return self.shards[key]

    def build_shard(self, key: SelectorKey) -> Shard:
        """Build the shard of a selector from all workers."""
        shard = Shard()
        for view in self.views.values():
            if self.is_eligible(view, key):
                shard.update(view)
        return shard

    def is_eligible(self, view: WorkerView, key: SelectorKey) -> bool:
        """Return whether a worker is in rotation and matches a selector."""
        if not view.in_rotation:
            return False
        return first_mismatch(dict(key), labels_of(view), self.matcher) is None

    def update_shards(self, view: WorkerView) -> None:
        """Replace the view of a worker in the shards that contain it."""
        for shard in (self.unrestricted_shard, *self.shards.values()):
            if view.worker_id in shard.views:
                shard.update(view)

    def reindex(self, view: WorkerView) -> None:
        """Add a new or changed worker to the shards that it matches; remove it from the others."""
        for key, shard in (((), self.unrestricted_shard), *self.shards.items()):
            if self.is_eligible(view, key):
                shard.update(view)
            else:
                shard.remove(view.worker_id)


def has_same_labels(previous: WorkerView, view: WorkerView) -> bool:
    """Return whether labels, rack and rotation are equal, so that the same shards apply."""
    if previous.in_rotation != view.in_rotation or previous.rack != view.rack:
        return False
    return previous.labels == view.labels


def times_fitting(need: Resources, free: Resources, unbounded: int) -> int:
    """Return how many times the need fits into the free resources.

    Args:
        need: resources needed once.
        free: resources available.
        unbounded: result if nothing is needed.
    """
    pairs = (
        (need.cpu_milli, free.cpu_milli),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
        (need.slots, free.slots),
    )
    return min((available // needed for needed, available in pairs if needed), default=unbounded)


def remaining_in_rack(demand: Demand, used: int) -> int:
    """Return how many more tasks of the job may be placed in a rack that has `used` of them."""
    if not demand.spread:
        return demand.count
    return max(demand.spread - used, 0)
