"""Choice of workers for the tasks of one step."""

import itertools
from collections.abc import Callable, Mapping, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.worker_health import WorkerHealth
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step

__all__ = ('Placer', 'room_for')

#: How long a task waits for another worker than the one on which it has failed, in s.
AVOID_S = 2.5

#: Most tasks of one step that a count of room looks for.
ROOM_CEILING = 1000


def room_for(session: WorkerSession, step: Step) -> int:
    """Return how many tasks of a step fit into the free room of a worker."""
    rooms = [ROOM_CEILING]
    if step.cpu_m and not step.fills:
        rooms.append(session.room.cpu_m // step.cpu_m)
    if step.mem_mb:
        rooms.append(session.room.mem_mb // step.mem_mb)
    if step.gpus:
        rooms.append(session.room.gpus // step.gpus)
    return max(0, min(rooms))


class Placer:
    """Finds workers that can hold tasks of a step."""

    def __init__(
        self, health_records: Callable[[str], WorkerHealth], clock: Callable[[], float]
    ) -> None:
        """Start with what is known of the workers."""
        self.health_records = health_records
        self.clock = clock

    def room(self, session: WorkerSession, step_run: StepRun) -> int:
        """Return how many more tasks of the step the worker may take."""
        room = room_for(session, step_run.step)
        limit = step_run.step.spread_limit
        if room and limit:
            room = min(room, limit - session.room.tasks_of(step_run.task(0)))
        return max(0, room)

    def score(self, session: WorkerSession, step_run: StepRun) -> tuple[bool, bool, int]:
        """Return what makes a worker preferable; lower is better, and the fullest that fits comes first."""
        now = self.clock()
        suspect = self.health_records(session.worker.id).is_suspect(now)
        rack = step_run.step.data_rack
        return (suspect, bool(rack) and rack not in session.worker.labels, session.room.cpu_m)

    def place_one(
        self, step_run: StepRun, index: int, sessions: Sequence[WorkerSession], *, overdue: bool
    ) -> WorkerSession | None:
        """Return the worker for one task, None when none has room.

        Args:
            step_run: step of the task.
            index: which task of the step.
            sessions: workers to choose from.
            overdue: whether a worker on which the task has failed a moment ago is better than none.
        """
        failed_on = step_run.avoid.get(index, {})
        avoided = set() if overdue else self.avoided(failed_on)
        fitting = [
            session
            for session in sessions
            if session.worker.id not in avoided and self.room(session, step_run)
        ]
        return min(
            fitting,
            key=lambda session: (session.worker.id in failed_on, *self.score(session, step_run)),
            default=None,
        )

    def avoided(self, failed_on: Mapping[str, float]) -> set[str]:
        """Return the workers that a task does not take for now, after a failure of its own."""
        if not failed_on:
            return set()
        now = self.clock()
        if now - max(failed_on.values()) > AVOID_S:
            return set()
        return set(failed_on)

    def avoided_by_step(self, step_run: StepRun) -> set[str]:
        """Return the workers that a step does not take for now: all that a gang's members shun, else what all tasks do."""
        avoided = [self.avoided(step_run.avoid.get(index, {})) for index in step_run.todo]
        if not avoided:
            return set()
        return set.union(*avoided) if step_run.step.gang else set.intersection(*avoided)

    def place_gang(
        self, step_run: StepRun, sessions: Sequence[WorkerSession], *, overdue: bool
    ) -> list[WorkerSession] | None:
        """Return a worker for each task of a gang, None when they don't all fit at once.

        Args:
            step_run: step of the gang.
            sessions: workers to choose from.
            overdue: whether workers on which the gang has failed a moment ago are better than none.
        """
        avoided = set() if overdue else self.avoided_by_step(step_run)
        usable = [session for session in sessions if session.worker.id not in avoided]
        groups = self.racks(usable) if step_run.step.same_rack else []
        for group in (*groups, *self.failure_domains(usable), usable):
            places = self.fill(step_run, group)
            if places is not None:
                return places
        return None

    def racks(self, sessions: Sequence[WorkerSession]) -> list[list[WorkerSession]]:
        """Group workers by rack."""
        groups: dict[str, list[WorkerSession]] = {}
        for session in sessions:
            for label in session.worker.labels[1:]:
                groups.setdefault(label, []).append(session)
        return list(groups.values())

    def failure_domains(self, sessions: Sequence[WorkerSession]) -> list[list[WorkerSession]]:
        """Group workers by failure domain; a gang within one survives a cut between them."""
        groups: dict[str, list[WorkerSession]] = {}
        for session in sessions:
            groups.setdefault(session.worker.failure_domain, []).append(session)
        return list(groups.values())

    def fill(
        self, step_run: StepRun, sessions: Sequence[WorkerSession]
    ) -> list[WorkerSession] | None:
        """Take the sound workers with the most room first, so that few are needed."""
        needed = step_run.step.count
        now = self.clock()
        by_room = sorted(
            sessions,
            key=lambda holder: (
                self.health_records(holder.worker.id).is_suspect(now),
                -self.room(holder, step_run),
            ),
        )
        places: list[WorkerSession] = []
        for session in by_room:
            room = min(self.room(session, step_run), needed - len(places))
            places.extend(itertools.repeat(session, room))
        return places if len(places) == needed else None
