"""Choice of workers by free capacity, at a cost that grows far slower than their number."""

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

#: Selectors kept in the index besides the empty one; each costs time for every update of a
#: worker that matches. One more replaces the least recently used, which is built again from all
#: workers when it returns.
MAX_SHARDS = 32

SelectorKey = tuple[tuple[str, str], ...]


class Demand(msgspec.Struct, frozen=True):
    """Equal tasks of one job to be placed.

    Attributes:
        resources: needs of each task.
        count: number of tasks.
        spread: at most this many tasks of the job in one rack; 0 for no limit.
        rack_use: tasks of the job that each rack holds already.
    """

    resources: Resources
    count: int
    selector: dict[str, str] = {}
    spread: int = 0
    rack_use: dict[str, int] = {}


class CapacityIndex:
    """Workers with their free capacity.

    Attributes:
        views: all workers, in rotation or not.
        shards: workers in rotation by selector, the least recently used first.
    """

    def __init__(self, matcher: LabelMatcher = EXACT_MATCHER) -> None:
        """Start empty."""
        self.matcher = matcher
        self.views: dict[WorkerId, WorkerView] = {}
        self.unrestricted_shard = Shard()
        self.shards: OrderedDict[SelectorKey, Shard] = OrderedDict()

    def update(self, view: WorkerView) -> None:
        """Add a worker or replace what is known of it."""
        known = self.views.get(view.worker_id)
        self.views[view.worker_id] = view
        if known is not None and has_same_labels(known, view):
            self.update_shards(view)
        else:
            self.reindex(view)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker, if it is known."""
        self.views.pop(worker_id, None)
        self.unrestricted_shard.remove(worker_id)
        for shard in self.shards.values():
            shard.remove(worker_id)

    def choose_for_request(
        self,
        resources: Resources,
        selector: Mapping[str, str] | None = None,
    ) -> WorkerId | None:
        """Return the worker with most free slots, then least observed service time."""
        best = self.shard(selector or {}).best_for_request(resources)
        return None if best is None else best.worker_id

    def place(self, demand: Demand) -> list[WorkerId]:
        """Return a worker for each task that fits, tightest first; may be fewer than asked.

        A worker is filled before the next is looked at, so that each counts once, with all that
        this call places on it. The index itself does not change.
        """
        chosen: list[WorkerId] = []
        rack_use = dict(demand.rack_use)
        for view in self.shard(demand.selector).fitting_tasks(demand.resources):
            count = min(
                demand.count - len(chosen),
                times_fitting(demand.resources, view.free, demand.count),
                left_in_rack(demand, rack_use.get(view.rack, 0)),
            )
            chosen.extend(repeat(view.worker_id, count))
            rack_use[view.rack] = rack_use.get(view.rack, 0) + count
            if len(chosen) >= demand.count:
                break
        return chosen

    def feasible(self, resources: Resources, selector: Mapping[str, str]) -> bool:
        """Tell whether a known worker could hold this when empty."""
        return is_feasible(self.views.values(), resources, selector, self.matcher)

    def infeasible_reason(self, resources: Resources, selector: Mapping[str, str]) -> str:
        """Return which labels and dimensions rule out how many workers; '' if feasible."""
        return explain_infeasibility(self.views.values(), resources, selector, self.matcher)

    def shard(self, selector: Mapping[str, str]) -> Shard:
        """Return the workers that match a selector, and keep them for the next call."""
        if not selector:
            return self.unrestricted_shard
        name = tuple(sorted(selector.items()))
        if name not in self.shards:
            self.shards[name] = self.build_shard(name)
            if len(self.shards) > MAX_SHARDS:
                self.shards.popitem(last=False)
        self.shards.move_to_end(name)
        return self.shards[name]

    def build_shard(self, name: SelectorKey) -> Shard:
        """Collect the workers that match a selector."""
        shard = Shard()
        for view in self.views.values():
            if self.is_eligible(view, name):
                shard.update(view)
        return shard

    def is_eligible(self, view: WorkerView, name: SelectorKey) -> bool:
        """Tell whether a worker is in rotation and matches a selector."""
        if not view.in_rotation:
            return False
        return first_mismatch(dict(name), labels_of(view), self.matcher) is None

    def update_shards(self, view: WorkerView) -> None:
        """Replace a worker where it is known."""
        for shard in (self.unrestricted_shard, *self.shards.values()):
            if view.worker_id in shard.views:
                shard.update(view)

    def reindex(self, view: WorkerView) -> None:
        """Put a worker with new labels where it belongs."""
        for name, shard in (((), self.unrestricted_shard), *self.shards.items()):
            if self.is_eligible(view, name):
                shard.update(view)
            else:
                shard.remove(view.worker_id)


def has_same_labels(known: WorkerView, view: WorkerView) -> bool:
    """Tell whether no selector can match one view but not the other."""
    if known.in_rotation != view.in_rotation or known.rack != view.rack:
        return False
    return known.labels == view.labels


def times_fitting(need: Resources, free: Resources, most: int) -> int:
    """Return how many times a need fits into free resources, at most `most`."""
    pairs = (
        (need.cpu_milli, free.cpu_milli),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
        (need.slots, free.slots),
    )
    return min((available // wanted for wanted, available in pairs if wanted), default=most)


def left_in_rack(demand: Demand, used: int) -> int:
    """Return how many more tasks of the job a rack may take."""
    if not demand.spread:
        return demand.count
    return max(demand.spread - used, 0)
