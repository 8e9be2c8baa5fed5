"""Sends start and stop orders to workers and handles refusals."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from enum import Enum
from functools import partial
from typing import Protocol

from loguru import logger

from marigoldlift.errors import OrderWithdrawnError, WorkerRefusedError
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.placements import Placement
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.start_limits import StartLimits
from marigoldlift.scheduling.stop_queue import StopQueue
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import TaskRef
from marigoldlift.supervision import TaskSet, is_ending

__all__ = ('Starter',)

#: How long a worker gets no new tasks after it refused a connection, or a start for lack of capacity, in s.
FULL_PAUSE_S = 0.5

#: Pause before an unanswered stop is sent again, in s.
STOP_RETRY_S = 0.5


class Withdrawal(Enum):
    """Why a start is not sent although its task was placed.

    Attributes:
        not_stored: its placement cannot be stored.
        closed: its submission has an outcome.
        gang_broken: a member of its gang has ended.
        not_leading: this tenure may not send orders now.
        replaced: the task is not placed there any more, or a stop was requested.
        silent: the worker has not answered recently.
        displaced: nothing, or another instance, listens at the worker's address.
        restarted: the worker may have restarted.
        cap: the cap of its workspace does not admit it any more.
        ticket: its ticket has expired.
    """

    not_stored = 'not_stored'
    closed = 'closed'
    gang_broken = 'gang_broken'
    not_leading = 'not_leading'
    replaced = 'replaced'
    silent = 'silent'
    displaced = 'displaced'
    restarted = 'restarted'
    cap = 'cap'
    ticket = 'ticket'


class TenureEvents(Protocol):
    """Callbacks of the starter to the tenure."""

    def may_act(self) -> bool:
        """Return whether this tenure may send orders now."""

    def capacity_changed(self) -> None:
        """Request a scheduling pass."""

    def still_admits(self, step: StepRun) -> bool:
        """Return whether the cap of a step's workspace still admits a start that was placed."""

    def step_requeued(self, step: StepRun) -> None:
        """Queue a step again after one of its tasks was requeued."""

    def start_answered(self, step: StepRun, reason: str) -> None:
        """Record the outcome of a start: the reason of its refusal, or what `outcome_of` returns."""


class Starter:
    """Sends orders in background tasks, so that the scheduling pass does not wait for them.

    Attributes:
        limits: starts in flight; the scheduling pass places no further tasks where a limit is reached.
        stops: stops in flight, and those that wait.
    """

    def __init__(
        self, session_manager: SessionManager, progress: ProgressWriter, events: TenureEvents
    ) -> None:
        """Start without orders in flight."""
        self.session_manager = session_manager
        self.progress = progress
        self.events = events
        self.clock = session_manager.clock
        self.tasks = TaskSet()
        self.limits = StartLimits(events.capacity_changed)
        self.stops = StopQueue()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background until it ends or the starter is cancelled."""
        self.tasks.spawn(work)

    def cancel(self) -> None:
        """Cancel all orders in flight; the next leader takes over from there."""
        self.tasks.cancel()
        self.stops.cancel()

    def is_held(self, ref: TaskRef) -> bool:
        """Return whether any worker still holds a run of a task.

        This may be a run that was replaced or that this leader did not order; the periodic checks stop such runs.
        """
        return self.session_manager.held_tasks.is_held(ref)

    def start(self, step: StepRun, index: int, session: WorkerSession, run: int) -> bool:
        """Reserve capacity for a task and send its start in the background, unless a worker still holds a run of it."""
        ref = step.task(index)
        if self.is_held(ref):
            return False
        ordered = Run(ref, run, step.step, Phase.sent, self.clock())
        ordered.checkpoint = step.checkpoint(index)
        session.run_table.take(ordered)
        placement = step.begin(index, session, run)
        self.spawn(self.send(step, placement, ordered, self.limits.begin(session)))
        return True

    def log_placed(self, step: StepRun) -> None:
        """Log that tasks of a step were placed."""
        logger.info(
            'step placed: step={} run={} active={} todo={} age_s={:.2f}',
            step.name,
            step.last_run,
            len(step.active),
            len(step.todo),
            self.clock() - step.job.since,
        )

    def repeat(self, step: StepRun, session: WorkerSession, ordered: Run) -> None:
        """Send the start of a run again, unless its worker gets no more tasks of the step."""
        service = step.job.submission.policy.service
        usable = self.session_manager.usable(service, include_quarantined=True)
        placement = step.active.of_run(session, ordered.task.index, ordered.run)
        if placement is None or session not in usable or session.run_table.is_overfull():
            return
        if step.may_use(session.worker) and self.limits.accepts(session):
            ordered.repeat()
            self.spawn(self.send(step, placement, ordered, self.limits.begin(session)))

    async def send(
        self, step: StepRun, placement: Placement, ordered: Run, counted: ExitStack
    ) -> None:
        """Send a start order and handle unexpected exceptions.

        After an exception the outcome of the start is unknown until a status poll proves that the run does not exist.

        Args:
            step: step of the task.
            placement: placement of the task that the order belongs to.
            ordered: the run to start.
            counted: counts the start as one in flight.
        """
        session = placement.session
        try:
            with counted:
                await self.order(step, placement, ordered)
        except (Exception, asyncio.CancelledError) as fault:
            if is_ending():
                raise
            logger.opt(exception=fault).error('order of a start ended by a fault')
            if session.run_table.runs.get(ordered.task) is ordered:
                session.mark_uncertain(ordered, fault)
            else:
                self.requeue_task(step, placement)

    async def order(self, step: StepRun, placement: Placement, ordered: Run) -> None:
        """Store where the task will run, then order its start; requeue the task if it certainly does not run.

        The placement is stored first, so that a later leader knows where the task may be running.
        """
        runs = False
        may_send = partial(self.may_send, step, placement, ordered)
        is_stored = await self.progress.store_now(step)
        if is_stored and may_send():
            runs = await self.deliver(step, placement, ordered, may_send)
        else:
            placement.session.drop(ordered)
        if not is_stored:
            log_withdrawn(placement, ordered, Withdrawal.not_stored)
        if not runs:
            self.requeue_task(step, placement)

    async def deliver(
        self, step: StepRun, placement: Placement, ordered: Run, may_send: Callable[[], bool]
    ) -> bool:
        """Order the start of a run whose placement is stored.

        Args:
            step: step of the task.
            placement: placement of the task that the order belongs to.
            ordered: the run to start.
            may_send: asked again just before the order leaves, which may wait for a connection.

        Returns:
            False if the run certainly does not exist.
        """
        session = placement.session
        granted = step.tickets.get(session.worker.id)
        ticket = granted.ticket if granted else ''
        content = step.job.submission.content
        details = ordered.task.name, ordered.run, session.worker.id
        logger.debug('start sent: task={} run={} worker={}', *details)
        try:
            runs = await session.start(ordered, content, ticket, may_send)
        except OrderWithdrawnError:
            return False
        except WorkerRefusedError as refusal:
            reason = refusal.worker_code
            logger.info('start refused: task={} run={} worker={} reason={}', *details, reason)
            self.handle_refusal(step, placement, reason)
            self.events.start_answered(step, reason)
            return False
        self.events.start_answered(step, outcome_of(ordered, runs=runs))
        if not runs:
            logger.info('start not delivered: task={} run={} worker={}', *details)
            session.full_until = self.clock() + FULL_PAUSE_S
        return runs

    def may_send(self, step: StepRun, placement: Placement, ordered: Run) -> bool:
        """Return whether a start whose placement is stored may be sent, and log why it may not."""
        withdrawal = self.withdrawal(step, placement, ordered)
        if withdrawal is not None:
            log_withdrawn(placement, ordered, withdrawal)
        return withdrawal is None

    def withdrawal(self, step: StepRun, placement: Placement, ordered: Run) -> Withdrawal | None:
        """Return why a start must not be sent any more, None if it may be; asked after each wait."""
        session = placement.session
        if step.job.outcome is not None:
            return Withdrawal.closed
        if step.gang_broken:
            return Withdrawal.gang_broken
        if not self.events.may_act():
            return Withdrawal.not_leading
        if not is_current(step, placement, ordered) or ordered.phase is not Phase.sent:
            return Withdrawal.replaced
        if not session.is_heard():
            return Withdrawal.silent
        return self.missing_permission(step, session)

    def missing_permission(self, step: StepRun, session: WorkerSession) -> Withdrawal | None:
        """Return what does not permit a start at a worker any more, None if nothing does."""
        if session.worker.id in self.session_manager.claimed_restarts.open_claims():
            return Withdrawal.restarted
        if session.contact.is_displaced:
            return Withdrawal.displaced
        if not self.events.still_admits(step):
            return Withdrawal.cap
        if not step.uses_tickets or step.holds_ticket(session.worker.id, self.clock()):
            return None
        return Withdrawal.ticket

    def handle_refusal(self, step: StepRun, placement: Placement, reason: str) -> None:
        """Update tickets, pauses, gang state or health according to the reason of a refusal."""
        session = placement.session
        if reason == 'ticket':
            step.tickets.pop(session.worker.id, None)
        elif reason == 'room':
            session.full_until = self.clock() + FULL_PAUSE_S
        elif reason == 'old':
            break_gang(step, placement)
        elif reason == 'unhealthy':
            self.session_manager.health(session.worker.id).record_failure(self.clock())

    def requeue_task(self, step: StepRun, placement: Placement) -> None:
        """Queue a task again, unless it has been placed anew in the meantime."""
        if step.active.is_present(placement):
            step.requeue(placement.index)
            self.events.step_requeued(step)

    def stop(self, session: WorkerSession, task: TaskRef) -> None:
        """Send a stop order for a run in the background, once the limits of stops in flight allow it."""
        known = session.run_table.runs.get(task)
        if known is not None:
            self.stops.add(session, known)

    def stop_step(self, step: StepRun) -> None:
        """Request a stop of all runs of a step."""
        for placement in list(step.active.values()):
            self.request_stop(placement.session, step.task(placement.index))

    def request_stop(self, session: WorkerSession, task: TaskRef) -> None:
        """Stop a run, unless a stop was sent within the retry pause."""
        held_run = session.run_table.runs.get(task)
        if held_run is None:
            return
        if held_run.stop_sent_at is None or self.clock() - held_run.stop_sent_at > STOP_RETRY_S:
            self.stop(session, task)


def log_withdrawn(placement: Placement, ordered: Run, withdrawal: Withdrawal) -> None:
    """Log why a start is not sent."""
    logger.info(
        'start withdrawn: task={} run={} worker={} reason={}',
        ordered.task.name,
        ordered.run,
        placement.session.worker.id,
        withdrawal.value,
    )


def break_gang(step: StepRun, placement: Placement) -> None:
    """Let all members of a gang end before its next run, unless the member with this placement belongs to an earlier one."""
    if step.active.is_present(placement):
        step.gang_broken = step.step.gang


def is_current(step: StepRun, placement: Placement, ordered: Run) -> bool:
    """Return whether an order is still that of the present placement of its task, and its run was not given up."""
    held = placement.session.run_table.runs.get(ordered.task)
    return held is ordered and step.active.is_present(placement)


def outcome_of(ordered: Run, *, runs: bool) -> str:
    """Return the label under which a start that was not refused is counted in the metrics."""
    if not runs:
        return 'unreachable'
    return 'doubtful' if ordered.unanswered else 'started'
