"""Log lines that explain why steps have not been started."""

from collections.abc import Callable, Iterable

from loguru import logger

from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.tasks import StepRun

__all__ = ('WaitReport',)

#: Time between two reports, in s, and maximum number of steps in one; both limit the volume of the log.
REPORT_INTERVAL_S = 2.0
MAX_REPORTED_STEPS = 5


class WaitReport:
    """Logs the steps that have waited longer than their objective, and what they are waiting for."""

    def __init__(self, placer: Placer, clock: Callable[[], float]) -> None:
        """Schedule the first report after one interval."""
        self.placer = placer
        self.clock = clock
        self.reported_at = clock()

    def is_due(self) -> bool:
        """Return whether the next report is due."""
        return self.clock() - self.reported_at >= REPORT_INTERVAL_S

    def report(self, waiting: Iterable[StepRun], pool_of: Callable[[str], Pool]) -> None:
        """Log the steps that have waited longest beyond their objective.

        Args:
            waiting: steps that are due.
            pool_of: returns the workers of a service that may get new tasks.
        """
        now = self.clock()
        self.reported_at = now
        late = [
            step for step in waiting if step.todo and now > step.job.since + step.job.objective_s
        ]
        late.sort(key=lambda step: step.job.since)
        for step in late[:MAX_REPORTED_STEPS]:
            self.explain(step, pool_of(step.job.submission.policy.service), now)

    def explain(self, step: StepRun, pool: Pool, now: float) -> None:
        """Log the tasks, tickets and free capacity of one step."""
        usable = list(pool.eligible(step.step))
        allowed = [session for session in usable if step.tickets.get(session.worker.id)]
        valid = [session for session in allowed if step.holds_ticket(session.worker.id, now)]
        logger.info(
            'step waits: step={} age_s={:.1f} todo={} active={} gang={} asking={} asked={} usable={} allowed={} valid={}'
            ' room={} old_places={}',
            step.name,
            now - step.job.since,
            len(step.todo),
            len(step.active),
            step.step.gang,
            step.ask_after > now,
            len(step.tickets),
            len(usable),
            len(allowed),
            len(valid),
            sum(self.placer.placeable_tasks(session, step) for session in allowed or usable),
            len(step.old_places),
        )
