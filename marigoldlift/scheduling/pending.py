"""Idle times of steps: how long a step that is due has nothing running, and why."""

import time
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.backlog import service_backlogs
from marigoldlift.scheduling.parts import DispatcherParts
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.workspace_caps import WorkspaceCaps
from marigoldlift.scheduling.workspace_usage import WorkspaceUsage
from marigoldlift.submissions.records import Backlog
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('PendingSteps', 'build_pending')

MS_PER_S = 1000

#: Idle time from which a step is logged, in s; a step that waits for a single advice call stays below it.
MIN_REPORTED_IDLE_S = 1.0

#: Share of a service's CPU in use below which a step that fits should not have to wait.
BUSY_SHARE = 0.5

#: How long a step that fits waits for better workers, and for capacity that is not reserved for other steps, before it
#: takes any worker, in s. The platform's rules count a submission as lost after 3 s; an advice call takes up to 1 s and
#: may fail once.
PREFERENCE_S = 1.0


class ServiceSample:
    """Listed workers by service, looked up once in a sample."""

    def __init__(self, session_manager: SessionManager) -> None:
        """Start without lookups."""
        self.session_manager = session_manager
        self.by_service: dict[str, list[WorkerSession]] = {}
        self.is_half_free: dict[str, bool] = {}

    def listed(self, service: str) -> Sequence[WorkerSession]:
        """Return the listed workers of a service."""
        if service not in self.by_service:
            self.by_service[service] = listed_sessions(self.session_manager, service)
        return self.by_service[service]

    def half_free(self, service: str) -> Sequence[WorkerSession]:
        """Return the listed workers of a service, none if half or more of it is in use."""
        if service not in self.is_half_free:
            self.is_half_free[service] = is_half_free(self.listed(service))
        return self.listed(service) if self.is_half_free[service] else ()


class IdleSpan:
    """A period in which a step was due but nothing of its submission ran.

    Attributes:
        since: start of the period, in seconds of the monotonic clock.
        placeable_since: since when the step has been placeable without interruption, in seconds of the monotonic clock;
            None while it is not (see `PendingSteps.is_placeable`).
        placeable_s: longest time without interruption in which the step was placeable, in s.
        reasons: time by reason, in s.
    """

    __slots__ = ('reasons', 'placeable_s', 'placeable_since', 'since')

    def __init__(self, since: float) -> None:
        """Start without a reason."""
        self.since = since
        self.placeable_since: float | None = None
        self.placeable_s: float = 0
        self.reasons: dict[PendingReason, float] = {}

    def note(self, reason: PendingReason, elapsed_s: float) -> None:
        """Add the time since the last sample to that of a reason."""
        self.reasons[reason] = self.reasons.get(reason, 0) + elapsed_s

    def note_placeable(self, now: float, *, placeable: bool) -> None:
        """Update the times in which the step could have been placed."""
        if not placeable:
            self.placeable_since = None
            return
        if self.placeable_since is None:
            self.placeable_since = now
        self.placeable_s = max(self.placeable_s, now - self.placeable_since)


class PendingSteps:
    """Samples which steps are idle, and reports each idle time when it ends.

    Attributes:
        spans: current idle time of each idle step.
        reasons: why steps were not placed in the last scheduling pass; the pass did not reach a step without an entry.
    """

    def __init__(
        self,
        placer: Placer,
        session_manager: SessionManager,
        clock: Callable[[], float],
        metrics: Metrics,
        caps: WorkspaceCaps,
    ) -> None:
        """Start without idle steps.

        Args:
            placer: counts how many tasks fit on a worker.
            session_manager: sessions with the workers.
            clock: monotonic clock in seconds.
            metrics: receives the idle times.
            caps: tells which steps wait because of the cap of their workspace.
        """
        self.caps = caps
        self.placer = placer
        self.session_manager = session_manager
        self.clock = clock
        self.metrics = metrics
        self.spans: dict[StepRun, IdleSpan] = {}
        self.reasons: dict[StepRun, PendingReason] = {}
        self.sampled_at = clock()

    def sample(self, waiting: Iterable[StepRun], wall_ms: float) -> None:
        """Update the idle times, and report those that have ended.

        Args:
            waiting: steps with tasks to start.
            wall_ms: Unix time in ms.
        """
        now = self.clock()
        elapsed_s = now - self.sampled_at
        self.sampled_at = now
        idle = {step for step in waiting if is_idle(step, wall_ms)}
        for step in self.spans.keys() - idle:
            self.report(step, self.spans.pop(step), now)
        services = ServiceSample(self.session_manager)
        for step in idle:
            span = self.spans.get(step)
            if span is None:
                self.spans[step] = IdleSpan(now)
                continue
            span.note(self.reasons.get(step, PendingReason.not_planned), elapsed_s)
            span.note_placeable(now, placeable=self.is_placeable(step, services))

    def backlogs(self, waiting: Iterable[StepRun]) -> dict[str, Backlog]:
        """Return how long the workers of each service need for what waits for room.

        Args:
            waiting: steps with tasks to start.
        """
        return service_backlogs(
            waiting,
            self.reasons,
            partial(self.session_manager.usable, include_quarantined=False),
            self.clock(),
            time.time() * MS_PER_S,
        )

    def idle_since(self, step: StepRun) -> float | None:
        """Return since when a step has been idle, in seconds of the monotonic clock; None if it is not."""
        span = self.spans.get(step)
        return span.since if span else None

    def is_overdue(self, step: StepRun) -> bool:
        """Return whether a step could have been placed for so long that it takes any worker from now on."""
        span = self.spans.get(step)
        if span is None or span.placeable_since is None:
            return False
        return self.clock() - span.placeable_since >= PREFERENCE_S

    def is_placeable(self, step: StepRun, services: 'ServiceSample') -> bool:
        """Return whether less than half of the service is in use and the step fits completely.

        A step of a workspace that uses half of its cap or more may have to wait for that. Of a step that lasts, any task that
        fits has to run, or the whole gang, however full the service is.

        Args:
            step: the waiting step.
            services: listed workers of this sample.
        """
        service = step.job.submission.policy.service
        runs_again = must_run_whole(step)
        sessions = services.listed(service) if runs_again else services.half_free(service)
        if not sessions or self.caps.may_wait(step):
            return False
        runs_alone = runs_again and not step.step.gang
        return self.fits(step, 1 if runs_alone else len(step.todo), sessions)

    def fits(self, step: StepRun, missing: int, sessions: Sequence[WorkerSession]) -> bool:
        """Return whether a number of further tasks of a step fit on workers."""
        for session in sessions:
            if missing <= 0:
                break
            if step.may_use(session.worker):
                missing -= self.placer.placeable_tasks(session, step)
        return missing <= 0

    def report(self, step: StepRun, span: IdleSpan, now: float) -> None:
        """Record an idle time that has ended in the metrics, and log a long one."""
        idle_s = now - span.since
        if not span.reasons:
            return
        reason = max(span.reasons, key=lambda found: span.reasons[found])
        self.metrics.observe(Metric.step_idle, idle_s, reason=reason.value)
        if span.placeable_s:
            self.metrics.observe(Metric.step_idle_with_room, span.placeable_s)
        if idle_s >= MIN_REPORTED_IDLE_S:
            logger.info(
                'step was idle: step={} idle_s={:.2f} with_room_s={:.2f} gang={} reasons={}',
                step.name,
                idle_s,
                span.placeable_s,
                step.step.gang,
                {found.value: round(spent, 2) for found, spent in span.reasons.items()},
            )


def build_pending(
    parts: DispatcherParts, session_manager: SessionManager, placer: Placer
) -> PendingSteps:
    """Return the pending steps of a tenure, with the caps of their workspaces.

    Args:
        parts: dependencies of the tenure.
        session_manager: sessions with the workers.
        placer: counts how many tasks fit on a worker.
    """
    usage = WorkspaceUsage(parts.state, session_manager)
    caps = WorkspaceCaps(parts.workspaces, usage, parts.clock)
    return PendingSteps(placer, session_manager, parts.clock, parts.metrics, caps)


def must_run_whole(step: StepRun) -> bool:
    """Return whether a step lasts and has a waiting task that was started, which has to run again however it has ended."""
    if not step.step.long_running:
        return False
    return step.first_run > 0 or not step.todo.isdisjoint(step.runs)


def is_idle(step: StepRun, wall_ms: float) -> bool:
    """Return whether a step is due while nothing of its submission runs, or while a task that has to last does not."""
    if not step.todo or step.job.outcome or not step.job.is_runnable(step, wall_ms):
        return False
    return must_run_whole(step) or not step.job.running


def listed_sessions(session_manager: SessionManager, service: str) -> list[WorkerSession]:
    """Return the sessions with workers that the registry lists as ready, whether they answer or not."""
    return [
        session
        for name, session in session_manager.sessions.items()
        if session.worker.service == service
        and session.worker.ready
        and name in session_manager.registry.workers
    ]


def is_half_free(sessions: Sequence[WorkerSession]) -> bool:
    """Return whether less than half of the CPU of the workers is in use."""
    total = sum(session.worker.cpu_m for session in sessions)
    free = sum(max(0, session.run_table.cpu_m) for session in sessions)
    return total > 0 and total - free < total * BUSY_SHARE
