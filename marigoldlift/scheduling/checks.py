"""Regular checks of what runs: what may not run on, stands still, or sits on a worker that leaves."""

from collections.abc import Callable

from loguru import logger

from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.starter import Starter

__all__ = ('RunChecks',)

#: How long a run may stand still before it is stopped and its worker is doubted, in s.
STALL_S = 2.0

#: Share of the work from which a run is as good as done; looks give whole percents.
DONE_PERCENT = 99

#: Time before a draining worker leaves at which its runs are moved, in s; a stop takes up to 0.9 s.
LEAVE_MARGIN_S = 1.3


class RunChecks:
    """Looks at all runs once in each round."""

    def __init__(
        self,
        open_submissions: OpenSubmissions,
        session_manager: SessionManager,
        starter: Starter,
        clock: Callable[[], float],
    ) -> None:
        """Keep what the checks need."""
        self.open_submissions = open_submissions
        self.session_manager = session_manager
        self.starter = starter
        self.clock = clock

    def check_runs(self) -> None:
        """Stop what may not run on, and what stands still."""
        now = self.clock()
        for session in list(self.session_manager.sessions.values()):
            leaving = self.is_leaving(session, now)
            for run in list(session.room.runs.values()):
                self.check_run(session, run, now, leaving=leaving)

    def is_leaving(self, session: WorkerSession, now: float) -> bool:
        """Tell whether a draining worker leaves so soon that its runs have to be moved."""
        leave_at = self.session_manager.leave_at.get(session.worker.id)
        return (
            leave_at is not None and not session.worker.ready and now > leave_at - LEAVE_MARGIN_S
        )

    def check_run(self, session: WorkerSession, run: Run, now: float, *, leaving: bool) -> None:
        """Decide whether one run goes on."""
        step = self.open_submissions.step_of(run.task)
        if (
            step is None
            or run.phase is Phase.stopping
            or step.active.get(run.task.index) is not session
        ):
            self.starter.request_stop(session, run.task)
            return
        if run.phase is not Phase.held:
            return
        if leaving and session.answers():
            self.starter.request_stop(session, run.task)
        elif self.is_stalled(session, run, now):
            logger.info('run stands still: task={} worker={}', run.task.name, session.worker.id)
            self.session_manager.health(session.worker.id).fail(now)
            step.avoid_worker(run.task.index, session.worker.id, now)
            self.starter.request_stop(session, run.task)

    def is_stalled(self, session: WorkerSession, run: Run, now: float) -> bool:
        """Tell whether a run makes no progress while its worker answers.

        A member of a gang that has done its own work waits for the others.
        """
        if run.step.long_running or run.step.fills or not session.answers():
            return False
        if run.percent >= DONE_PERCENT:
            return False
        return now - max(run.moved_at, run.started_at) > STALL_S
