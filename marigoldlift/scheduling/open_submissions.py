"""Open submissions of a tenure: opens them, looks up their steps and closes them."""

from collections.abc import Callable

from loguru import logger

from marigoldlift.orders.runs import UNKNOWN_DEMAND
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('OpenSubmissions',)


class OpenSubmissions:
    """Submissions that have no outcome yet.

    Attributes:
        jobs: open submissions by id.
        closed: submissions whose outcome is decided but may not be stored yet.
    """

    def __init__(
        self,
        state: CellState,
        planner: Planner,
        starter: Starter,
        progress: ProgressWriter,
        clock: Callable[[], float],
        faults: FaultBoundary,
    ) -> None:
        """Start without submissions."""
        self.state = state
        self.planner = planner
        self.starter = starter
        self.progress = progress
        self.clock = clock
        self.faults = faults
        self.jobs: dict[SubmissionId, JobRun] = {}
        self.closed: dict[SubmissionId, JobRun] = {}

    def open(self, submission: SubmissionId) -> None:
        """Queue the steps of a submission, unless it is open or closed already."""
        job = self.state.jobs.get(submission)
        if job is None or submission in self.jobs or submission in self.closed:
            return
        if job.state in FINAL_OUTCOMES:
            return
        with self.faults.contain(ItemKind.submission, submission):
            opened = JobRun(job)
            self.jobs[submission] = opened
            for step in opened.steps.values():
                self.planner.add(step)
            self.close_if_done(opened)

    def close_if_done(self, job: JobRun) -> None:
        """Close a submission as complete once all its tasks are done."""
        if job.is_done:
            self.close(job, Outcome.complete)

    def cancel(self, submission: SubmissionId) -> None:
        """Close a submission that its caller has cancelled."""
        job = self.jobs.get(submission)
        if job is not None:
            self.close(job, Outcome.cancelled)

    def close(self, job: JobRun, outcome: Outcome) -> None:
        """Set the outcome of a submission, stop its remaining runs and store its progress."""
        job.outcome = outcome
        self.jobs.pop(job.id, None)
        self.closed[job.id] = job
        for step in job.steps.values():
            self.starter.stop_step(step)
        self.progress.note(job)
        logger.info(
            'submission closed: submission={} outcome={} after_s={:.2f} objective_s={:.2f}',
            job.id,
            outcome.value,
            self.clock() - job.since,
            job.objective_s,
        )

    def is_open(self, submission: SubmissionId) -> bool:
        """Return whether a submission has no outcome, or one that may not be stored yet."""
        return submission in self.jobs or submission in self.closed

    def after_outcome(self, submission: SubmissionId, stored: Callable[[], None]) -> None:
        """Call `stored` once the outcome of a submission that is not open is stored, at once if it is.

        Until then a later leader would open the submission again.
        """
        closed = self.closed.get(submission)
        if closed is None:
            stored()
        else:
            self.progress.note(closed, stored)

    def forget(self, submission: SubmissionId) -> None:
        """Remove a closed submission once its outcome is stored."""
        self.closed.pop(submission, None)

    def step_of(self, task: TaskRef) -> StepRun | None:
        """Return the step of a task, None if its submission is not open or has no such task."""
        job = self.jobs.get(task.submission)
        step = job.steps.get((task.occurrence, task.step)) if job else None
        if step is None or not 0 <= task.index < step.step.count:
            return None
        return step

    def demand_of(self, task: TaskRef) -> Step:
        """Return the resource demand of a task whose submission is not open.

        If the submission is unknown, the demand is unknown too, and nothing else is placed on the worker.
        """
        job = self.state.jobs.get(task.submission)
        if job is None or not 0 <= task.step < len(job.submission.steps):
            logger.warning('run of an unknown submission: task={}', task.name)
            return UNKNOWN_DEMAND
        return job.submission.steps[task.step]
