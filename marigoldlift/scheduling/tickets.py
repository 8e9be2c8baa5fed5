"""Which workers may run a step, where the queue's policy asks the placement advice."""

import math
from collections.abc import Callable, Container, Sequence

from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.advice import AdviceBroker, Booking
from marigoldlift.scheduling.placement import Placer, room_for
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import PendingReason, StepRun, Ticket

__all__ = ('TicketManager',)

MS_PER_S = 1000

#: Taken off a ticket's validity for the way of the order, in s.
VALID_MARGIN_S = 0.25

#: Pause before a failed question is asked again, in s.
ASK_RETRY_S = 0.3

#: Workers named in the first question of a step; the platform's objective counts a call on 30.
FIRST_WORKERS = 30

#: Workers asked for each one that the step needs, since only a share of them may run it.
CANDIDATES_PER_WORKER = 5

#: Room that a question aims at, as a multiple of what is needed; some is taken before the answer comes.
SPARE_ROOM = 1.5

#: Most workers that one call may name.
MAX_WORKERS_PER_CALL = 100


class TicketManager:
    """Asks for tickets ahead of a start and keeps what was answered."""

    def __init__(
        self,
        broker: AdviceBroker,
        placer: Placer,
        starter: Starter,
        clock: Callable[[], float],
        answered: Callable[[], None],
    ) -> None:
        """Start without questions.

        Args:
            broker: makes the calls.
            placer: knows the room of workers.
            starter: runs the questions beside the scheduling pass.
            clock: steady time in seconds.
            answered: called after each answer.
        """
        self.broker = broker
        self.placer = placer
        self.starter = starter
        self.clock = clock
        self.answered = answered

    def allowed(self, step: StepRun, pool: Pool) -> list[WorkerSession]:
        """Return the workers for which the step holds a valid ticket; all where the queue needs none."""
        if step.job.submission.policy.advice is None:
            return list(pool.fitting(step.step))
        now = self.clock()
        return [
            pool.sessions[worker]
            for worker in step.tickets
            if worker in pool.sessions and step.holds_ticket(worker, now)
        ]

    def ask_if_needed(self, step: StepRun, pool: Pool, *, overdue: bool, reserves: bool) -> None:
        """Ask for more tickets when those at hand cannot place the step.

        Args:
            step: what waits.
            pool: workers that it may get.
            overdue: whether it has waited for so long that it goes before others.
            reserves: whether room is kept for it, so that it needs its tickets as soon as there is enough.
        """
        if step.job.submission.policy.advice is None or self.clock() < step.ask_after:
            return
        if not self.broker.may_ask(urgent=overdue or step.job.is_urgent):
            return
        avoided = set() if overdue else self.placer.avoided_by_step(step)
        named = self.workers_to_ask(
            step, list(pool.fitting(step.step)), avoided, reserves=reserves
        )
        if named:
            step.ask_after = math.inf
            cost_s = self.broker.cost_s(step.job.submission.policy.advice, len(named))
            self.starter.spawn(self.ask(step, named, self.broker.book(cost_s), cost_s))

    def pending_reason(self, step: StepRun) -> PendingReason:
        """Return why a step that holds no valid ticket has none."""
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
        reserves: bool,
    ) -> list[str]:
        """Return the workers to ask for.

        Args:
            step: what waits.
            usable: workers that it may get.
            avoided: those of them that it does not take for now.
            reserves: whether tickets are renewed before there is room.
        """
        roomy = [session for session in usable if self.placer.room(session, step)]
        known = [session for session in roomy if step.tickets.get(session.worker.id)]
        needed = step.step.count if step.step.gang else 1
        rooms = sum(
            self.placer.room(session, step)
            for session in known
            if session.worker.id not in avoided
        )
        unknown = [session for session in roomy if session.worker.id not in step.tickets]
        if rooms >= needed or (reserves and not unknown):
            return self.expired(step, known)
        unknown.sort(key=lambda session: -room_for(session, step.step))
        named = [session.worker.id for session in unknown[: self.call_size(step, unknown)]]
        return named + self.expired(step, known) if named else []

    def expired(self, step: StepRun, known: Sequence[WorkerSession]) -> list[str]:
        """Return workers whose tickets will be invalid when the answer comes, enough for the waiting tasks."""
        answered_at = self.clock() + self.broker.cost_s(
            step.job.submission.policy.advice, len(known)
        )
        rooms = 0
        named = []
        by_room = sorted(known, key=lambda holder: -self.placer.room(holder, step))
        for session in by_room:
            if rooms >= len(step.todo) * SPARE_ROOM:
                break
            rooms += self.placer.room(session, step)
            if not step.holds_ticket(session.worker.id, answered_at):
                named.append(session.worker.id)
        return named[:MAX_WORKERS_PER_CALL]

    def call_size(self, step: StepRun, unknown: Sequence[WorkerSession]) -> int:
        """Return how many workers a question names: as many as one may when those of the first did not do."""
        if not unknown:
            return 0
        if step.tickets:
            return MAX_WORKERS_PER_CALL
        room = max(1, room_for(unknown[0], step.step))
        needed = math.ceil(len(step.todo) / room)
        return min(MAX_WORKERS_PER_CALL, max(FIRST_WORKERS, needed * CANDIDATES_PER_WORKER))

    async def ask(
        self, step: StepRun, named: Sequence[str], booking: Booking, cost_s: float
    ) -> None:
        """Ask, and keep the answer for all tasks of the step."""
        policy = step.job.submission.policy.advice
        if policy is None:
            return
        allowed = None
        try:
            allowed = await self.broker.ask(booking, cost_s, step.name, named)
        finally:
            step.ask_after = self.clock() + ASK_RETRY_S if allowed is None else 0
        if allowed is None:
            return
        until = self.clock() + policy.valid_ms / MS_PER_S - VALID_MARGIN_S
        for worker in named:
            ticket = allowed.get(worker)
            step.tickets[worker] = Ticket(ticket, until) if ticket else None
        logger.debug('advice: step={} asked={} allowed={}', step.name, len(named), len(allowed))
        self.answered()
