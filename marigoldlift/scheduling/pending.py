"""Why steps whose turn has come have nothing running, and for how long."""

from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('PendingSteps',)

#: Idle time from which a step is logged, in s; a step that waits for one call to the advice stays below it.
REPORT_S = 1.0

#: Share of a service's processors that is in use below which a step with room should not wait.
BUSY_SHARE = 0.5

#: How long workers that are better than others, or kept for other work, are preferred to starting at once, in s. The
#: platform's rules count a submission as lost after 3 s; a call to the advice takes up to 1 s and may fail once.
PREFERENCE_S = 1.0


class IdleSpan:
    """A stretch of time in which nothing of a submission ran although a step's turn had come.

    Attributes:
        since: when it began, in seconds of the steady clock.
        roomy_since: since when there was room without a break, None while there is none.
        roomy_s: longest stretch with room.
        reasons: time by reason, in s.
    """

    __slots__ = ('reasons', 'roomy_s', 'roomy_since', 'since')

    def __init__(self, since: float) -> None:
        """Start without a reason."""
        self.since = since
        self.roomy_since: float | None = None
        self.roomy_s: float = 0
        self.reasons: dict[PendingReason, float] = {}

    def note(self, reason: PendingReason, elapsed_s: float) -> None:
        """Add the time since the last sample."""
        self.reasons[reason] = self.reasons.get(reason, 0) + elapsed_s

    def note_room(self, now: float, *, roomy: bool) -> None:
        """Follow whether there is room."""
        if not roomy:
            self.roomy_since = None
            return
        if self.roomy_since is None:
            self.roomy_since = now
        self.roomy_s = max(self.roomy_s, now - self.roomy_since)


class PendingSteps:
    """Samples the idle steps, and reports those that stood still.

    Attributes:
        spans: idle steps.
        reasons: what held steps back in the last scheduling pass; one that is not named was not reached.
    """

    def __init__(
        self,
        placer: Placer,
        session_manager: SessionManager,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Start without idle steps.

        Args:
            placer: knows the room of workers.
            session_manager: the workers.
            clock: steady time in seconds.
            metrics: takes the idle times.
        """
        self.placer = placer
        self.session_manager = session_manager
        self.clock = clock
        self.metrics = metrics
        self.spans: dict[StepRun, IdleSpan] = {}
        self.reasons: dict[StepRun, PendingReason] = {}
        self.sampled_at = clock()

    def sample(self, waiting: Iterable[StepRun], wall_ms: float) -> None:
        """Take in which steps are idle now."""
        now = self.clock()
        elapsed_s = now - self.sampled_at
        self.sampled_at = now
        idle = {step for step in waiting if is_idle(step, wall_ms)}
        for step in self.spans.keys() - idle:
            self.report(step, self.spans.pop(step), now)
        half_free: dict[str, Sequence[WorkerSession]] = {}
        for step in idle:
            span = self.spans.get(step)
            if span is None:
                self.spans[step] = IdleSpan(now)
                continue
            span.note(self.reasons.get(step, PendingReason.not_planned), elapsed_s)
            span.note_room(now, roomy=self.has_room(step, half_free))

    def is_overdue(self, step: StepRun) -> bool:
        """Tell whether a step has stood still with room for so long that it takes any worker."""
        span = self.spans.get(step)
        if span is None or span.roomy_since is None:
            return False
        return self.clock() - span.roomy_since >= PREFERENCE_S

    def has_room(self, step: StepRun, half_free: dict[str, Sequence[WorkerSession]]) -> bool:
        """Tell whether less than half of the service is in use and the step fits.

        Args:
            step: what waits.
            half_free: listed workers of the services looked at in this sample, none where half or more is in use.
        """
        service = step.job.submission.policy.service
        if service not in half_free:
            sessions = listed_sessions(self.session_manager, service)
            half_free[service] = sessions if is_half_free(sessions) else ()
        missing = len(step.todo)
        for session in half_free[service]:
            if missing <= 0:
                break
            if step.may_use(session.worker):
                missing -= self.placer.room(session, step)
        return missing <= 0

    def report(self, step: StepRun, span: IdleSpan, now: float) -> None:
        """Count an idle time that has ended, and log a long one."""
        idle_s = now - span.since
        if not span.reasons:
            return
        reason = max(span.reasons, key=lambda found: span.reasons[found])
        self.metrics.observe(Metric.step_idle, idle_s, reason=reason.value)
        if span.roomy_s:
            self.metrics.observe(Metric.step_idle_with_room, span.roomy_s)
        if idle_s >= REPORT_S:
            logger.info(
                'step was idle: step={} idle_s={:.2f} with_room_s={:.2f} gang={} reasons={}',
                step.name,
                idle_s,
                span.roomy_s,
                step.step.gang,
                {found.value: round(spent, 2) for found, spent in span.reasons.items()},
            )


def is_idle(step: StepRun, wall_ms: float) -> bool:
    """Tell whether a step could run and nothing of its submission does."""
    if not step.todo or step.job.outcome or not step.job.is_runnable(step, wall_ms):
        return False
    return not any(other.active for other in step.job.steps.values())


def listed_sessions(session_manager: SessionManager, service: str) -> list[WorkerSession]:
    """Return the sessions with workers that the registry lists as ready, answering or not."""
    return [
        session
        for name, session in session_manager.sessions.items()
        if session.worker.service == service
        and session.worker.ready
        and name in session_manager.registry.workers
    ]


def is_half_free(sessions: Sequence[WorkerSession]) -> bool:
    """Tell whether less than half of the processors are in use."""
    total = sum(session.worker.cpu_m for session in sessions)
    free = sum(max(0, session.room.cpu_m) for session in sessions)
    return total > 0 and total - free < total * BUSY_SHARE
