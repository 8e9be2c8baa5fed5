"""Log lines that say why a step is not started."""

from collections.abc import Callable, Iterable

from loguru import logger

from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.tasks import StepRun

__all__ = ('WaitReport',)

#: Pause between two reports, in s, and most steps in one; this bounds the volume of the log.
REPORT_PACE_S = 2.0
MAX_REPORTED_STEPS = 5


class WaitReport:
    """Names the steps that have waited beyond their objective, and what they lack."""

    def __init__(self, placer: Placer, clock: Callable[[], float]) -> None:
        """Start without a report."""
        self.placer = placer
        self.clock = clock
        self.reported_at = clock()

    def is_due(self) -> bool:
        """Tell whether the next report is due."""
        return self.clock() - self.reported_at >= REPORT_PACE_S

    def report(self, waiting: Iterable[StepRun], pool_of: Callable[[str], Pool]) -> None:
        """Log the steps that have waited longest."""
        now = self.clock()
        self.reported_at = now
        late = [
            step for step in waiting if step.todo and now > step.job.since + step.job.objective_s
        ]
        late.sort(key=lambda step: step.job.since)
        for step in late[:MAX_REPORTED_STEPS]:
            self.explain(step, pool_of(step.job.submission.policy.service), now)

    def explain(self, step: StepRun, pool: Pool, now: float) -> None:
        """Log one step: what it waits for, by what is known."""
        usable = list(pool.fitting(step.step))
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
            sum(self.placer.room(session, step) for session in allowed or usable),
            len(step.old_places),
        )
