"""Scheduling pass: assigns free capacity to waiting steps in order of urgency."""

import contextlib
import time
from collections.abc import Callable
from operator import itemgetter

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.cap_report import report_waiting, set_cap_gauges
from marigoldlift.scheduling.capability import Capabilities
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.pass_order import PassOrder
from marigoldlift.scheduling.pending import PendingSteps
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.run_times import LEARNING
from marigoldlift.scheduling.service_order import service_rank
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.tickets import TicketManager
from marigoldlift.scheduling.wait_report import WaitReport
from marigoldlift.scheduling.waiting_steps import WaitingSteps
from marigoldlift.supervision import FaultBoundary, ItemKind
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('Planner',)

MS_PER_S = 1000

#: Steps without enough capacity after which a pass tries only overdue steps; the others are tried in later passes.
MAX_FAILED_PLACEMENTS = 40

#: Reasons for which no other occurrence of the same step finds room in the same pass.
ROOM_REASONS = frozenset((PendingReason.room, PendingReason.headroom))

#: Share of a service's CPU that is reserved for submissions of the highest priority.
URGENT_SHARE = 0.06

#: Share of free CPU below which tasks that have time leave the fast workers to others; above it the fast ones hold all work.
TIGHT_SHARE = 0.7

#: Time within which all members of a gang must be started, as a share of the time that a started member waits for them.
GANG_START_SHARE = 0.4


class Planner:
    """Places waiting steps on workers, the most urgent first.

    Attributes:
        waiting: open steps with tasks to start.
        pools: workers by service and by whether quarantined ones are included, for the current pass.
        reserved: ids of the workers that are reserved for a waiting gang in the current pass.
        failed_placements: steps that could not be placed in the current pass.
        order: order of the steps in a pass, and the step of that gang.
        without_room: reason of an occurrence that found no room in the current pass, by submission and number of the step.
        capabilities: tells which steps no listed worker can hold.
        has_passed: whether a pass has ended; before, what runs is not known.
    """

    def __init__(
        self,
        session_manager: SessionManager,
        placer: Placer,
        tickets: TicketManager,
        starter: Starter,
        clock: Callable[[], float],
        gang_wait_s: float,
        pending: PendingSteps,
        faults: FaultBoundary,
    ) -> None:
        """Start without waiting steps.

        Args:
            session_manager: sessions with the workers.
            placer: selects workers by free capacity and health.
            tickets: holds the advice tickets, which say where a step may run.
            starter: sends start and stop orders.
            clock: monotonic clock in seconds.
            gang_wait_s: how long a member of a gang waits at its worker for the others, in seconds.
            pending: samples which steps are idle, and tells how many of their tasks the caps of workspaces admit.
            faults: sets aside submissions whose handling raises.
        """
        self.session_manager = session_manager
        self.placer = placer
        self.tickets = tickets
        self.starter = starter
        self.clock = clock
        self.faults = faults
        self.gang_limit_s = gang_wait_s * GANG_START_SHARE
        self.waiting = WaitingSteps(clock, faults)
        self.capabilities = Capabilities(session_manager.registry.workers)
        self.pools: dict[tuple[str, bool], Pool] = {}
        self.reserved: set[str] = set()
        self.failed_placements = 0
        self.order = PassOrder()
        tickets.on_ended = self.order.answered.add
        self.without_room: dict[tuple[JobRun, int], PendingReason] = {}
        self.has_passed = False
        self.pending = pending
        self.wait_report = WaitReport(placer, clock, pending.idle_since, pending.reasons)
        self.caps = pending.caps

    def run_pass(self) -> None:
        """Run one scheduling pass: place as many waiting steps as possible, in order of rank."""
        now = self.clock()
        wall_ms = time.time() * MS_PER_S
        self.pools = {}
        self.reserved = set()
        self.failed_placements = 0
        self.without_room.clear()
        self.capabilities.begin_pass()
        self.waiting.open_occurrences(wall_ms)
        self.waiting.drop_finished()
        self.order.drop_reasons(self.pending.reasons)
        ready = self.ready_steps(now, wall_ms)
        self.caps.begin_pass(self.waiting)
        for gang in filter(self.pending.is_overdue, ready):
            self.caps.reserve(gang)
        with contextlib.closing(self.order.turns(ready, now, self.clock)) as turns:
            for candidate in turns:
                if self.starter.limits.is_reached() and candidate.gang_started_at is None:
                    break
                with self.faults.contain(ItemKind.submission, candidate.job.id):
                    self.try_step(candidate)
        self.has_passed = True
        if self.wait_report.is_due():
            self.wait_report.report(self.waiting, self.pool)
            report_waiting(self.caps, ready, self.pending.reasons)

    def try_step(self, step: StepRun) -> None:
        """Place a step, unless too many could not be placed in this pass."""
        if self.failed_placements < MAX_FAILED_PLACEMENTS or self.pending.is_overdue(step):
            self.place(step)

    def ready_steps(self, now: float, wall_ms: float) -> list[StepRun]:
        """Return the steps that may be placed now, the most urgent first.

        Args:
            now: time of the monotonic clock in seconds.
            wall_ms: Unix time in ms.
        """
        ranked = []
        times = self.placer.times
        with self.faults.contain(ItemKind.round, LEARNING):
            times.refresh()
        for step in self.waiting:
            if self.faults.is_set_aside(step.job.id):
                continue
            with self.faults.contain(ItemKind.submission, step.job.id):
                if self.may_start(step, wall_ms):
                    step.job.refresh_times(times)
                    ranked.append((service_rank(step, now, wall_ms), step))
        ranked.sort(key=itemgetter(0))
        return [ready for _, ready in ranked]

    def sample_idle(self) -> None:
        """Record which steps are idle, with the reason that the last pass found."""
        self.pending.sample(self.waiting, time.time() * MS_PER_S)

    def set_gauges(self, metrics: Metrics) -> None:
        """Update the gauges of the caps before they are read."""
        set_cap_gauges(self.caps, metrics)

    def may_start(self, step: StepRun, wall_ms: float) -> bool:
        """Return whether a step is due, fits on the listed workers, and has a task that cannot be running already.

        Tasks that an earlier leader placed on a worker that is still unreachable may be running there or have ended.
        """
        if not step.job.is_runnable(step, wall_ms):
            return False
        unreachable = self.session_manager.earlier_orders.unreachable
        if step.old_places and not step.startable(unreachable):
            self.pending.reasons[step] = PendingReason.unreachable
            return False
        if step.gang_started_at is None and not self.capabilities.can_hold(step):
            self.pending.reasons[step] = PendingReason.no_worker
            return False
        return True

    def pool(self, service: str, *, include_quarantined: bool = False) -> Pool:
        """Return the workers of a service that may get new tasks in this pass.

        Args:
            service: name of the service.
            include_quarantined: whether to include workers that are quarantined after failures.
        """
        cached = self.pools.get((service, include_quarantined))
        if cached is None:
            cached = Pool(
                self.session_manager.usable(service, include_quarantined=include_quarantined)
            )
            self.pools[service, include_quarantined] = cached
        return cached

    def place(self, step: StepRun) -> None:
        """Place a step as far as the cap of its workspace admits it; one that it does not admit holds up no other."""
        known = self.without_room.get((step.job, step.number))
        if known is not None and not self.pending.is_overdue(step):
            self.pending.reasons[step] = known
            return
        if self.caps.is_exhausted(step) and not self.pending.is_overdue(step):
            self.pending.reasons[step] = self.caps.pending_reason(step)
            return
        admitted = self.caps.admit(step)
        if admitted:
            waiting = len(step.todo)
            try:
                self.place_admitted(step, admitted)
            finally:
                self.caps.note_placed(step, waiting - len(step.todo))
            admitted = self.caps.admit(step)
            self.caps.hold(step)
        if step.todo and not admitted:
            self.pending.reasons[step] = self.caps.refuse(step)
        self.note_without_room(step)

    def note_without_room(self, step: StepRun) -> None:
        """Keep the reason for other occurrences of a step that found no room, unless it may hold for this one alone."""
        reason = self.pending.reasons.get(step)
        is_alone = step.uses_tickets or step.avoid or step.step.spread_limit
        if reason in ROOM_REASONS and not is_alone and not (step.step.gang and step.last_run):
            self.without_room[step.job, step.number] = reason

    def place_admitted(self, step: StepRun, admitted: int) -> None:
        """Start as many of the admitted tasks of a step as possible, and request tickets for the rest."""
        overdue = self.pending.is_overdue(step)
        service = step.job.submission.policy.service
        pool = self.pool(service, include_quarantined=overdue)
        if not overdue and self.yields_to_urgent(step, pool):
            self.failed_placements += 1
            self.pending.reasons[step] = PendingReason.headroom
            return
        permitted = self.tickets.permitted_workers(step, pool)
        available = permitted if overdue or step.job.is_urgent else self.unreserved(permitted)
        self.placer.is_tight = pool.free_cpu_m < pool.cpu_m * TIGHT_SHARE
        waiting = len(step.todo)
        place = self.place_gang if step.step.gang else self.place_tasks
        placed = place(step, available, admitted, overdue=overdue)
        rest = admitted - waiting + len(step.todo)
        self.count_placed(service, step, admitted - rest)
        if placed:
            self.starter.log_placed(step)
        if rest and step.gang_started_at is None:
            asked = rest if available else self.caps.room_to_ask(step, rest)
            self.failed_placements += int(bool(available) and not placed)
            self.tickets.ask_if_needed(
                step, pool, asked, overdue=overdue, has_reservation=step is self.order.reserving
            )
            self.caps.note_question(step, asked)
            self.pending.reasons[step] = self.pending_reason(step, permitted, available, asked)

    def count_placed(self, service: str, step: StepRun, tasks: int) -> None:
        """Subtract placed tasks from the free CPU of all pools of the service."""
        for (owner, _), pool in self.pools.items():
            if owner == service:
                pool.subtract_tasks(step.step, tasks)

    def unreserved(self, permitted: list[WorkerSession]) -> list[WorkerSession]:
        """Return the workers that are not reserved for a waiting gang."""
        return [session for session in permitted if session.worker.id not in self.reserved]

    def pending_reason(
        self,
        step: StepRun,
        permitted: list[WorkerSession],
        available: list[WorkerSession],
        asked: int,
    ) -> PendingReason:
        """Return why a step was not placed completely; `asked` is the number of tasks that it may ask the advice for."""
        if not asked:
            return PendingReason.cap
        if available:
            return PendingReason.room
        return PendingReason.reserved if permitted else self.tickets.pending_reason(step)

    def yields_to_urgent(self, step: StepRun, pool: Pool) -> bool:
        """Return whether a task of the step would use CPU that is reserved for urgent submissions.

        A gang that is starting is exempt, so that its missing members can still join.
        """
        if step.job.is_urgent or step.gang_started_at is not None:
            return False
        return pool.free_cpu_m - step.step.cpu_m < pool.cpu_m * URGENT_SHARE

    def place_tasks(
        self, step: StepRun, available: list[WorkerSession], admitted: int, *, overdue: bool
    ) -> bool:
        """Start tasks one by one, as many as are admitted.

        Stops at the first task that fits nowhere, unless it has failed somewhere: then others may still find a worker. Also
        stops while too many starts are in flight, so that other work of the leader is not held up.
        """
        placed = 0
        accepting = list(self.starter.limits.accepting(available))
        startable = step.startable(self.session_manager.earlier_orders.unreachable)
        for index in self.starter.limits.until_reached(startable):
            session = self.placer.place_one(step, index, accepting, overdue=overdue)
            placed += self.start_at(step, index, session, accepting)
            if placed >= admitted or (session is None and not step.avoid.get(index)):
                break
        return placed > 0

    def start_at(
        self,
        step: StepRun,
        index: int,
        session: WorkerSession | None,
        accepting: list[WorkerSession],
    ) -> int:
        """Start a task on the worker that was found for it, and return the number of starts.

        Args:
            step: step of the task.
            index: index of the task.
            session: the worker, None if there is none.
            accepting: workers that take further starts; the worker is removed once it takes no more.
        """
        if session is None:
            return 0
        started = self.starter.start(step, index, session, step.next_run(index))
        if not self.starter.limits.accepts(session):
            accepting.remove(session)
        return int(started)

    def place_gang(
        self, step: StepRun, available: list[WorkerSession], admitted: int, *, overdue: bool
    ) -> bool:
        """Start a whole gang, or the missing members of one that is starting.

        A gang that fits nowhere reserves workers for itself; one that fits only on workers that it avoids just waits.
        """
        if step.gang_started_at is not None:
            return self.complete_gang(step, available, admitted, overdue=overdue)
        if step.active or len(step.todo) < step.step.count:
            return False
        if any(self.starter.is_held(step.task(index)) for index in step.todo):
            return False
        places = self.placer.place_gang(step, available, overdue=overdue)
        if places is None:
            if self.placer.place_gang(step, available, overdue=True) is None:
                self.reserve(step)
            return False
        run = step.next_run(0)
        step.gang_started_at = self.clock()
        for index, session in enumerate(places):
            self.starter.start(step, index, session, run)
        return True

    def complete_gang(
        self, step: StepRun, available: list[WorkerSession], admitted: int, *, overdue: bool
    ) -> bool:
        """Start the missing members of a gang under the same run number while the started ones still wait for them.

        If that takes too long, or a member has ended, all members are stopped; the gang is started again later.
        """
        began = step.gang_started_at or 0
        if step.gang_broken or self.clock() - began > self.gang_limit_s:
            step.gang_broken = True
            self.starter.stop_step(step)
            return False
        return self.place_tasks(step, available, admitted, overdue=overdue)

    def reserve(self, step: StepRun) -> None:
        """Reserve all workers that the step has a ticket for, expired or not, against less urgent steps.

        Only the most urgent gang that does not fit gets a reservation; later ones in the same pass get none.
        """
        if not self.reserved:
            self.order.reserving = step
            self.reserved = {worker for worker, ticket in step.tickets.items() if ticket}
