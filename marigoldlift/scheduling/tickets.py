"""Tickets of the placement advice, which say on which workers a step may run if its queue uses the advice."""

import asyncio
import math
from collections.abc import Callable, Container, Sequence

import msgspec
from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.advice import AdviceBroker, Booking
from marigoldlift.scheduling.candidates import (
    AllowedShares,
    choose_candidates,
    is_useful,
    split_evenly,
    tasks_needed,
)
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import PendingReason, StepRun, Ticket
from marigoldlift.submissions.model import AdvicePolicy

__all__ = ('TicketManager',)

MS_PER_S = 1000

#: Subtracted from the validity of a ticket to allow for the delivery of the order, in s.
TICKET_MARGIN_S = 0.25

#: Pause after a failed advice request of a step, in s.
ASK_RETRY_S = 0.3

#: Minimum number of workers in the first request of a step, if so many have capacity; the platform's objective assumes
#: calls with 30 workers.
FIRST_CALL_WORKERS = 30

#: Capacity for which tickets are renewed, as a multiple of the need; some of it is taken before the answer arrives.
SPARE_CAPACITY_FACTOR = 1.5

#: Maximum number of workers in one advice call.
MAX_WORKERS_PER_CALL = 100

#: Minimum number of workers in each call of a divided question; each call costs a fixed time besides.
MIN_WORKERS_PER_CALL = 15

#: Smallest cost of the workers in a call of a divided question, as a share of its fixed cost.
SMALLEST_COST_SHARE = 0.25

#: Duration of a question up to which it is not divided, in s.
UNSPLIT_S = 0.1

#: Share of the idle entries that one question may use.
QUESTION_SHARE = 0.25


class PlannedCall(msgspec.Struct, frozen=True):
    """One call of a question.

    Attributes:
        workers: ids of the workers that it names.
        booking: booking of the first attempt.
        cost_s: how long the advice takes for it, in s.
    """

    workers: Sequence[str]
    booking: Booking
    cost_s: float


def smallest_part(policy: AdvicePolicy | None) -> int:
    """Return the minimum number of workers in each call of a divided question.

    Each call costs a fixed time besides, so parts whose workers cost much less than that keep entries busy for little.
    """
    if policy is None or not policy.worker_ms:
        return MIN_WORKERS_PER_CALL
    fixed = policy.decide_ms / policy.worker_ms
    return max(MIN_WORKERS_PER_CALL, int(fixed * SMALLEST_COST_SHARE))


def preferred(
    approved: Sequence[WorkerSession], avoided: Container[str]
) -> Sequence[WorkerSession]:
    """Return the workers that a step does not avoid, all of them if there are no others.

    Args:
        approved: workers that the advice allows.
        avoided: ids of the workers that the step currently avoids.
    """
    return [session for session in approved if session.worker.id not in avoided] or approved


class TicketManager:
    """Requests tickets before tasks are started, and stores them in the steps.

    Attributes:
        on_ended: called with a step whose question has ended, answered or not.
    """

    on_ended: Callable[[StepRun], None]

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
        self.shares = AllowedShares()

    def permitted_workers(self, step: StepRun, pool: Pool) -> list[WorkerSession]:
        """Return the eligible workers for which the step holds a valid ticket; all of them if its queue needs none.

        A worker may have restarted with other labels since its ticket was requested.
        """
        if step.job.submission.policy.advice is None:
            return list(pool.eligible(step.step))
        now = self.clock()
        ticketed = [
            pool.sessions[worker]
            for worker in step.tickets
            if worker in pool.sessions and step.holds_ticket(worker, now)
        ]
        return [session for session in ticketed if step.may_use(session.worker)]

    def ask_if_needed(
        self, step: StepRun, pool: Pool, admitted: int, *, overdue: bool, has_reservation: bool
    ) -> None:
        """Request more tickets if those that the step holds are not enough to place it.

        Args:
            step: the waiting step.
            pool: workers that may get new tasks.
            admitted: number of its waiting tasks that may be started now; none are asked for if it is 0.
            overdue: whether the step has waited so long that its request is urgent and may name workers that it avoids.
            has_reservation: whether workers are reserved for the step, so that its tickets must be valid as soon as
                there is enough capacity.
        """
        if step.job.submission.policy.advice is None or not admitted:
            return
        if self.clock() < step.ask_after:
            return
        if not self.broker.may_ask(urgent=overdue or step.job.is_urgent):
            return
        avoided = set() if overdue else self.placer.avoided_by_step(step)
        asked = self.workers_to_ask(
            step,
            list(pool.eligible(step.step)),
            avoided,
            admitted,
            has_reservation=has_reservation,
            is_pressing=overdue or has_reservation or not step.tickets,
        )
        if asked:
            self.begin_question(step, asked)

    def begin_question(self, step: StepRun, asked: Sequence[str]) -> None:
        """Book the calls of a question, and make them in the background; if that raises, the step may ask again."""
        calls = [self.plan_call(step, part) for part in self.split(step, asked)]
        step.ask_after = math.inf
        self.starter.spawn(self.ask(step, calls))

    def plan_call(self, step: StepRun, workers: Sequence[str]) -> PlannedCall:
        """Book a call that names the workers."""
        cost_s = self.broker.cost_s(step.job.submission.policy.advice, len(workers))
        return PlannedCall(workers, self.broker.book(cost_s), cost_s)

    def pending_reason(self, step: StepRun) -> PendingReason:
        """Return why a step has no valid ticket."""
        now = self.clock()
        if step.is_asking:
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
        admitted: int,
        *,
        has_reservation: bool,
        is_pressing: bool,
    ) -> list[str]:
        """Return the ids of the workers to request tickets for; empty if no request is useful.

        Expired tickets are renewed once the workers known to be allowed can hold the step; a step with a reservation
        renews them earlier, if no worker with capacity is left to ask about. Otherwise workers that the advice has not
        judged yet are added.

        Args:
            step: the waiting step.
            usable: workers that may get new tasks and have the label that the step requires.
            avoided: ids of the workers that the step currently avoids.
            admitted: number of its waiting tasks that may be started now.
            has_reservation: whether workers are reserved for the step.
            is_pressing: whether to ask even if the step is not likely to fit.
        """
        room = self.placer.room(step, usable)
        approved = [session for session in room if step.tickets.get(session.worker.id)]
        needed = step.step.count if step.step.gang else 1
        placeable = sum(room[session] for session in approved if session.worker.id not in avoided)
        unasked = [session for session in room if session.worker.id not in step.tickets]
        if placeable >= needed or (has_reservation and not unasked):
            return self.expired(step, preferred(approved, avoided), admitted)
        if not unasked:
            return []
        missing = admitted - placeable if step.step.gang else admitted
        at_least = MAX_WORKERS_PER_CALL if step.tickets else FIRST_CALL_WORKERS
        share = self.shares.share(step.job.submission.policy.queue)
        unjudged = sum(room[session] for session in unasked)
        useful_at = tasks_needed(admitted, len(step.active), gang=step.step.gang)
        if not is_pressing and not is_useful(placeable, unjudged, useful_at, share):
            return []
        asked = choose_candidates(room, unasked, missing, share, at_least)
        return asked + self.expired(step, preferred(approved, avoided), admitted)

    def expired(
        self, step: StepRun, approved: Sequence[WorkerSession], admitted: int
    ) -> list[str]:
        """Return workers whose tickets expire before an answer would arrive, as many as the admitted tasks need."""
        answered_at = self.clock() + self.broker.cost_s(
            step.job.submission.policy.advice, min(len(approved), MIN_WORKERS_PER_CALL)
        )
        placeable = 0
        asked = []
        by_capacity = sorted(
            approved, key=lambda candidate: -self.placer.placeable_tasks(candidate, step)
        )
        for session in by_capacity:
            if placeable >= admitted * SPARE_CAPACITY_FACTOR:
                break
            placeable += self.placer.placeable_tasks(session, step)
            if not step.holds_ticket(session.worker.id, answered_at):
                asked.append(session.worker.id)
        return asked

    def split(self, step: StepRun, asked: Sequence[str]) -> list[Sequence[str]]:
        """Divide the workers of a question into calls that other entries make at the same time.

        A question uses at most a part of the idle entries, so that others can be asked as well.
        """
        policy = step.job.submission.policy.advice
        smallest = math.ceil(len(asked) / MAX_WORKERS_PER_CALL)
        if self.broker.cost_s(policy, len(asked)) <= UNSPLIT_S:
            return split_evenly(asked, smallest)
        useful = math.ceil(len(asked) / smallest_part(policy))
        affordable = int(self.broker.spare() * QUESTION_SHARE)
        return split_evenly(asked, max(smallest, min(useful, affordable)))

    async def ask(self, step: StepRun, calls: Sequence[PlannedCall]) -> None:
        """Make the calls of a question at the same time; another question may follow once all have ended."""
        answered = False
        try:
            answers = await asyncio.gather(*(self.make_call(step, call) for call in calls))
            answered = any(answers)
        finally:
            step.ask_after = 0 if answered else self.clock() + ASK_RETRY_S
        self.on_ended(step)
        self.on_answer()

    async def make_call(self, step: StepRun, call: PlannedCall) -> bool:
        """Make one call and store the tickets, which are valid for all tasks of the step; return whether it succeeded."""
        policy = step.job.submission.policy
        allowed = await self.broker.ask(call.booking, call.cost_s, step.name, call.workers)
        if allowed is None or policy.advice is None:
            return False
        until = self.clock() + policy.advice.valid_ms / MS_PER_S - TICKET_MARGIN_S
        for worker in call.workers:
            ticket = allowed.get(worker)
            step.tickets[worker] = Ticket(ticket, until) if ticket else None
        self.shares.note(policy.queue, len(call.workers), len(allowed))
        logger.debug(
            'advice: step={} asked={} allowed={}', step.name, len(call.workers), len(allowed)
        )
        self.on_answer()
        return True
