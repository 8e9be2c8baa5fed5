"""Reactions to what the worker sessions report about runs: ends, losses, and runs of earlier leaders."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from loguru import logger

from marigoldlift.leadership.election import Election
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.job_run import JobRun, has_failed
from marigoldlift.scheduling.done_reports import UnstoredEnds
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.run_times import LEARNING, RunTimeRecorder
from marigoldlift.scheduling.session_manager import SessionManager, restarted_worker
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.done_tasks import DoneTasks, ReportedEnd
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome, Record
from marigoldlift.supervision import FaultBoundary, ItemKind
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('RunEvents', 'settle_reported')

#: Outcome of a start that the worker has confirmed.
STARTED = 'started'

#: Ends that change what is left to do for a task.
REPORTED_KINDS = frozenset((EndKind.done, EndKind.failed))

#: Minimum time between two restarts of the tenure after refused tokens, in s.
CLAIM_PAUSE_S = 1.0


class RunEvents:
    """Handles the events of all worker sessions of a tenure.

    Attributes:
        open_submissions: open submissions; set once, before the first session is opened.
        session_manager: sessions with the workers; set once, before the first session is opened.
        run_times: learns from the ends, None if that is switched off.
        ready: whether the takeover is complete.
        unstored: ends that are not stored yet.
        wake: set when a scheduling pass may be able to place something.
    """

    open_submissions: OpenSubmissions
    session_manager: SessionManager
    run_times: RunTimeRecorder | None = None

    def __init__(
        self,
        election: Election,
        tenure: int,
        wake: asyncio.Event,
        metrics: Metrics,
        faults: FaultBoundary,
    ) -> None:
        """Start in the state before the takeover is complete."""
        self.election = election
        self.tenure = tenure
        self.metrics = metrics
        self.faults = faults
        self.wake = wake
        self.clock = election.clock
        self.ready = False
        self.unstored = UnstoredEnds()
        self.claimed_at = self.clock()

    def may_act(self) -> bool:
        """Return whether this tenure may send orders now."""
        return self.election.tenure == self.tenure and self.election.may_act()

    def still_admits(self, step: StepRun) -> bool:
        """Return whether the cap of a step's workspace still admits a start that was placed."""
        return self.open_submissions.planner.caps.still_admits(step)

    def handling_failed(self, kind: ItemKind, name: str, fault: Exception) -> None:
        """Log and count an exception that a listed run or end has caused."""
        self.faults.note(kind, name, fault)

    def capacity_changed(self) -> None:
        """Request a scheduling pass."""
        self.wake.set()

    def step_requeued(self, step: StepRun) -> None:
        """Queue a step again after one of its tasks was requeued."""
        self.open_submissions.planner.waiting.add(step)
        self.wake.set()

    def run_ended(self, session: WorkerSession, ended: EndedRun, known: Run | None) -> None:
        """Handle the end of a run.

        The worker keeps the end until the session acknowledges it, which happens once it is stored, or the outcome of its
        submission.
        """
        self.metrics.add(Metric.task_ends, outcome=ended.kind.value)
        step = self.open_submissions.step_of_run(ended.task)
        stored: Callable[[], None] = partial(session.ends.store_confirmed, ended.number)
        if step is None:
            self.open_submissions.after_progress(ended.task.submission, stored)
            return
        if self.run_times is not None:
            # Whether an end is handled must not depend on what can be learned from it.
            with self.faults.contain(ItemKind.round, LEARNING):
                self.run_times.note_end(step, session, ended, known)
        self.session_manager.health(session.worker.id).record_end(ended.kind, self.clock())
        step.save(ended.task.index, ended.checkpoint)
        step.last_run = max(step.last_run, ended.run)
        if ended.kind in REPORTED_KINDS and not step.step.long_running:
            failed_run = ended.run if ended.kind is EndKind.failed else None
            stored = self.unstored.track(ReportedEnd(ended.task, failed_run), stored)
        self.process_end(step, session, ended)
        # An end whose handling has raised must not be acknowledged.
        self.open_submissions.progress.note(step.job, stored, step)

    def process_end(self, step: StepRun, session: WorkerSession, ended: EndedRun) -> None:
        """Finish the task of a run that is done, otherwise requeue it or fail its submission after too many failures.

        A task of a long-running step is requeued however its run ends, and failures don't count. The end of a replaced
        run does not requeue its task. Requeuing a member of a gang breaks the gang.
        """
        index = ended.task.index
        is_current = step.active.of_run(session, index, ended.run) is not None
        is_long_running = step.step.long_running
        if ended.kind is EndKind.done and not is_long_running:
            self.finish(step, index, session, ended.run)
            return
        if ended.kind is EndKind.failed and not is_long_running and index not in step.done:
            step.avoid_worker(index, session.worker.id, self.clock())
            failures = step.fail(index, ended.run)
            logger.info(
                'run failed: task={} run={} worker={}',
                ended.task.name,
                ended.run,
                session.worker.id,
            )
            if failures >= step.job.submission.policy.max_attempts:
                self.open_submissions.close(step.job, Outcome.failed)
                return
        if is_current:
            step.gang_broken = step.step.gang
            step.requeue(index)
            self.step_requeued(step)

    def finish(
        self, step: StepRun, index: int, session: WorkerSession | None, run: int = 0
    ) -> None:
        """Mark a task as done, and stop the run of its present placement if that is another one.

        Args:
            step: step of the task.
            index: index of the task.
            session: session with the worker that has listed the end, None if an earlier leader was told of it.
            run: number of the run that has ended there.
        """
        present = step.active.get(index)
        if present is not None and not (present.session is session and present.run == run):
            self.open_submissions.starter.stop(present.session, step.task(index))
        step.finish(index)
        if session is not None:
            step.settle_place(index, session.worker.id)
        self.open_submissions.note_done(step)
        self.wake.set()

    def run_found(self, session: WorkerSession, held: HeldRun) -> Step | None:
        """Adopt a run that an earlier leader has started.

        A run that is not needed is not adopted, but its capacity is counted until the next check stops it.

        Returns:
            Resource demand of the run.
        """
        step = self.open_submissions.step_of_run(held.task)
        index = held.task.index
        if step is None:
            return self.open_submissions.demand_of(held.task)
        if index in step.done or index in step.active:
            return step.step
        step.begin(index, session, held.run)
        step.save(index, held.checkpoint)
        note_begun(step.job, self.open_submissions.progress)
        if step.step.gang and step.gang_started_at is None:
            step.gang_started_at = self.clock()
        return step.step

    def run_superseded(self, session: WorkerSession, held: HeldRun) -> None:
        """Stop a run that was given up although it exists; that of the present placement runs beside it."""
        logger.warning(
            'run beside the placed one: task={} run={} worker={}',
            held.task.name,
            held.run,
            session.worker.id,
        )
        if self.may_act():
            self.open_submissions.starter.spawn(session.stop_run(held.task, held.run))

    def run_confirmed(self, session: WorkerSession, run: Run) -> None:
        """Store that a run has started, as after an answer to its start, which is not in doubt any more."""
        step = self.open_submissions.step_of_run(run.task)
        if step is not None:
            note_started(step, self.open_submissions.progress)

    def open_again(self) -> None:
        """Try again to open the submissions whose opening has raised, with their runs on all workers."""
        opened = {job.id: job for job in self.open_submissions.open_again()}
        if not opened:
            return
        held: dict[SubmissionId, list[tuple[WorkerSession, Run]]] = {name: [] for name in opened}
        for session in self.session_manager.sessions.values():
            for run in session.run_table.runs.values():
                found = held.get(run.task.submission)
                if found is not None:
                    found.append((session, run))
        for name, job in opened.items():
            self.adopt(job, held[name])

    def adopt(self, job: JobRun, held: Iterable[tuple[WorkerSession, Run]] = ()) -> None:
        """Adopt runs of a submission, and its unanswered starts by earlier leaders.

        If that raises, the submission is opened again, so that no task is started beside one that is left out.
        """
        try:
            for session, run in held:
                self.run_found(session, HeldRun(run.task, run.run, run.checkpoint, run.percent))
            self.session_manager.earlier_orders.adopt_starts(job.steps.values())
            if has_failed(job):
                # The last failure was reported while nobody led.
                self.open_submissions.close(job, Outcome.failed)
        except Exception as fault:
            self.open_submissions.set_back(job.id, fault)

    def start_answered(self, step: StepRun, reason: str) -> None:
        """Count a start by its outcome, and record the waiting time of one that the worker has confirmed."""
        self.metrics.add(Metric.starts, outcome=reason)
        if reason == STARTED:
            note_started(step, self.open_submissions.progress)
            policy = step.job.submission.policy
            self.metrics.observe(
                Metric.task_wait, self.clock() - step.job.since, kind=policy.queue
            )

    def run_vanished(self, session: WorkerSession, run: Run) -> None:
        """Requeue the task of a run that certainly no longer exists; losing a started member breaks its gang."""
        logger.info(
            'run lost: task={} run={} worker={} ordered={} phase={}',
            run.task.name,
            run.run,
            session.worker.id,
            run.ordered.value,
            run.phase.value,
        )
        step = self.open_submissions.step_of(run.task)
        if step is None:
            return
        step.save(run.task.index, run.checkpoint)
        placement = step.active.of_run(session, run.task.index, run.run)
        if placement is not None:
            if run.phase in {Phase.held, Phase.stopping}:
                step.gang_broken |= step.step.gang
            self.open_submissions.starter.requeue_task(step, placement)
        # Otherwise the next leader waits for this worker until all leases have lapsed again.
        self.open_submissions.progress.note(step.job, step=step)

    def start_missed(self, session: WorkerSession, run: Run) -> None:
        """Send the start of a task that lasts to its worker again; elsewhere it may not run before no copy is left."""
        step = self.open_submissions.step_of(run.task)
        if step is not None and self.may_act():
            self.open_submissions.starter.repeat(step, session, run)

    def run_moved(self, session: WorkerSession, successor: WorkerSession, run: Run) -> None:
        """Move a run whose start has an unknown outcome to the session of the worker's next incarnation."""
        step = self.open_submissions.step_of(run.task)
        if step is not None and step.active.of_run(session, run.task.index, run.run) is not None:
            step.active.put(run.task.index, successor, run.run)

    def worker_restarted(self, session: WorkerSession, born_ms: int) -> None:
        """Open a new session with a worker that has reported a restart."""
        if self.session_manager.sessions.get(session.worker.id) is session:
            self.session_manager.replace(session, restarted_worker(session.worker, born_ms))

    def fenced(self, session: WorkerSession) -> None:
        """Restart the tenure, to get a higher token, if this entry is still the leader according to the log.

        Ignores sessions that have been replaced: a session with an earlier incarnation of a worker is refused because
        of the token of its successor, which belongs to this leader as well.
        """
        if self.session_manager.sessions.get(session.worker.id) is not session:
            return
        now = self.clock()
        logger.warning('token refused: worker={} token={}', session.worker.id, session.token)
        if self.may_act() and now - self.claimed_at > CLAIM_PAUSE_S:
            self.claimed_at = now
            self.open_submissions.starter.spawn(self.election.restart_tenure())


def settle_reported(events: RunEvents, record: Record) -> None:
    """Finish the tasks that are done by what an earlier leader was told, and count the runs that have failed.

    Args:
        events: events of the present tenure.
        record: a record of the log; those of other kinds are ignored.
    """
    if not isinstance(record, DoneTasks):
        return
    for end in record.ends():
        step = events.open_submissions.step_of_run(end.task)
        if step is None or end.task.index in step.done:
            continue
        if end.failed_run is None:
            finish_reported(events, step, end.task)
        else:
            count_reported(events, step, end.task, end.failed_run)
        events.open_submissions.progress.note(step.job, step=step)


def finish_reported(events: RunEvents, step: StepRun, task: TaskRef) -> None:
    """Finish a task that is done by what an earlier leader was told, and stop a run of it."""
    logger.info('task was done under an earlier leader: task={}', task.name)
    events.finish(step, task.index, None)
    if step.step.gang:
        events.open_submissions.starter.stop_step(step)


def count_reported(events: RunEvents, step: StepRun, task: TaskRef, run: int) -> None:
    """Count a run that has failed by what an earlier leader was told, and fail its submission after too many failures.

    The worker may have told the present leader of the same run, which counts once.
    """
    logger.info('run had failed under an earlier leader: task={} run={}', task.name, run)
    step.last_run = max(step.last_run, run)
    failures = step.fail(task.index, run)
    if failures >= step.job.submission.policy.max_attempts:
        events.open_submissions.close(step.job, Outcome.failed)


def note_started(step: StepRun, progress: ProgressWriter) -> None:
    """Store that a start is not in doubt any more, and that its submission has started."""
    note_begun(step.job, progress)
    if not step.uses_tickets:
        progress.note(step.job, step=step)


def note_begun(job: JobRun, progress: ProgressWriter) -> None:
    """Store that a submission has started; one whose tasks are only placed still counts as queued."""
    if not job.begun:
        job.begun = True
        progress.note(job)
