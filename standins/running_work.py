"""Running tasks and requests of a worker, ordered by their planned ends."""

import heapq
import math

from marigoldlift.ids import TaskId

from standins.work import Work

__all__ = ('RunningWork',)


class RunningWork:
    """Running work by id, and all ids started in this incarnation.

    Attributes:
        by_id: all running work.
        leased: number of running tasks, which are stopped when the task lease expires.
        started_ids: ids started in this incarnation.
    """

    def __init__(self) -> None:
        """Initialize without work."""
        self.by_id: dict[TaskId, Work] = {}
        self.leased = 0
        self.started_ids: set[TaskId] = set()
        self.ends: list[tuple[float, TaskId]] = []

    def add(self, work: Work) -> None:
        """Add work that has just started."""
        self.started_ids.add(work.task_id)
        self.by_id[work.task_id] = work
        self.leased += work.leased
        if work.ends_s < math.inf:
            heapq.heappush(self.ends, (work.ends_s, work.task_id))

    def remove(self, work: Work) -> None:
        """Remove work that has ended."""
        self.by_id.pop(work.task_id)
        self.leased -= work.leased

    def next_end_s(self) -> float:
        """Return the time of the next planned end; infinite when there is none."""
        while self.ends and self.ends[0][1] not in self.by_id:
            heapq.heappop(self.ends)
        return self.ends[0][0] if self.ends else math.inf

    def next_ending(self) -> Work:
        """Return the work with the next planned end; there must be one."""
        return self.by_id[self.ends[0][1]]

    def all_leased(self) -> list[Work]:
        """Return all running work that is stopped when the task lease expires."""
        return [work for work in self.by_id.values() if work.leased]
