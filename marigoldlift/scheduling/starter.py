"""Carries out what was placed: starts and stops, and what follows from refusals."""

from collections.abc import Coroutine
from typing import Protocol

from loguru import logger

from marigoldlift.errors import WorkerRefusedError
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import TaskRef
from marigoldlift.supervision import TaskSet

__all__ = ('Starter',)

#: How long a worker that refuses connections, or a start for want of room, gets no new work, in s.
FULL_PAUSE_S = 0.5

#: Pause before an unanswered stop is sent again, in s.
STOP_RETRY_S = 0.5


class TenureEvents(Protocol):
    """What a starter asks and tells the tenure."""

    def may_act(self) -> bool:
        """Tell whether orders may be given now."""

    def step_requeued(self, step: StepRun) -> None:
        """Let a step wait again."""

    def start_answered(self, step: StepRun, reason: str) -> None:
        """A worker has answered a start, or surely did not get it."""


class Starter:
    """Sends orders without holding the scheduling pass up."""

    def __init__(
        self, session_manager: SessionManager, progress: ProgressWriter, events: TenureEvents
    ) -> None:
        """Start without orders under way."""
        self.session_manager = session_manager
        self.progress = progress
        self.events = events
        self.clock = session_manager.clock
        self.tasks = TaskSet()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run an order beside the others."""
        self.tasks.spawn(work)

    def cancel(self) -> None:
        """Leave the orders under way to the next leader."""
        self.tasks.cancel()

    def is_held(self, ref: TaskRef) -> bool:
        """Tell whether a worker still holds a run of a task, as one that nobody ordered; the checks stop it."""
        return any(ref in session.room.runs for session in self.session_manager.sessions.values())

    def start(self, step: StepRun, index: int, session: WorkerSession, run: int) -> bool:
        """Take the room of a task and order its start, unless a worker still holds a run of it."""
        ref = step.task(index)
        if self.is_held(ref):
            return False
        ordered = Run(ref, run, step.step, Phase.sent, self.clock())
        ordered.checkpoint = step.checkpoint(index)
        session.room.take(ordered)
        step.begin(index, session, run)
        self.spawn(self.send(step, session, ordered))
        return True

    async def send(self, step: StepRun, session: WorkerSession, ordered: Run) -> None:
        """Order a start; one that ends by a fault is in doubt until a look proves that it is not there."""
        try:
            await self.order(step, session, ordered)
        except Exception as fault:
            logger.opt(exception=fault).error('order of a start ended by a fault')
            if session.room.runs.get(ordered.task) is ordered:
                session.mark_uncertain(ordered, fault)
            else:
                self.requeue_task(step, ordered.task.index, session)

    async def order(self, step: StepRun, session: WorkerSession, ordered: Run) -> None:
        """Store where the task will run, order its start, and let it wait again when it surely does not run."""
        await self.progress.store_now(step.job)
        if not self.is_start_valid(step, session, ordered):
            session.drop(ordered)
            self.requeue_task(step, ordered.task.index, session)
            return
        leave = step.tickets.get(session.worker.id)
        ticket = leave.ticket if leave else ''
        content = step.job.submission.content
        try:
            runs = await session.start(ordered, content, ticket)
        except WorkerRefusedError as refusal:
            logger.info(
                'start refused: task={} run={} worker={} reason={}',
                ordered.task.name,
                ordered.run,
                session.worker.id,
                refusal.worker_code,
            )
            self.handle_refusal(step, session, refusal.worker_code)
            self.events.start_answered(step, refusal.worker_code)
            runs = False
        else:
            self.events.start_answered(step, outcome_of(ordered, runs=runs))
            if not runs:
                session.full_until = self.clock() + FULL_PAUSE_S
        if not runs:
            self.requeue_task(step, ordered.task.index, session)

    def is_start_valid(self, step: StepRun, session: WorkerSession, ordered: Run) -> bool:
        """Tell whether a start is still to be sent after its placement was stored."""
        if step.job.outcome is not None or step.gang_broken or not self.events.may_act():
            return False
        if step.active.get(ordered.task.index) is not session or ordered.phase is not Phase.sent:
            return False
        return step.job.submission.policy.advice is None or step.holds_ticket(
            session.worker.id, self.clock()
        )

    def handle_refusal(self, step: StepRun, session: WorkerSession, reason: str) -> None:
        """Learn from the reason of a refusal."""
        if reason == 'ticket':
            step.tickets.pop(session.worker.id, None)
        elif reason == 'room':
            session.full_until = self.clock() + FULL_PAUSE_S
        elif reason == 'old':
            step.gang_broken = step.step.gang
        elif reason == 'unhealthy':
            self.session_manager.health(session.worker.id).fail(self.clock())

    def requeue_task(self, step: StepRun, index: int, session: WorkerSession) -> None:
        """Let a task wait again, unless it runs elsewhere by now."""
        if step.active.get(index) is session:
            step.requeue(index)
            self.events.step_requeued(step)

    def stop(self, session: WorkerSession, task: TaskRef) -> None:
        """Order the end of a run."""
        self.spawn(session.stop(task))

    def stop_step(self, step: StepRun) -> None:
        """Order the end of all runs of a step."""
        for index, session in list(step.active.items()):
            self.request_stop(session, step.task(index))

    def request_stop(self, session: WorkerSession, task: TaskRef) -> None:
        """Order the end of a run, unless that was sent a moment ago."""
        known = session.room.runs.get(task)
        if known is None:
            return
        if known.stop_sent_at is None or self.clock() - known.stop_sent_at > STOP_RETRY_S:
            known.stop_sent_at = self.clock()
            self.stop(session, task)


def outcome_of(ordered: Run, *, runs: bool) -> str:
    """Return what is counted for a start that was not refused."""
    if not runs:
        return 'unreachable'
    return 'doubtful' if ordered.unanswered else 'started'
