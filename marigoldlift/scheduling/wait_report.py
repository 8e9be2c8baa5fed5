"""Log lines that explain why steps have not been started."""

from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.tasks import PendingReason, StepRun

__all__ = ('WaitReport',)

#: Time between two reports, in s, and maximum number of steps in one; both limit the volume of the log.
REPORT_INTERVAL_S = 2.0
MAX_REPORTED_STEPS = 5

#: Time for which nothing of a submission runs although its turn has come from which its step is reported, in s; the platform's
#: rules count a submission as lost after 3 s if there is room.
LONG_IDLE_S = 3.0


class WaitReport:
    """Logs the steps that have waited longer than their objective or have long been idle, and what they are waiting for.

    Attributes:
        idle_since: returns since when a step has been idle, in seconds of the monotonic clock.
        reasons: why steps were not placed in the last pass.
        reported_at: time of the last report, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        placer: Placer,
        clock: Callable[[], float],
        idle_since: Callable[[StepRun], float | None],
        reasons: Mapping[StepRun, PendingReason],
    ) -> None:
        """Schedule the first report after one interval.

        Args:
            placer: counts how many tasks fit on a worker.
            clock: monotonic clock in seconds.
            idle_since: returns since when a step has been idle, None if it is not.
            reasons: why steps were not placed in the last pass.
        """
        self.placer = placer
        self.clock = clock
        self.idle_since = idle_since
        self.reasons = reasons
        self.reported_at = clock()

    def is_due(self) -> bool:
        """Return whether the next report is due."""
        return self.clock() - self.reported_at >= REPORT_INTERVAL_S

    def report(self, waiting: Iterable[StepRun], pool_of: Callable[[str], Pool]) -> None:
        """Log the steps that have been idle for longest, and those that have waited longest beyond their objective.

        Args:
            waiting: steps with tasks to start.
            pool_of: returns the workers of a service that may get new tasks.
        """
        now = self.clock()
        self.reported_at = now
        reported = [step for step in waiting if step.todo and self.is_reported(step, now)]
        reported.sort(key=lambda step: (-self.idle_s(step, now), step.job.since))
        for step in reported[:MAX_REPORTED_STEPS]:
            self.explain(step, pool_of(step.job.submission.policy.service), now)

    def is_reported(self, step: StepRun, now: float) -> bool:
        """Return whether a step has long been idle, or its submission is late."""
        is_late = now > step.job.since + step.job.objective_s
        return is_late or self.idle_s(step, now) >= LONG_IDLE_S

    def idle_s(self, step: StepRun, now: float) -> float:
        """Return for how long a step has been idle, in s; 0 if it is not."""
        since = self.idle_since(step)
        return 0 if since is None else now - since

    def explain(self, step: StepRun, pool: Pool, now: float) -> None:
        """Log the tasks, tickets and free capacity of one step."""
        usable = list(pool.eligible(step.step))
        allowed = [session for session in usable if step.tickets.get(session.worker.id)]
        valid = [session for session in allowed if step.holds_ticket(session.worker.id, now)]
        logger.info(
            'step waits: step={} reason={} idle_s={:.1f} age_s={:.1f} todo={} active={} gang={} asking={} asked={} usable={} allowed={} valid={}'
            ' room={} old_places={}',
            step.name,
            self.reasons.get(step, PendingReason.not_planned).value,
            self.idle_s(step, now),
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
