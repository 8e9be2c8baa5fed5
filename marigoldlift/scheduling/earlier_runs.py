"""Runs that earlier leaders may have left on workers that have not listed their runs since the takeover."""

from collections.abc import Iterator

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.submissions.records import StepProgress
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState, Job
from marigoldlift.supervision import ItemKind
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('EarlierRun', 'EarlierRuns')


class EarlierRun(msgspec.Struct, frozen=True):
    """A task that an earlier leader has placed on a worker.

    Attributes:
        step: demand of the task.
        worker: id of the worker.
    """

    task: TaskRef
    step: Step
    worker: str
    workspace: WorkspaceId


class EarlierRuns:
    """Tracks the tasks that the progress records place on unreachable workers, also those of ended submissions.

    Attributes:
        runs: those of them whose worker has not listed its runs yet.
    """

    def __init__(self, state: CellState, session_manager: SessionManager) -> None:
        """Start without runs."""
        self.state = state
        self.session_manager = session_manager
        self.runs: list[EarlierRun] = []

    def begin(self) -> None:
        """Begin with the placements that the log holds at the takeover, before any worker has listed its runs."""
        for job in self.state.jobs.values():
            with self.session_manager.faults.contain(ItemKind.submission, job.submission.id):
                for progress in job.progress.values():
                    self.collect(job, progress)

    def collect(self, job: Job, progress: StepProgress) -> None:
        """Collect the placements of one step; those of an ended submission that had no answer may still be executed."""
        submission = job.submission
        if not 0 <= progress.step < len(submission.steps):
            return
        step = submission.steps[progress.step]
        for index, worker in progress.placed.items():
            task = TaskRef(submission.id, progress.occurrence, progress.step, index)
            if submission.workspace != NO_WORKSPACE:
                self.runs.append(EarlierRun(task, step, worker, submission.workspace))
            if job.state in FINAL_OUTCOMES and index in progress.unanswered:
                self.adopt_ended(task, step, worker, progress)

    def adopt_ended(self, task: TaskRef, step: Step, worker: str, progress: StepProgress) -> None:
        """Count an unanswered start of an ended submission as a run, so that it keeps its room and is stopped."""
        session = self.session_manager.sessions.get(worker)
        if session is None or task in session.run_table.runs:
            return
        leaders = self.session_manager.earlier_orders.leaders
        start = progress.unanswered[task.index]
        now = self.state.clock()
        run = Run(task, start.run, step, Phase.sent, now)
        run.adopt(start.tenure, session.token, leaders.ended_by(start.tenure))
        if not run.has_expired(now):
            session.run_table.take(run)

    def remaining(self) -> Iterator[EarlierRun]:
        """Yield the tasks that an unreachable worker may run, without those that are found at some worker.

        Once a worker has listed its runs, or can hold none any more, its run table alone counts.
        """
        unreachable = self.session_manager.earlier_orders.unreachable
        self.runs = [run for run in self.runs if run.worker in unreachable]
        held = self.session_manager.held_tasks
        for left in self.runs:
            if not held.is_held(left.task):
                yield left
