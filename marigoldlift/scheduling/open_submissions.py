"""Open submissions of a tenure: opens them, looks up their steps and closes them."""

from collections.abc import Callable

from loguru import logger

from marigoldlift.errors import NotFoundError
from marigoldlift.orders.runs import UNKNOWN_DEMAND
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState, Job
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('OpenSubmissions',)


class OpenSubmissions:
    """Submissions that have no outcome yet.

    Attributes:
        jobs: open submissions by id.
        unopened: submissions without an outcome whose opening has raised; it is tried again.
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
        self.unopened: set[SubmissionId] = set()

    def open(self, submission: SubmissionId) -> None:
        """Queue the steps of a submission, unless it is open or closed already."""
        job = self.state.jobs.get(submission)
        self.unopened.discard(submission)
        if job is None or submission in self.jobs or submission in self.closed:
            return
        if job.state in FINAL_OUTCOMES:
            return
        try:
            self.open_job(job)
        except Exception as fault:
            self.set_back(submission, fault)

    def open_job(self, job: Job) -> None:
        """Queue the steps of a submission without an outcome."""
        opened = JobRun(job)
        self.jobs[opened.id] = opened
        for step in opened.steps.values():
            self.planner.waiting.add(step)
        self.planner.waiting.open_due(opened)
        self.close_if_done(opened)

    def set_back(self, submission: SubmissionId, fault: Exception) -> None:
        """Remove a submission that is not open completely, so that it is opened again; its steps leave the planner."""
        self.faults.note(ItemKind.submission, submission, fault)
        self.unopened.add(submission)
        self.closed.pop(submission, None)
        incomplete = self.jobs.pop(submission, None)
        if incomplete is not None:
            # Not a final one, which a record of it that is still written would store.
            incomplete.outcome = Outcome.queued

    def open_again(self) -> list[JobRun]:
        """Try to open the submissions whose opening has raised, unless that was just now, and return those that are open."""
        tried = [name for name in self.unopened if not self.faults.is_set_aside(name)]
        for submission in tried:
            self.open(submission)
        return [self.jobs[name] for name in tried if name in self.jobs]

    def note_done(self, step: StepRun) -> None:
        """Note that a task of a step is done; once all are, others may have their turn, or the submission is complete."""
        if not step.is_done:
            return
        job = step.job
        if step.key not in job.complete:
            job.complete_step(step)
        if job.outcome is None:
            # Also for a step that was complete before: opening those that follow may have raised then.
            self.planner.waiting.open_due(job)
            self.close_if_done(job)
        job.forget_complete(step)

    def close_if_done(self, job: JobRun) -> None:
        """Close a submission as complete once all its tasks are done."""
        if job.is_done:
            self.close(job, Outcome.complete)

    def cancel(self, submission: SubmissionId) -> None:
        """Close a submission that its caller has cancelled."""
        self.unopened.discard(submission)
        job = self.jobs.get(submission)
        if job is not None:
            self.close(job, Outcome.cancelled)

    def close(self, job: JobRun, outcome: Outcome) -> None:
        """Set the outcome of a submission, stop its remaining runs and store its progress."""
        job.outcome = outcome
        self.jobs.pop(job.id, None)
        self.closed[job.id] = job
        for step in tuple(job.running):
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

    def after_progress(self, submission: SubmissionId, stored: Callable[[], None]) -> None:
        """Call `stored` once the progress of a submission is stored, at once if its outcome is.

        Until then a later leader would start a task of it again: of a step that is complete, or of a submission that has
        just ended.

        Raises:
            NotFoundError: the submission could not be opened so far, so that the progress is not known.
        """
        if submission in self.unopened:
            raise NotFoundError(f'submission is not open yet: submission={submission}')
        job = self.jobs.get(submission) or self.closed.get(submission)
        if job is None:
            stored()
        else:
            self.progress.note(job, stored)

    def forget(self, submission: SubmissionId) -> None:
        """Remove a closed submission once its outcome is stored."""
        self.closed.pop(submission, None)

    def step_of(self, task: TaskRef) -> StepRun | None:
        """Return the open step of a task, None if there is none or it has no such task."""
        job = self.jobs.get(task.submission)
        if job is None or not job.submission.has_task(task):
            return None
        return job.steps.get((task.occurrence, task.step))

    def step_of_run(self, task: TaskRef) -> StepRun | None:
        """Return the step of a task that has run; it is opened if it is neither open nor complete."""
        job = self.jobs.get(task.submission)
        key = (task.occurrence, task.step)
        if job is not None and job.submission.has_task(task) and key not in job.steps:
            if key not in job.complete:
                self.planner.waiting.add(job.open_step(key))
        return self.step_of(task)

    def demand_of(self, task: TaskRef) -> Step:
        """Return the resource demand of a task whose submission is not open.

        If the submission is unknown, the demand is unknown too, and nothing else is placed on the worker.
        """
        job = self.state.jobs.get(task.submission)
        if job is None or not 0 <= task.step < len(job.submission.steps):
            logger.warning('run of an unknown submission: task={}', task.name)
            return UNKNOWN_DEMAND
        return job.submission.steps[task.step]
