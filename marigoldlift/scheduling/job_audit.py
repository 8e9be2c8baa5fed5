"""Check of the leader against itself: each task of an open submission is done, waits in the planner, or is held by a worker.

A task that is none of these is never started, and no reason of a waiting step tells so.
"""

from collections.abc import Iterator
from enum import Enum

import msgspec
from loguru import logger

from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.placements import Placement
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('AuditFinding', 'JobAudit', 'UntrackedTask')

#: Pause between two checks, in s, and submissions that one check visits; further ones have their turn in the next.
CHECK_INTERVAL_S = 1.0
MAX_CHECKED = 500

#: Time from which a run that its worker has not confirmed is reported, in s: above the time in which the lease of a lost worker
#: lapses and its runs are given up.
UNCONFIRMED_S = 10.0

#: Maximum number of log lines of one check.
MAX_LOGGED = 5


class AuditFinding(Enum):
    """What is wrong with a task of an open submission.

    Attributes:
        not_queued: it waits, but the planner does not hold its step.
        no_run: it counts as placed, but the session in use with that worker holds no run of it.
        unconfirmed: it counts as placed, but its worker has not confirmed the run for `UNCONFIRMED_S`.
        unknown: nothing of its submission waits, is placed, or has its turn later.
    """

    not_queued = 'not_queued'
    no_run = 'no_run'
    unconfirmed = 'unconfirmed'
    unknown = 'unknown'


class UntrackedTask(msgspec.Struct, frozen=True):
    """A finding.

    Attributes:
        name: name of the task, the step or the submission.
        finding: what is wrong.
        detail: state that on-call needs to find the cause.
    """

    name: str
    finding: AuditFinding
    detail: str


class JobAudit:
    """Visits the open submissions in turn, and reports each task that the leader has lost track of.

    Attributes:
        checked_at: time of the last check, in seconds of the monotonic clock.
        turn: submissions that the current turn has still to visit.
        found: findings of the current turn, by what is wrong.
    """

    def __init__(
        self,
        open_submissions: OpenSubmissions,
        session_manager: SessionManager,
        metrics: Metrics,
    ) -> None:
        """Begin with a turn that visits all submissions.

        Args:
            open_submissions: submissions to check.
            session_manager: sessions with the workers.
            metrics: receives the number of findings.
        """
        self.open_submissions = open_submissions
        self.session_manager = session_manager
        self.metrics = metrics
        self.clock = session_manager.clock
        self.checked_at = self.clock()
        self.turn: list[JobRun] = []
        self.found = dict.fromkeys(AuditFinding, 0)

    def check_jobs(self) -> None:
        """Check the next submissions if that is due."""
        now = self.clock()
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        if not self.turn:
            self.begin_turn()
        visited = self.turn[:MAX_CHECKED]
        self.turn = self.turn[MAX_CHECKED:]
        findings = [found for job in visited if job.outcome is None for found in self.audit(job)]
        for found in findings:
            self.found[found.finding] += 1
        for reported in findings[:MAX_LOGGED]:
            logger.warning(
                'task is not tracked: task={} finding={} {}',
                reported.name,
                reported.finding.value,
                reported.detail,
            )

    def begin_turn(self) -> None:
        """Publish the findings of the last turn, and begin the next one."""
        self.publish()
        self.found = dict.fromkeys(AuditFinding, 0)
        self.turn = list(self.open_submissions.jobs.values())

    def publish(self) -> None:
        """Publish the findings."""
        for finding, count in self.found.items():
            self.metrics.set(Metric.untracked_tasks, count, finding=finding.value)

    def clear(self) -> None:
        """Publish that there is no finding, since this entry leads no more."""
        self.found = dict.fromkeys(AuditFinding, 0)
        self.publish()

    def audit(self, job: JobRun) -> Iterator[UntrackedTask]:
        """Yield what is wrong with an open submission."""
        is_tracked = bool(job.queue.next_occurrences() or any(job.queue.released.values()))
        for step in tuple(job.steps.values()):
            is_tracked |= bool(step.todo or step.active)
            yield from self.audit_step(step)
        if not is_tracked:
            yield UntrackedTask(
                job.id,
                AuditFinding.unknown,
                f'complete={len(job.complete)} steps={len(job.steps)}',
            )

    def audit_step(self, step: StepRun) -> Iterator[UntrackedTask]:
        """Yield what is wrong with the tasks of an open step."""
        if step.todo and step not in self.open_submissions.planner.waiting.steps:
            yield UntrackedTask(step.name, AuditFinding.not_queued, f'todo={len(step.todo)}')
        for placement in step.active.values():
            finding = self.audit_placed(step, placement)
            if finding is not None:
                yield finding

    def audit_placed(self, step: StepRun, placement: Placement) -> UntrackedTask | None:
        """Return what is wrong with a task that counts as placed, None if its worker holds it."""
        session = placement.session
        task = step.task(placement.index)
        run = session.run_table.runs.get(task)
        worker = session.worker.id
        is_in_use = self.session_manager.sessions.get(worker) is session
        if run is None or not is_in_use:
            detail = f'worker={worker} run={placement.run} session_in_use={is_in_use}'
            return UntrackedTask(task.name, AuditFinding.no_run, detail)
        now = self.clock()
        if now - run.since < UNCONFIRMED_S:
            return None
        is_listed = worker in self.session_manager.registry.workers
        detail = (
            f'worker={worker} run={run.run} phase={run.phase.value} ordered={run.ordered.value}'
            f' unconfirmed_s={now - run.since:.1f} silent_s={now - session.last_answer_at:.1f} listed={is_listed}'
        )
        return UntrackedTask(task.name, AuditFinding.unconfirmed, detail)
