"""Which workers of a service are ruled out for a step, and by what."""

from collections import Counter
from collections.abc import Callable, Iterable

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.explanation import Ruling
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.tasks import StepRun

__all__ = ('count_rulings',)

Check = Callable[['RulingChecks', WorkerSession], bool]


class RulingChecks:
    """Answers for one step what rules a worker out.

    Attributes:
        now: time of the monotonic clock in seconds.
        recorded: ids of the workers that are listed and recorded.
        answering: sessions with workers that get new tasks, quarantined ones included.
        usable: sessions with workers that get new tasks of this step.
        avoided: ids of the workers on which the step has failed recently.
        is_first: whether the step may use reserved workers.
    """

    def __init__(self, planner: Planner, step: StepRun) -> None:
        """Look up the workers in the planner's present pass."""
        self.planner = planner
        self.step = step
        self.now = planner.clock()
        sessions = planner.session_manager
        service = step.job.submission.policy.service
        overdue = planner.pending.is_overdue(step)
        self.recorded = sessions.registry.workers.keys() & sessions.records.recorded
        self.answering = set(sessions.usable(service, include_quarantined=True))
        self.usable = set(planner.pool(service, include_quarantined=overdue).sessions.values())
        self.avoided = set() if overdue else planner.placer.avoided_by_step(step)
        self.is_first = overdue or step.job.is_urgent

    def is_silent(self, session: WorkerSession) -> bool:
        """Return whether a worker does not answer at present, or has not listed all earlier runs."""
        return not session.knows_earlier_runs() or not session.answers()

    def lacks_label(self, session: WorkerSession) -> bool:
        """Return whether a worker lacks the label that the step requires."""
        required = self.step.step.requires
        return bool(required) and required not in session.worker.labels

    def is_denied(self, session: WorkerSession) -> bool:
        """Return whether the advice has denied a worker."""
        return self.needs_ticket(session) and not self.step.tickets.get(session.worker.id, True)

    def needs_ticket(self, session: WorkerSession) -> bool:
        """Return whether the step needs a ticket for a worker and holds none."""
        return self.step.uses_tickets and not self.step.holds_ticket(session.worker.id, self.now)

    def is_reserved(self, session: WorkerSession) -> bool:
        """Return whether a worker is reserved for a gang."""
        return not self.is_first and session.worker.id in self.planner.reserved

    def lacks(self, session: WorkerSession, resource: str) -> bool:
        """Return whether a worker has less of a resource free than a task needs."""
        needed = getattr(self.step.step, resource)
        return bool(needed) and getattr(session.run_table, resource) < needed

    def lacks_cpu(self, session: WorkerSession) -> bool:
        """Return whether a worker lacks processor time; tasks that fill need none."""
        return not self.step.step.fills and self.lacks(session, 'cpu_m')


#: What rules a worker out; the first that applies is reported.
CHECKS: tuple[tuple[Ruling, Check], ...] = (
    (Ruling.draining, lambda checks, session: not session.worker.ready),
    (Ruling.unlisted, lambda checks, session: session.worker.id not in checks.recorded),
    (Ruling.not_answering, RulingChecks.is_silent),
    (Ruling.paused, lambda checks, session: session not in checks.answering),
    (Ruling.quarantined, lambda checks, session: session not in checks.usable),
    (Ruling.label, RulingChecks.lacks_label),
    (Ruling.advice_denied, RulingChecks.is_denied),
    (Ruling.no_ticket, RulingChecks.needs_ticket),
    (Ruling.reserved, RulingChecks.is_reserved),
    (
        Ruling.start_limit,
        lambda checks, session: not checks.planner.starter.limits.accepts(session),
    ),
    (Ruling.failed_there, lambda checks, session: session.worker.id in checks.avoided),
    (Ruling.cpu, RulingChecks.lacks_cpu),
    (Ruling.memory, lambda checks, session: checks.lacks(session, 'mem_mb')),
    (Ruling.accelerators, lambda checks, session: checks.lacks(session, 'gpus')),
    (
        Ruling.spread_limit,
        lambda checks, session: not checks.planner.placer.placeable_tasks(session, checks.step),
    ),
)


def count_rulings(
    planner: Planner, step: StepRun, chosen: Iterable[WorkerSession]
) -> dict[str, int]:
    """Return how many workers of the service each ruling applies to.

    Args:
        planner: planner in whose pass the step was tried.
        step: the step.
        chosen: workers that would get tasks of it, which are not counted.
    """
    checks = RulingChecks(planner, step)
    service = step.job.submission.policy.service
    left = set(planner.session_manager.sessions.values()).difference(chosen)
    rulings = Counter(
        ruling_of(checks, session) for session in left if session.worker.service == service
    )
    return {ruling.value: rulings[ruling] for ruling in Ruling if rulings[ruling]}


def ruling_of(checks: RulingChecks, session: WorkerSession) -> Ruling:
    """Return the first ruling that applies to a worker."""
    for ruling, applies in CHECKS:
        if applies(checks, session):
            return ruling
    return Ruling.none
