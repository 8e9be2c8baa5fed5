"""Workers grouped by free capacity into buckets, which a search can skip as a whole.

Free processors and memory are mapped to logarithmic levels; accelerators and slots are levels
themselves. A bucket holds the workers with the same level in each dimension, so the number of
buckets does not grow with the number of workers. Work cannot fit on a worker that has a lower
level than the needed resources in any dimension.
"""

from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict, SortedKeyList

from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import Resources

__all__ = ('Bucket', 'CapacityLevels', 'level_of')

#: Width of the lowest level of each dimension; the widths of higher levels double.
CPU_UNIT_MILLI = 250
MEMORY_UNIT_MB = 256

#: Levels of the four dimensions; buckets are searched in ascending order.
Bucket = tuple[int, int, int, int]


def level_of(amount: int, unit: int) -> int:
    """Return the logarithmic level of an amount; it never decreases as the amount grows."""
    return (max(amount, 0) // unit).bit_length()


def cpu_level(resources: Resources) -> int:
    """Return the level of the processor capacity."""
    return level_of(resources.cpu_milli, CPU_UNIT_MILLI)


def memory_level(resources: Resources) -> int:
    """Return the level of the memory capacity."""
    return level_of(resources.memory_mb, MEMORY_UNIT_MB)


class CapacityLevels:
    """Sorted index of workers by bucket.

    Attributes:
        bucket_of: function that maps free resources to a bucket.
        order: sort key of the workers within a bucket.
        buckets: workers by bucket, in search order.
    """

    def __init__(
        self,
        bucket_of: Callable[[Resources], Bucket],
        order: Callable[[WorkerView], tuple],
    ) -> None:
        """Start empty."""
        self.bucket_of = bucket_of
        self.order = order
        self.buckets: SortedDict = SortedDict()

    def add(self, view: WorkerView) -> None:
        """Add a worker that is not yet in the index."""
        bucket = self.bucket_of(view.free)
        if bucket not in self.buckets:
            self.buckets[bucket] = SortedKeyList(key=self.order)
        self.buckets[bucket].add(view)

    def discard(self, view: WorkerView) -> None:
        """Remove a worker; the view must equal the one that was added."""
        bucket = self.bucket_of(view.free)
        views = self.buckets[bucket]
        views.remove(view)
        if not views:
            self.buckets.pop(bucket)

    def candidates(self, first: Bucket | None = None) -> Iterator[tuple[Bucket, SortedKeyList]]:
        """Yield buckets in search order from `first` on; the index must not change meanwhile."""
        for bucket in self.buckets.irange(minimum=first):
            yield bucket, self.buckets[bucket]
