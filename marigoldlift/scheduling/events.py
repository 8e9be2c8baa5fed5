"""What sessions find out about runs, and what follows from it."""

import asyncio
from functools import partial

from loguru import logger

from marigoldlift.leadership.election import Election
from marigoldlift.orders.api import EndedRun, EndKind, HeldRun
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.session_manager import SessionManager, restarted_worker
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('RunEvents',)

#: Answer to a start that was carried out.
STARTED = 'started'

#: Pause between two claims after another holder's token was seen, in s.
CLAIM_PAUSE_S = 1.0


class RunEvents:
    """Takes in ends, finds and losses of runs.

    Attributes:
        open_submissions: open submissions; set once, before the first session is opened.
        session_manager: the workers; set once, before the first session is opened.
        ready: whether the takeover is over.
        wake: set when waiting work may find room.
    """

    open_submissions: OpenSubmissions
    session_manager: SessionManager

    def __init__(
        self, election: Election, tenure: int, wake: asyncio.Event, metrics: Metrics
    ) -> None:
        """Start during the takeover."""
        self.election = election
        self.tenure = tenure
        self.metrics = metrics
        self.wake = wake
        self.clock = election.clock
        self.ready = False
        self.claimed_at = self.clock()

    def may_act(self) -> bool:
        """Tell whether orders may be given now."""
        return self.election.tenure == self.tenure and self.election.may_act()

    def room_changed(self) -> None:
        """Look at what waits soon."""
        self.wake.set()

    def step_requeued(self, step: StepRun) -> None:
        """Let a step wait again."""
        self.open_submissions.planner.add(step)
        self.wake.set()

    def run_ended(self, session: WorkerSession, ended: EndedRun, known: Run | None) -> None:
        """Take in an end; the worker keeps it until it is stored."""
        self.metrics.add(Metric.task_ends, outcome=ended.kind.value)
        step = self.open_submissions.step_of(ended.task)
        if step is None:
            session.store_confirmed(ended.number)
            return
        self.session_manager.health(session.worker.id).note(ended.kind, self.clock())
        step.save(ended.task.index, ended.checkpoint)
        step.last_run = max(step.last_run, ended.run)
        self.open_submissions.progress.note(
            step.job, partial(session.store_confirmed, ended.number)
        )
        self.process_end(step, session, ended)

    def process_end(self, step: StepRun, session: WorkerSession, ended: EndedRun) -> None:
        """Decide what follows from an end."""
        index = ended.task.index
        mine = step.active.get(index) is session and step.runs.get(index) == ended.run
        lasting = step.step.long_running
        if ended.kind is EndKind.done and not lasting:
            self.finish(step, index, session)
            return
        if ended.kind is EndKind.failed and not lasting and index not in step.done:
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
        if mine:
            step.gang_broken = step.step.gang
            step.requeue(index)
            self.step_requeued(step)

    def finish(self, step: StepRun, index: int, session: WorkerSession) -> None:
        """Note a task as done, and stop another run of it."""
        other = step.active.get(index)
        if other is not None and other is not session:
            self.open_submissions.starter.stop(other, step.task(index))
        step.finish(index)
        self.open_submissions.close_if_done(step.job)
        self.wake.set()

    def run_found(self, session: WorkerSession, held: HeldRun) -> Step | None:
        """Adopt a run of an earlier leader; the next check stops one that may not stay."""
        step = self.open_submissions.step_of(held.task)
        index = held.task.index
        if step is None:
            return self.open_submissions.demand_of(held.task, session.worker)
        if index in step.done or index in step.active:
            return step.step
        step.begin(index, session, held.run)
        step.save(index, held.checkpoint)
        step.job.begun = True
        if step.step.gang and step.gang_started_at is None:
            step.gang_started_at = self.clock()
        return step.step

    def note_begun(self, step: StepRun) -> None:
        """Store that a submission has begun; one that is only placed still counts as waiting."""
        if not step.job.begun:
            step.job.begun = True
            self.open_submissions.progress.note(step.job)

    def start_answered(self, step: StepRun, reason: str) -> None:
        """Count a start, by the worker's answer."""
        self.metrics.add(Metric.starts, outcome=reason)
        if reason == STARTED:
            self.note_begun(step)
            policy = step.job.submission.policy
            self.metrics.observe(
                Metric.task_wait, self.clock() - step.job.since, kind=policy.queue
            )

    def run_vanished(self, session: WorkerSession, run: Run) -> None:
        """Let a task wait again whose run is surely gone."""
        logger.info(
            'run lost: task={} run={} worker={}', run.task.name, run.run, session.worker.id
        )
        step = self.open_submissions.step_of(run.task)
        if step is None:
            return
        started = run.phase in {Phase.held, Phase.stopping}
        if step.step.gang and started and step.active.get(run.task.index) is session:
            step.gang_broken = True
        step.save(run.task.index, run.checkpoint)
        self.open_submissions.starter.requeue_task(step, run.task.index, session)

    def run_moved(self, session: WorkerSession, successor: WorkerSession, run: Run) -> None:
        """Follow a run in doubt in the worker's next life."""
        step = self.open_submissions.step_of(run.task)
        if step is not None and step.active.get(run.task.index) is session:
            step.active[run.task.index] = successor

    def worker_restarted(self, session: WorkerSession, born_ms: int) -> None:
        """Begin anew with a worker that says that it has started again."""
        if self.session_manager.sessions.get(session.worker.id) is session:
            self.session_manager.replace(session, restarted_worker(session.worker, born_ms))

    def fenced(self, session: WorkerSession) -> None:
        """Claim a new tenure when this entry still leads by the log.

        The session of a worker's earlier life is refused by the token of its next one, which is this leader's as well.
        """
        if self.session_manager.sessions.get(session.worker.id) is not session:
            return
        now = self.clock()
        logger.warning('token refused: worker={} token={}', session.worker.id, session.token)
        if self.may_act() and now - self.claimed_at > CLAIM_PAUSE_S:
            self.claimed_at = now
            self.open_submissions.starter.spawn(self.election.restart_tenure())
