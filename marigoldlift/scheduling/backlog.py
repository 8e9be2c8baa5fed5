"""Backlog of each service: how long its workers need for the work that waits for room."""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from operator import attrgetter

import msgspec

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.service_order import ServiceClass, service_class
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Backlog

__all__ = ('service_backlogs',)

MS_PER_S = 1000

#: Share of a resource below which the rest counts as too scattered to be used: large tasks leave about so much unused.
SCATTERED_SHARE = 0.2

#: Reasons for which a step does not wait for room, however full its service is.
OTHER_REASONS = frozenset(
    (
        PendingReason.no_worker,
        PendingReason.unreachable,
        PendingReason.cap,
        PendingReason.cap_unknown,
    )
)

#: Largest number of services whose backlog is reported; it is a part of each renewal of the leadership.
MAX_SERVICES = 32


#: Processor in thousandths of a core, memory in MB and accelerators, of a step, a worker or a table of runs.
RESOURCES = (attrgetter('cpu_m'), attrgetter('mem_mb'), attrgetter('gpus'))


class WaitingWork(msgspec.Struct, frozen=True):
    """Waiting tasks of one step.

    Attributes:
        tasks: number of the tasks.
        urgent: whether their queue has the highest priority.
    """

    step: Step
    tasks: int
    urgent: bool

    def amounts(self) -> Iterator[float]:
        """Yield the resource-seconds of the tasks; those that fill take no processor."""
        seconds = self.tasks * self.step.estimate_ms / MS_PER_S
        yield 0 if self.step.fills else self.step.cpu_m * seconds
        yield self.step.mem_mb * seconds
        yield self.step.gpus * seconds


def service_backlogs(
    waiting: Iterable[StepRun],
    reasons: Mapping[StepRun, PendingReason],
    sessions_of: Callable[[str], Iterable[WorkerSession]],
    now: float,
    wall_ms: float,
) -> dict[str, Backlog]:
    """Return how long all workers of a service need for what waits for room; those with a backlog only.

    A service has a backlog while too little is free of a resource that the waiting work needs. Left out are steps that
    run until they are cancelled, and what is so late that it is served after all other work.

    Args:
        waiting: steps with tasks to start.
        reasons: why steps were not placed in the last scheduling pass; those that it did not reach have none.
        sessions_of: returns the sessions with the usable workers of a service.
        now: time of the monotonic clock in seconds.
        wall_ms: Unix time in ms.
    """
    steps: dict[str, list[StepRun]] = {}
    for step in waiting:
        if reasons.get(step) not in OTHER_REASONS and is_waiting(step, wall_ms):
            rank = service_class(step, now, step.job.counted_since(step, now, wall_ms))
            if rank is not ServiceClass.worthless:
                steps.setdefault(step.job.submission.policy.service, []).append(step)
    backlogs = {
        service: backlog_of(list(waiting_work(found, wall_ms)), tuple(sessions_of(service)))
        for service, found in steps.items()
    }
    longest = sorted(backlogs, key=lambda service: -backlogs[service].total_s)[:MAX_SERVICES]
    return {service: backlogs[service] for service in longest if backlogs[service].total_s > 0}


def is_waiting(step: StepRun, wall_ms: float) -> bool:
    """Return whether a step waits to be started, and ends some time."""
    if step.step.long_running or step.job.outcome is not None or not step.todo:
        return False
    return step.job.is_runnable(step, wall_ms)


def waiting_work(steps: Iterable[StepRun], wall_ms: float) -> Iterator[WaitingWork]:
    """Yield the work of waiting steps, and that of the further occurrences of their submissions that are due.

    Args:
        steps: waiting steps.
        wall_ms: Unix time in ms.
    """
    jobs: dict[JobRun, None] = {}
    for step in steps:
        jobs[step.job] = None
        yield WaitingWork(step.step, len(step.todo), is_urgent(step.job))
    for job in jobs:
        for number, occurrences in job.queue.hidden(wall_ms).items():
            kind = job.submission.steps[number]
            if not kind.long_running:
                yield WaitingWork(kind, kind.count * occurrences, is_urgent(job))


def is_urgent(job: JobRun) -> bool:
    """Return whether the queue of a submission has the highest priority."""
    return job.submission.policy.priority == 0


def backlog_of(work: Sequence[WaitingWork], sessions: Sequence[WorkerSession]) -> Backlog:
    """Return the backlog of a service.

    Args:
        work: what waits.
        sessions: sessions with the usable workers.
    """
    urgent = [part for part in work if part.urgent]
    total_s = time_for(sum_work(work), sessions)
    return Backlog(time_for(sum_work(urgent), sessions) if urgent and total_s else 0, total_s)


def sum_work(work: Iterable[WaitingWork]) -> list[float]:
    """Return the work of all parts, by resource."""
    sums: list[float] = [0 for _ in RESOURCES]
    for part in work:
        for index, amount in enumerate(part.amounts()):
            sums[index] += amount
    return sums


def time_for(amounts: Sequence[float], sessions: Sequence[WorkerSession]) -> float:
    """Return how long all workers need for an amount of work, by the scarcest resource; 0 if there is room."""
    workers = [session.worker for session in sessions]
    tables = [session.run_table for session in sessions]
    longest_s: float = 0
    is_full = False
    for amount, resource in zip(amounts, RESOURCES, strict=True):
        capacity = sum(map(resource, workers))
        if amount and capacity:
            free = sum(unused for unused in map(resource, tables) if unused > 0)
            is_full |= free < capacity * SCATTERED_SHARE
            longest_s = max(longest_s, amount / capacity)
    return longest_s if is_full else 0
