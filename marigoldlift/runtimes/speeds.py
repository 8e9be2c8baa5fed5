"""Speeds of failure domains, kinds of workers and single workers, learned from what their runs took beyond the expected.

Answers the load of uneven workers: a zone that takes twice as long, or a worker that turns slow and heals again. Nobody
announces either.
"""

import math
from collections.abc import Callable, Iterator

import msgspec

from marigoldlift.orders.api import Worker

__all__ = ('GroupSpeeds', 'Level', 'SpeedTable', 'kind_of', 'slowest_class', 'speed_class')

#: Largest deviation of one run from what is known of its group or its worker that counts, in doublings: a few slow workers
#: must not make their whole group slow, and a run in a long tail says little of its worker.
MAX_GROUP_STEP = 0.5
MAX_WORKER_STEP = 1.5

#: Runs of a group that the assumption of the common speed counts as.
PRIOR_RUNS = 3

#: Largest weight of the earlier runs of a group and of a worker.
GROUP_MEMORY = 256
WORKER_MEMORY = 32

#: Deviation of a run that is a surprise, in doublings, and number of surprises in the same direction after which a worker
#: has changed: its earlier runs hardly count any more.
SURPRISE = 0.8
SURPRISES = 3
CHANGED_RUNS = 1

#: Time without further ends in which the slowness of a slow worker is halved, in s; so one that is avoided is tried again.
SLOW_HALF_LIFE_S = 20

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
        surprises: number of the newest runs that were all surprises in the same direction; negative for faster ones.
    """

    doublings: float
    runs: float
    updated_at: float
    surprises: int = 0

    def note_surprise(self, surprise: float) -> None:
        """Count a surprise, and forget most of the earlier runs if the worker has changed."""
        direction = 0 if abs(surprise) < SURPRISE else int(math.copysign(1, surprise))
        self.surprises = self.surprises * int(self.surprises * direction > 0) + direction
        if abs(self.surprises) >= SURPRISES:
            self.surprises = 0
            self.runs = min(self.runs, CHANGED_RUNS)


class GroupSpeeds:
    """Levels of the groups of one sort.

    Attributes:
        levels: levels by name; the least recently updated one comes first.
    """

    def __init__(
        self, memory: int, most: int, max_step: float, *, may_change: bool = False
    ) -> None:
        """Start without groups.

        Args:
            memory: number of runs after which the newest count as much as all earlier ones.
            most: number of groups kept.
            max_step: largest deviation of one run that counts, in doublings.
            may_change: whether surprises in the same direction mean that a group has changed.
        """
        self.memory = memory
        self.most = most
        self.max_step = max_step
        self.may_change = may_change
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
        surprise = deviation - level.doublings
        if self.may_change:
            level.note_surprise(surprise)
        level.runs = min(level.runs + weight, self.memory)
        step = min(max(surprise, -self.max_step), self.max_step)
        level.doublings += step * weight / (level.runs + PRIOR_RUNS)
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
        common_group: level of the common failure domain and kind, in doublings.
        common_worker: level of the common worker beside that.
        fastest_class: class of speed of the fastest worker.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with all workers equal.

        Args:
            clock: monotonic clock in seconds.
        """
        self.clock = clock
        self.failure_domains = GroupSpeeds(GROUP_MEMORY, MAX_GROUPS, MAX_GROUP_STEP)
        self.kinds = GroupSpeeds(GROUP_MEMORY, MAX_GROUPS, MAX_GROUP_STEP)
        self.workers = GroupSpeeds(WORKER_MEMORY, MAX_WORKERS, MAX_WORKER_STEP, may_change=True)
        self.common_group: float = 0
        self.common_worker: float = 0
        self.fastest_class = 0

    def rebase(self) -> None:
        """Take the speed of the median failure domain, kind and worker for the common one."""
        self.common_group = self.failure_domains.common() + self.kinds.common()
        self.common_worker = self.workers.common()
        lowest = min((level.doublings for level in self.workers.levels.values()), default=0)
        self.fastest_class = math.floor((lowest - self.common_worker) * CLASSES_PER_DOUBLING)

    def fastest(self) -> float:
        """Return the slowness of the fastest worker, by its class."""
        return math.exp2(self.fastest_class / CLASSES_PER_DOUBLING)

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
        name = incarnation_of(worker)
        known = self.workers.levels.get(name)
        if known is not None:
            known.doublings = self.faded(known, now)
        self.workers.note(name, rest, weight, now)

    def faded(self, level: Level, now: float) -> float:
        """Return the deviation of a worker; that of a slow one fades while no run of it ends."""
        excess = level.doublings - self.common_worker
        if excess <= 0:
            return level.doublings
        age_s = now - level.updated_at
        return self.common_worker + excess * math.exp2(-age_s / SLOW_HALF_LIFE_S)

    def doublings(self, worker: Worker) -> float:
        """Return the slowness of a worker in doublings; 0 for the common speed."""
        level = self.workers.levels.get(incarnation_of(worker))
        own = self.faded(level, self.clock()) if level else self.common_worker
        shared = self.failure_domains.get(worker.failure_domain) + self.kinds.get(kind_of(worker))
        return shared - self.common_group + own - self.common_worker

    def factors(self) -> Iterator[tuple[str, float]]:
        """Yield the failure domains and by which factor they are slower than the common speed."""
        common = self.failure_domains.common()
        for name, level in self.failure_domains.levels.items():
            yield name, math.exp2(level.doublings - common)


def kind_of(worker: Worker) -> str:
    """Return the kind of a worker, its first label."""
    return worker.labels[0] if worker.labels else ''


def incarnation_of(worker: Worker) -> str:
    """Return the name of one incarnation of a worker; the next one may have another speed."""
    return f'{worker.id}/{worker.born_ms}'


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
    doublings = math.log2(left_s) - math.log2(task_s)
    return math.floor(doublings * CLASSES_PER_DOUBLING)
