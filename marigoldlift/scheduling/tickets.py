"""Tickets of the placement advice, which say on which workers a step may run if its queue uses the advice."""

import math
from collections.abc import Callable, Container, Sequence

from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.advice import AdviceBroker, Booking
from marigoldlift.scheduling.placement import Placer, fitting_tasks
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import PendingReason, StepRun, Ticket

__all__ = ('TicketManager',)

MS_PER_S = 1000

#: Subtracted from the validity of a ticket to allow for the delivery of the order, in s.
TICKET_MARGIN_S = 0.25

#: Pause after a failed advice request of a step, in s.
ASK_RETRY_S = 0.3

#: Minimum number of workers in the first request of a step, if so many have capacity; the platform's objective assumes
#: calls with 30 workers.
FIRST_CALL_WORKERS = 30

#: Workers to request per worker that the step needs, since only a share of the workers may run it.
CANDIDATES_PER_WORKER = 5

#: Capacity for which tickets are renewed, as a multiple of the need; some of it is taken before the answer arrives.
SPARE_CAPACITY_FACTOR = 1.5

#: Maximum number of workers in one advice call.
MAX_WORKERS_PER_CALL = 100


class TicketManager:
    """Requests tickets before tasks are started, and stores them in the steps."""

    def __init__(
        self,
        broker: AdviceBroker,
        placer: Placer,
        starter: Starter,
        clock: Callable[[], float],
        on_answer: Callable[[], None],
    ) -> None:
        """Start without pending requests.

        Args:
            broker: makes the advice calls.
            placer: counts how many tasks fit on a worker.
            starter: runs the requests in the background.
            clock: monotonic clock in seconds.
            on_answer: called after each answer.
        """
        self.broker = broker
        self.placer = placer
        self.starter = starter
        self.clock = clock
        self.on_answer = on_answer

    def permitted_workers(self, step: StepRun, pool: Pool) -> list[WorkerSession]:
        """Return the workers for which the step holds a valid ticket; all eligible ones if its queue needs none."""
        if step.job.submission.policy.advice is None:
            return list(pool.eligible(step.step))
        now = self.clock()
        return [
            pool.sessions[worker]
            for worker in step.tickets
            if worker in pool.sessions and step.holds_ticket(worker, now)
        ]

    def ask_if_needed(
        self, step: StepRun, pool: Pool, *, overdue: bool, has_reservation: bool
    ) -> None:
        """Request more tickets if those that the step holds are not enough to place it.

        Args:
            step: the waiting step.
            pool: workers that may get new tasks.
            overdue: whether the step has waited so long that its request is urgent and may name workers that it avoids.
            has_reservation: whether workers are reserved for the step, so that its tickets must be valid as soon as
                there is enough capacity.
        """
        if step.job.submission.policy.advice is None or self.clock() < step.ask_after:
            return
        if not self.broker.may_ask(urgent=overdue or step.job.is_urgent):
            return
        avoided = set() if overdue else self.placer.avoided_by_step(step)
        asked = self.workers_to_ask(
            step, list(pool.eligible(step.step)), avoided, has_reservation=has_reservation
        )
        if asked:
            step.ask_after = math.inf
            cost_s = self.broker.cost_s(step.job.submission.policy.advice, len(asked))
            self.starter.spawn(self.ask(step, asked, self.broker.book(cost_s), cost_s))

    def pending_reason(self, step: StepRun) -> PendingReason:
        """Return why a step has no valid ticket."""
        now = self.clock()
        if math.isinf(step.ask_after):
            return PendingReason.advice_call
        if now < step.ask_after:
            return PendingReason.advice_retry
        if not self.broker.may_ask(urgent=step.job.is_urgent):
            return PendingReason.advice_queue
        return PendingReason.advice_denied

    def workers_to_ask(
        self,
        step: StepRun,
        usable: Sequence[WorkerSession],
        avoided: Container[str],
        *,
        has_reservation: bool,
    ) -> list[str]:
        """Return the ids of the workers to request tickets for; empty if no request is useful.

        Expired tickets are renewed once the workers known to be allowed can hold the step; a step with a reservation
        renews them earlier, if no worker with capacity is left to ask about. Otherwise workers that the advice has not
        judged yet are added.

        Args:
            step: the waiting step.
            usable: workers that may get new tasks and have the label that the step requires.
            avoided: ids of the workers that the step currently avoids.
            has_reservation: whether workers are reserved for the step.
        """
        room = self.placer.room(step, usable)
        approved = [session for session in room if step.tickets.get(session.worker.id)]
        needed = step.step.count if step.step.gang else 1
        placeable = sum(room[session] for session in approved if session.worker.id not in avoided)
        unasked = [session for session in room if session.worker.id not in step.tickets]
        if placeable >= needed or (has_reservation and not unasked):
            return self.expired(step, approved)
        unasked.sort(key=room.__getitem__, reverse=True)
        asked = [session.worker.id for session in unasked[: self.call_size(step, unasked)]]
        return asked + self.expired(step, approved) if asked else []

    def expired(self, step: StepRun, approved: Sequence[WorkerSession]) -> list[str]:
        """Return workers whose tickets expire before an answer would arrive, as many as the waiting tasks need."""
        answered_at = self.clock() + self.broker.cost_s(
            step.job.submission.policy.advice, len(approved)
        )
        placeable = 0
        asked = []
        by_capacity = sorted(
            approved, key=lambda candidate: -self.placer.placeable_tasks(candidate, step)
        )
        for session in by_capacity:
            if placeable >= len(step.todo) * SPARE_CAPACITY_FACTOR:
                break
            placeable += self.placer.placeable_tasks(session, step)
            if not step.holds_ticket(session.worker.id, answered_at):
                asked.append(session.worker.id)
        return asked[:MAX_WORKERS_PER_CALL]

    def call_size(self, step: StepRun, unasked: Sequence[WorkerSession]) -> int:
        """Return how many new workers a request names.

        The first request of a step names an estimate of what it needs. If that was not enough, each further one names
        as many as a call may hold.
        """
        if not unasked:
            return 0
        if step.tickets:
            return MAX_WORKERS_PER_CALL
        tasks_per_worker = max(1, fitting_tasks(unasked[0], step.step))
        needed = math.ceil(len(step.todo) / tasks_per_worker)
        return min(MAX_WORKERS_PER_CALL, max(FIRST_CALL_WORKERS, needed * CANDIDATES_PER_WORKER))

    async def ask(
        self, step: StepRun, asked: Sequence[str], booking: Booking, cost_s: float
    ) -> None:
        """Make an advice request and store the tickets, which are valid for all tasks of the step."""
        policy = step.job.submission.policy.advice
        if policy is None:
            return
        allowed = None
        try:
            allowed = await self.broker.ask(booking, cost_s, step.name, asked)
        finally:
            step.ask_after = self.clock() + ASK_RETRY_S if allowed is None else 0
        if allowed is None:
            return
        until = self.clock() + policy.valid_ms / MS_PER_S - TICKET_MARGIN_S
        for worker in asked:
            ticket = allowed.get(worker)
            step.tickets[worker] = Ticket(ticket, until) if ticket else None
        logger.debug('advice: step={} asked={} allowed={}', step.name, len(asked), len(allowed))
        self.on_answer()
