"""Speeds of failure domains, kinds of workers and single workers, learned from what their runs took beyond the expected.

Answers the load of uneven workers: a zone that takes twice as long, or a worker that turns slow and heals again. Nobody
announces either.
"""

import math
from collections.abc import Callable, Iterator

import msgspec

from marigoldlift.orders.api import Worker

__all__ = ('GroupSpeeds', 'Level', 'SpeedTable', 'kind_of', 'slowest_class', 'speed_class')

#: Largest deviation of one run from the expected time that counts, in doublings; longer tails say little of the worker.
MAX_STEP = 1.5

#: Runs of a group that the assumption of the common speed counts as.
PRIOR_RUNS = 6

#: Runs after which the newest count as much as all earlier ones: few for a worker, which may change at any time.
GROUP_MEMORY = 96
WORKER_MEMORY = 8

#: Time in which what is known of a worker without further ends loses half of its weight, in s; so a worker that was slow,
#: and is avoided, is tried again.
WORKER_HALF_LIFE_S = 10

#: Classes of speed for each doubling; differences within a class are noise, and must not loosen the packing.
CLASSES_PER_DOUBLING = 2

#: Groups kept of each sort; the one that was updated least recently is forgotten beyond them.
MAX_GROUPS = 64
MAX_WORKERS = 10_000


class Level(msgspec.Struct):
    """Speed of one group: 0 is the common speed, 1 means twice the time.

    Attributes:
        doublings: mean deviation in doublings.
        runs: runs that have counted, by their weight.
        updated_at: time of the newest one, in seconds of the monotonic clock.
    """

    doublings: float
    runs: float
    updated_at: float


class GroupSpeeds:
    """Levels of the groups of one sort.

    Attributes:
        levels: levels by name; the least recently updated one comes first.
    """

    def __init__(self, memory: int, most: int) -> None:
        """Start without groups.

        Args:
            memory: number of runs after which the newest count as much as all earlier ones.
            most: number of groups kept.
        """
        self.memory = memory
        self.most = most
        self.levels: dict[str, Level] = {}

    def get(self, name: str) -> float:
        """Return the deviation of a group in doublings, 0 for an unknown one."""
        level = self.levels.get(name)
        return level.doublings if level else 0

    def note(self, name: str, deviation: float, weight: float, now: float) -> float:
        """Add the deviation of a run and return what remains of it unexplained.

        Args:
            name: name of the group.
            deviation: deviation of the run from the expected time, in doublings.
            weight: weight of the run, at most 1.
            now: time of the monotonic clock in seconds.
        """
        level = self.levels.pop(name, None) or Level(0, 0, now)
        self.put(name, level)
        level.updated_at = now
        level.runs = min(level.runs + weight, self.memory)
        surprise = min(max(deviation - level.doublings, -MAX_STEP), MAX_STEP)
        level.doublings += surprise * weight / (level.runs + PRIOR_RUNS)
        return deviation - level.doublings

    def put(self, name: str, level: Level) -> None:
        """Keep a level, and forget the least recently updated one if there are too many."""
        self.levels[name] = level
        if len(self.levels) > self.most:
            self.levels.pop(next(iter(self.levels)))

    def common(self) -> float:
        """Return the level of the median group; of two, that of the faster one."""
        ordered = sorted(level.doublings for level in self.levels.values())
        return ordered[(len(ordered) - 1) // 2] if ordered else 0


class SpeedTable:
    """Slowness of workers, as the sum of what is learned of their failure domain, their kind and themselves.

    Attributes:
        common: level of a worker of the common speed, in doublings.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with all workers equal.

        Args:
            clock: monotonic clock in seconds.
        """
        self.clock = clock
        self.failure_domains = GroupSpeeds(GROUP_MEMORY, MAX_GROUPS)
        self.kinds = GroupSpeeds(GROUP_MEMORY, MAX_GROUPS)
        self.workers = GroupSpeeds(WORKER_MEMORY, MAX_WORKERS)
        self.common: float = 0

    def rebase(self) -> None:
        """Take the speed of the median failure domain, kind and worker for the common one."""
        groups = (self.failure_domains, self.kinds, self.workers)
        self.common = sum(sort.common() for sort in groups)

    def note(self, worker: Worker, deviation: float, weight: float) -> None:
        """Add a run.

        Args:
            worker: worker of the run.
            deviation: log2 of its time in relation to the one expected on a worker of the common speed.
            weight: weight of the run, at most 1; less for work whose times vary much.
        """
        now = self.clock()
        rest = self.failure_domains.note(worker.failure_domain, deviation, weight, now)
        rest = self.kinds.note(kind_of(worker), rest, weight, now)
        self.fade(worker.id, now)
        self.workers.note(worker.id, rest, weight, now)

    def fade(self, name: str, now: float) -> None:
        """Let the runs of a worker count less the longer ago its newest one has ended."""
        level = self.workers.levels.get(name)
        if level is not None:
            remaining = math.exp2((level.updated_at - now) / WORKER_HALF_LIFE_S)
            level.doublings *= remaining
            level.runs *= remaining

    def doublings(self, worker: Worker) -> float:
        """Return the slowness of a worker in doublings; 0 for the common speed."""
        shared = self.failure_domains.get(worker.failure_domain) - self.common
        shared += self.kinds.get(kind_of(worker))
        level = self.workers.levels.get(worker.id)
        if level is None:
            return shared
        age_s = self.clock() - level.updated_at
        return shared + level.doublings * math.exp2(-age_s / WORKER_HALF_LIFE_S)

    def factors(self) -> Iterator[tuple[str, float]]:
        """Yield the failure domains and by which factor they are slower than the common speed."""
        common = self.failure_domains.common()
        for name, level in self.failure_domains.levels.items():
            yield name, math.exp2(level.doublings - common)


def kind_of(worker: Worker) -> str:
    """Return the kind of a worker, its first label."""
    return worker.labels[0] if worker.labels else ''


def speed_class(slowness: float) -> int:
    """Return the class of speed of a worker: 0 for the common one, above 0 for slower ones."""
    return round(math.log2(slowness) * CLASSES_PER_DOUBLING)


def slowest_class(task_s: float, left_s: float) -> int | None:
    """Return the slowest class on which a task is done within a time, None if it is on none.

    Args:
        task_s: time of the task on a worker of the common speed, in s.
        left_s: time that is left, in s.
    """
    if task_s <= 0 or left_s <= 0:
        return None
    return math.floor(math.log2(left_s / task_s) * CLASSES_PER_DOUBLING)
