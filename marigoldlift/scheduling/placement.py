"""Selection of workers for the tasks of a step."""

import itertools
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.runtimes.api import EstimatesAlone, ExpectedTimes
from marigoldlift.runtimes.decisions import speed_rank
from marigoldlift.runtimes.speeds import slowest_class
from marigoldlift.scheduling.worker_health import WorkerHealth
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step

__all__ = ('Placer', 'fitting_tasks')

MS_PER_S = 1000

#: How long a task avoids the workers on which it has failed, counted from its last failure, in s.
AVOID_S = 2.5

#: Upper bound for the number of tasks of one step that are counted as fitting on a worker.
MAX_COUNTED_TASKS = 1000


def fitting_tasks(session: WorkerSession, step: Step) -> int:
    """Return how many tasks of a step fit into the free capacity of a worker."""
    free = session.run_table
    tasks = MAX_COUNTED_TASKS
    if step.cpu_m and not step.fills:
        tasks = min(tasks, free.cpu_m // step.cpu_m)
    if step.mem_mb:
        tasks = min(tasks, free.mem_mb // step.mem_mb)
    if step.gpus:
        tasks = min(tasks, free.gpus // step.gpus)
    return max(0, tasks)


class Placer:
    """Selects workers with enough free capacity for the tasks of a step.

    Attributes:
        times: expected run times and speeds of workers.
        is_tight: whether little of the service is free, so that tasks that have time leave the fast workers to others.
    """

    def __init__(
        self,
        health_of: Callable[[str], WorkerHealth],
        clock: Callable[[], float],
        times: ExpectedTimes | None = None,
    ) -> None:
        """Keep the health records and the clock.

        Args:
            health_of: returns the failure record of a worker id.
            clock: monotonic clock in seconds.
            times: expected run times and speeds of workers; None for the estimates alone.
        """
        self.health_of = health_of
        self.clock = clock
        self.times: ExpectedTimes = times or EstimatesAlone()
        self.is_tight = False

    def placeable_tasks(self, session: WorkerSession, step_run: StepRun) -> int:
        """Return how many more tasks of the step the worker may get, by free capacity and spread limit."""
        tasks = fitting_tasks(session, step_run.step)
        limit = step_run.step.spread_limit
        if tasks and limit:
            tasks = min(tasks, limit - session.run_table.tasks_of(step_run.task(0)))
        return max(0, tasks)

    def room(
        self, step_run: StepRun, sessions: Iterable[WorkerSession]
    ) -> dict[WorkerSession, int]:
        """Return how many more tasks of the step each worker may get, without those that may get none."""
        tasks = {session: self.placeable_tasks(session, step_run) for session in sessions}
        return {session: count for session, count in tasks.items() if count}

    def score(
        self, session: WorkerSession, step_run: StepRun, slowest: int | None = None
    ) -> tuple[bool, bool, int, int]:
        """Return the sort key of a worker; the lowest is preferred.

        Healthy workers come before suspect ones, then workers in the rack of the data, then those of the right speed, then
        those with the least free CPU, so that tasks are packed tightly.

        Args:
            session: session with the worker.
            step_run: step to place.
            slowest: what `slowest_in_time` returns for the step.
        """
        now = self.clock()
        suspect = self.health_of(session.worker.id).is_suspect(now)
        rack = step_run.step.data_rack
        return (
            suspect,
            bool(rack) and rack not in session.worker.labels,
            speed_rank(self.times.speed_class(session.worker), slowest),
            session.run_table.cpu_m,
        )

    def slowest_in_time(self, step_run: StepRun) -> int | None:
        """Return the slowest class of workers on which a task is in time if it shall leave faster ones free, else None."""
        job = step_run.job
        if not self.is_tight or job.is_urgent or step_run.step.gang or step_run.step.long_running:
            return None
        left_s = job.slack_s(step_run, self.clock(), time.time() * MS_PER_S)
        return slowest_class(job.safe_s[step_run.number], left_s)

    def place_one(
        self, step_run: StepRun, index: int, sessions: Sequence[WorkerSession], *, overdue: bool
    ) -> WorkerSession | None:
        """Return the worker for one task, None if none has enough free capacity.

        Args:
            step_run: step of the task.
            index: index of the task within the step.
            sessions: workers to choose from.
            overdue: whether workers on which the task has failed recently may be used as well.
        """
        failed_on = step_run.avoid.get(index, {})
        avoided = set() if overdue else self.avoided(failed_on)
        slowest = self.slowest_in_time(step_run)
        fitting = [
            session
            for session in sessions
            if session.worker.id not in avoided and self.placeable_tasks(session, step_run)
        ]
        return min(
            fitting,
            key=lambda session: (
                session.worker.id in failed_on,
                *self.score(session, step_run, slowest),
            ),
            default=None,
        )

    def avoided(self, failed_on: Mapping[str, float]) -> set[str]:
        """Return the workers that a task currently avoids because it has failed there.

        Args:
            failed_on: times of the task's failures by worker, in seconds of the monotonic clock.
        """
        if not failed_on:
            return set()
        now = self.clock()
        if now - max(failed_on.values()) > AVOID_S:
            return set()
        return set(failed_on)

    def avoided_by_step(self, step_run: StepRun) -> set[str]:
        """Return the workers that a step currently avoids.

        A gang avoids every worker that one of its members avoids; any other step only those that all waiting tasks
        avoid.
        """
        avoided = [self.avoided(step_run.avoid.get(index, {})) for index in step_run.todo]
        if not avoided:
            return set()
        return set.union(*avoided) if step_run.step.gang else set.intersection(*avoided)

    def place_gang(
        self, step_run: StepRun, sessions: Sequence[WorkerSession], *, overdue: bool
    ) -> list[WorkerSession] | None:
        """Return a worker for each task of a gang, None if they don't all fit at once.

        Tries single racks first if the step asks for one, then single failure domains, then all workers together.

        Args:
            step_run: step of the gang.
            sessions: workers to choose from.
            overdue: whether workers on which the gang has failed recently may be used as well.
        """
        avoided = set() if overdue else self.avoided_by_step(step_run)
        usable = [session for session in sessions if session.worker.id not in avoided]
        if not self.has_room(step_run, usable):
            return None
        for group in self.gang_groups(step_run, usable):
            places = self.pack(step_run, group)
            if places is not None:
                return places
        return None

    def gang_groups(
        self, step_run: StepRun, usable: Sequence[WorkerSession]
    ) -> Iterator[Sequence[WorkerSession]]:
        """Yield the groups of workers to try for a gang, the best first.

        A gang is as slow as its slowest member, so that fast workers of all failure domains come before slow ones of a
        single domain.
        """
        classes = [self.times.speed_class(session.worker) for session in usable]
        by_speed = [
            [session for session, own in zip(usable, classes, strict=True) if own <= slowest]
            for slowest in sorted(set(classes))
        ]
        if step_run.step.same_rack:
            yield from itertools.chain.from_iterable(map(self.group_by_rack, by_speed))
        for fast in by_speed:
            if self.has_room(step_run, fast):
                yield from self.group_by_failure_domain(fast)
                yield fast

    def has_room(self, step_run: StepRun, sessions: Iterable[WorkerSession]) -> bool:
        """Return whether all tasks of a step fit at once; stops counting as soon as they do."""
        missing = step_run.step.count
        for session in sessions:
            missing -= self.placeable_tasks(session, step_run)
            if missing <= 0:
                return True
        return False

    def group_by_rack(self, sessions: Sequence[WorkerSession]) -> list[list[WorkerSession]]:
        """Group workers by rack: by each of their labels after the first."""
        groups: dict[str, list[WorkerSession]] = {}
        for session in sessions:
            for label in session.worker.labels[1:]:
                groups.setdefault(label, []).append(session)
        return list(groups.values())

    def group_by_failure_domain(
        self, sessions: Sequence[WorkerSession]
    ) -> list[list[WorkerSession]]:
        """Group workers by failure domain; a gang within one domain survives a network partition between domains."""
        groups: dict[str, list[WorkerSession]] = {}
        for session in sessions:
            groups.setdefault(session.worker.failure_domain, []).append(session)
        return list(groups.values())

    def pack(
        self, step_run: StepRun, sessions: Sequence[WorkerSession]
    ) -> list[WorkerSession] | None:
        """Return a worker for each task of a gang, None if they don't all fit.

        Healthy workers come first, then fast ones, since a gang is as slow as its slowest member, and among them those that
        can hold the most tasks, so that the gang uses few workers.
        """
        needed = step_run.step.count
        now = self.clock()
        by_capacity = sorted(
            sessions,
            key=lambda candidate: (
                self.health_of(candidate.worker.id).is_suspect(now),
                self.times.speed_class(candidate.worker),
                -self.placeable_tasks(candidate, step_run),
            ),
        )
        places: list[WorkerSession] = []
        for session in by_capacity:
            tasks = min(self.placeable_tasks(session, step_run), needed - len(places))
            places.extend(itertools.repeat(session, tasks))
        return places if len(places) == needed else None
