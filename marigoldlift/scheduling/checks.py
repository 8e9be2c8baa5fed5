"""Periodic checks of all runs: stops runs that are obsolete, stalled or on a worker that is about to leave."""

from collections.abc import Callable

from loguru import logger

from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.job_audit import JobAudit
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.stalls import Stalls
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('RunChecks',)

MS_PER_S = 1000

#: Progress from which a run is never counted as stalled, in percent; polls report whole percents.
DONE_PERCENT = 99

#: How long before a draining worker leaves its runs are stopped, in s, besides the time until the next check; a stop takes up to 0.9 s.
LEAVE_MARGIN_S = 1.3

#: Intervals between two checks that are added to `LEAVE_MARGIN_S`: the next check comes after one, or a little later.
LEAVE_MARGIN_CHECKS = 2

#: Longest interval that is expected between two checks, in s; a longer one was a pause of the process.
MAX_INTERVAL_S = 1.0


class RunChecks:
    """Checks all runs once per round and stops those that must not continue.

    Attributes:
        audit: reports tasks that the leader has lost track of.
        interval_s: expected time until the next check, in s.
    """

    def __init__(
        self,
        open_submissions: OpenSubmissions,
        session_manager: SessionManager,
        starter: Starter,
        clock: Callable[[], float],
        faults: FaultBoundary,
    ) -> None:
        """Keep the dependencies."""
        self.faults = faults
        self.open_submissions = open_submissions
        self.session_manager = session_manager
        self.starter = starter
        self.clock = clock
        self.audit = JobAudit(open_submissions, session_manager, faults.metrics)
        self.checked_at = clock()
        self.interval_s: float = 0
        self.stalls = Stalls()

    def check_runs(self) -> None:
        """Check the runs of all workers."""
        now = self.clock()
        self.interval_s = min(now - self.checked_at, MAX_INTERVAL_S)
        self.checked_at = now
        for session in list(self.session_manager.sessions.values()):
            leaving = self.is_leaving(session, now)
            for run in list(session.run_table.runs.values()):
                try:
                    self.check_run(session, run, now, leaving=leaving)
                except Exception as fault:
                    self.faults.note(ItemKind.run, run.task.name, fault)

    def is_leaving(self, session: WorkerSession, now: float) -> bool:
        """Return whether a draining worker leaves so soon that its runs must be stopped and placed elsewhere."""
        leave_at = self.session_manager.leave_at.get(session.worker.id)
        if leave_at is None or session.worker.ready:
            return False
        return now > leave_at - LEAVE_MARGIN_S - self.interval_s * LEAVE_MARGIN_CHECKS

    def check_run(self, session: WorkerSession, run: Run, now: float, *, leaving: bool) -> None:
        """Stop a run if it must not continue.

        Runs that no open submission expects on this worker are stopped, and a stop that had no effect is sent again, but not
        while their submission could not be opened. Otherwise only runs that the worker has confirmed are stopped: if the
        worker leaves, or if they are stalled.
        """
        if run.task.submission in self.open_submissions.unopened:
            return
        step = self.open_submissions.step_of(run.task)
        if (
            step is None
            or run.phase is Phase.stopping
            or step.active.of_run(session, run.task.index, run.run) is None
        ):
            self.starter.request_stop(session, run.task)
            return
        if run.phase is not Phase.held:
            return
        if leaving and session.answers():
            self.starter.request_stop(session, run.task)
        elif self.is_stalled(session, step, run):
            logger.info('run stands still: task={} worker={}', run.task.name, session.worker.id)
            self.stalls.note(step, run)
            self.session_manager.health(session.worker.id).record_failure(now)
            step.avoid_worker(run.task.index, session.worker.id, now)
            self.starter.request_stop(session, run.task)

    def is_stalled(self, session: WorkerSession, step: StepRun, run: Run) -> bool:
        """Return whether a run makes no progress although its worker answers.

        A run that is almost complete does not count: a member of a gang that has done its work waits for the others.
        """
        if run.step.long_running or run.step.fills or not session.answers():
            return False
        if run.percent >= DONE_PERCENT:
            return False
        return run.stood_still_ms() > self.stalls.allowed_s(step, run) * MS_PER_S
