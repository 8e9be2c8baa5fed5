"""Whether the listed workers could hold the tasks of a step at all, however free they are.

What they cannot hold waits until others are listed. Meanwhile it takes no attempt, no question to the advice and no
reservation from the work that they can.
"""

from collections.abc import Iterator, Mapping

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step

__all__ = ('Capabilities',)


class Shape(msgspec.Struct, frozen=True):
    """What decides whether workers can hold the tasks of a step.

    Attributes:
        together: number of tasks that have to run at the same time.
        spread_limit: maximum number of them on one worker, 0 for no limit.
    """

    service: str
    cpu_m: int
    mem_mb: int
    gpus: int
    requires: str
    together: int
    spread_limit: int


class Capabilities:
    """Answers for each shape of step whether the listed workers can hold it, found out once in a scheduling pass.

    Attributes:
        workers: listed workers by key of their entry.
        by_service: ready workers of each service, the largest first; empty until a step asks.
        answers: answers of this pass.
    """

    def __init__(self, workers: Mapping[str, Worker]) -> None:
        """Answer for the workers of a list, which may change between two passes."""
        self.workers = workers
        self.by_service: dict[str, list[Worker]] = {}
        self.answers: dict[Shape, bool] = {}

    def begin_pass(self) -> None:
        """Forget the answers, since the list of workers may have changed."""
        self.by_service.clear()
        self.answers.clear()

    def can_hold(self, step: StepRun) -> bool:
        """Return whether the ready workers could hold a task of a step, or a whole gang, if nothing else ran on them."""
        shape = shape_of(step)
        known = self.answers.get(shape)
        if known is None:
            known = self.find(shape)
            self.answers[shape] = known
        return known

    def find(self, shape: Shape) -> bool:
        """Return whether enough workers are large enough, the largest first."""
        missing = shape.together
        for worker in self.of_service(shape.service):
            if worker.cpu_m < shape.cpu_m:
                return False
            missing -= tasks_on(worker, shape)
            if missing <= 0:
                return True
        return False

    def of_service(self, service: str) -> list[Worker]:
        """Return the ready workers of a service, those with the most processors first."""
        found = self.by_service.get(service)
        if found is None:
            found = sorted(self.ready(service), key=lambda worker: -worker.cpu_m)
            self.by_service[service] = found
        return found

    def ready(self, service: str) -> Iterator[Worker]:
        """Yield the ready workers of a service."""
        for worker in self.workers.values():
            if worker.ready and worker.service == service:
                yield worker


def shape_of(step: StepRun) -> Shape:
    """Return the shape of a step; tasks that fill take no processor."""
    kind: Step = step.step
    return Shape(
        service=step.job.submission.policy.service,
        cpu_m=0 if kind.fills else kind.cpu_m,
        mem_mb=kind.mem_mb,
        gpus=kind.gpus,
        requires=kind.requires,
        together=kind.count if kind.gang else 1,
        spread_limit=kind.spread_limit,
    )


def tasks_on(worker: Worker, shape: Shape) -> int:
    """Return how many tasks of a shape a worker holds if nothing else runs on it."""
    if shape.requires and shape.requires not in worker.labels:
        return 0
    tasks = shape.spread_limit or shape.together
    for capacity, demand in (
        (worker.cpu_m, shape.cpu_m),
        (worker.mem_mb, shape.mem_mb),
        (worker.gpus, shape.gpus),
    ):
        if demand:
            tasks = min(tasks, capacity // demand)
    return tasks
