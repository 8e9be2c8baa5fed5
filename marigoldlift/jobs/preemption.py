"""Choice of the tasks that give way to urgent work."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from marigoldlift.ids import JobId, Offset
from marigoldlift.jobs.job_table import JobTable
from marigoldlift.jobs.state import Job, Task, TaskPhase
from marigoldlift.journal.messages import JobKind
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import ZERO_RESOURCES, Resources

__all__ = ('URGENT_PRIORITY', 'Victim', 'Wanted', 'choose_victims')

#: Jobs of this priority and more may take the place of others.
URGENT_PRIORITY = 100


class Wanted(NamedTuple):
    """What an urgent job needs."""

    priority: int
    resources: Resources
    tasks: int


class Victim(NamedTuple):
    """A running attempt that may give way.

    Attributes:
        assigned_at: offset of its assignment; the later, the less work is lost.
    """

    priority: int
    assigned_at: Offset
    job_id: JobId
    task_index: int
    attempt: int
    resources: Resources

    def cost(self) -> tuple[int, int]:
        """Return what is lost with it: the lowest priority first, then the newest."""
        return self.priority, -self.assigned_at


class Room(msgspec.Struct):
    """What a worker would have free, and the victims that this takes.

    Attributes:
        free: with all that is stopping gone, and with the victims gone.
    """

    free: Resources
    victims: list[Victim]


def choose_victims(
    wanted: Wanted,
    workers: Iterable[WorkerView],
    jobs: JobTable,
    priorities: Mapping[JobId, int],
) -> list[Victim]:
    """Return the victims of least cost that make room for the tasks that do not fit yet.

    What is stopping already counts as free, so that a repeated call asks for no more victims
    while those of the first one are on their way out.

    Args:
        wanted: the urgent tasks.
        workers: workers that may hold them, whose `capacity` is read.
        jobs: all jobs of the failure domain.
        priorities: priority of each job whose tasks may give way.

    Returns:
        The victims; empty if there is room without them, or not enough even with them.
    """
    rooms = [room_on(view, wanted, jobs, priorities) for view in workers]
    chosen: list[Victim] = []
    for _ in range(wanted.tasks):
        best = cheapest(wanted, rooms)
        if best is None:
            return []
        chosen.extend(best.taken)
        best.room.free = best.free - wanted.resources
        best.room.victims = [victim for victim in best.room.victims if victim not in best.taken]
    return chosen


class Offer(NamedTuple):
    """A worker with the victims that make room for one task."""

    room: Room
    taken: list[Victim]
    free: Resources


def cheapest(wanted: Wanted, rooms: Iterable[Room]) -> Offer | None:
    """Return the offer of least cost, None when no worker can make room."""
    offers = filter(None, (offer_of(wanted, room) for room in rooms))
    return min(offers, key=cost_of, default=None)


def cost_of(offer: Offer) -> tuple[int, list[tuple[int, int]]]:
    """Return the cost of an offer: few victims, then cheap ones."""
    return len(offer.taken), [victim.cost() for victim in offer.taken]


def offer_of(wanted: Wanted, room: Room) -> Offer | None:
    """Take victims in order of cost until one task fits; None when it never does."""
    free = room.free
    taken: list[Victim] = []
    for victim in room.victims:
        if wanted.resources.fits_into(free):
            break
        free += victim.resources
        taken.append(victim)
    return Offer(room, taken, free) if wanted.resources.fits_into(free) else None


def room_on(
    view: WorkerView,
    wanted: Wanted,
    jobs: JobTable,
    priorities: Mapping[JobId, int],
) -> Room:
    """Return what a worker has free without what is stopping, and who may give way on it."""
    used = ZERO_RESOURCES
    victims: list[Victim] = []
    running = (
        live for live in jobs.assigned_to(view.worker_id) if live.task.phase is TaskPhase.assigned
    )
    for live in running:
        used += live.job.spec.resources
        priority = priorities.get(live.job.job_id)
        if priority is not None and priority < wanted.priority and gives_way(live.job):
            victims.append(victim_of(live.job, live.task_index, live.task, priority))
    return Room(view.capacity - used, sorted(victims, key=Victim.cost))


def gives_way(job: Job) -> bool:
    """Tell whether single tasks of a job may be stopped; a gang would lose all its work."""
    return job.spec.kind is JobKind.batch


def victim_of(job: Job, task_index: int, task: Task, priority: int) -> Victim:
    """Return a running attempt as a victim."""
    return Victim(
        priority,
        task.assigned_at,
        job.job_id,
        task_index,
        task.attempt,
        job.spec.resources,
    )
