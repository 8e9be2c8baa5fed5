"""The scheduling pass: in which order waiting steps get the room that is free."""

import time
from collections.abc import Callable

from loguru import logger

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.pending import PendingSteps
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.pool import Pool
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.tickets import TicketManager
from marigoldlift.scheduling.wait_report import WaitReport
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('Planner',)

MS_PER_S = 1000

#: Steps that find no room after which a pass places only what is overdue; those behind are served in later passes.
MAX_FAILED_PLACEMENTS = 40

#: Share of a service's processors that only work of the highest priority may take.
URGENT_SHARE = 0.06

#: How long the members of a gang may take to start, as a share of the time that early ones wait for the others.
GANG_START_SHARE = 0.4


class Planner:
    """Places what waits, the most urgent first."""

    def __init__(
        self,
        session_manager: SessionManager,
        placer: Placer,
        tickets: TicketManager,
        starter: Starter,
        clock: Callable[[], float],
        gang_wait_s: float,
        metrics: Metrics,
    ) -> None:
        """Start with nothing waiting.

        Args:
            session_manager: the workers.
            placer: chooses among them.
            tickets: knows which of them may run a step.
            starter: sends the orders.
            clock: steady time in seconds.
            gang_wait_s: how long a member waits at its worker for the others.
            metrics: takes the times for which steps are idle.
        """
        self.session_manager = session_manager
        self.placer = placer
        self.tickets = tickets
        self.starter = starter
        self.clock = clock
        self.gang_limit_s = gang_wait_s * GANG_START_SHARE
        self.waiting: dict[StepRun, None] = {}
        self.pools: dict[tuple[str, bool], Pool] = {}
        self.reserved: set[str] = set()
        self.reserving_step: StepRun | None = None
        self.failed_placements = 0
        self.wait_report = WaitReport(placer, clock)
        self.pending = PendingSteps(placer, session_manager, clock, metrics)

    def add(self, step: StepRun) -> None:
        """Let a step wait for room."""
        if step.todo:
            self.waiting[step] = None

    def run_pass(self) -> None:
        """Place what can be placed now."""
        now = self.clock()
        wall_ms = time.time() * MS_PER_S
        self.pools = {}
        self.reserved = set()
        self.reserving_step = None
        self.failed_placements = 0
        self.drop_finished()
        self.pending.reasons.clear()
        ready = [step for step in self.waiting if self.may_start(step, wall_ms)]
        ready.sort(key=lambda step: step.job.rank(now))
        for candidate in ready:
            if self.failed_placements < MAX_FAILED_PLACEMENTS or self.pending.is_overdue(
                candidate
            ):
                self.place(candidate)
        if self.wait_report.is_due():
            self.wait_report.report(ready, self.pool)

    def sample_idle(self) -> None:
        """Take in which steps are idle, with the reason from the last pass."""
        self.pending.sample(self.waiting, time.time() * MS_PER_S)

    def drop_finished(self) -> None:
        """Leave out the steps that no longer wait."""
        finished = [step for step in self.waiting if not step.todo or step.job.outcome]
        for step in finished:
            self.waiting.pop(step)

    def may_start(self, step: StepRun, wall_ms: float) -> bool:
        """Tell whether a step's turn has come, and some of its tasks surely run nowhere."""
        if not step.job.is_runnable(step, wall_ms):
            return False
        if not step.startable(self.session_manager.unreachable):
            self.pending.reasons[step] = PendingReason.unreachable
            return False
        return True

    def pool(self, service: str, *, include_quarantined: bool = False) -> Pool:
        """Return the workers of a service that may get new work in this pass.

        Args:
            service: name of the service.
            include_quarantined: whether workers count that have failed lately.
        """
        known = self.pools.get((service, include_quarantined))
        if known is None:
            known = Pool(
                self.session_manager.usable(service, include_quarantined=include_quarantined)
            )
            self.pools[service, include_quarantined] = known
        return known

    def place(self, step: StepRun) -> None:
        """Start what can be started of a step, and ask for tickets for the rest."""
        overdue = self.pending.is_overdue(step)
        service = step.job.submission.policy.service
        pool = self.pool(service, include_quarantined=overdue)
        if not overdue and self.yields_to_urgent(step, pool):
            self.failed_placements += 1
            self.pending.reasons[step] = PendingReason.headroom
            return
        holders = self.tickets.allowed(step, pool)
        allowed = holders if overdue or step.job.is_urgent else self.unreserved(holders)
        waiting = len(step.todo)
        place = self.place_gang if step.step.gang else self.place_tasks
        placed = place(step, allowed, overdue=overdue)
        self.count(service, step, waiting - len(step.todo))
        if placed:
            logger.info(
                'step placed: step={} run={} active={} todo={} age_s={:.2f}',
                step.name,
                step.last_run,
                len(step.active),
                len(step.todo),
                self.clock() - step.job.since,
            )
        if step.todo and step.gang_started_at is None:
            self.failed_placements += int(bool(allowed) and not placed)
            self.tickets.ask_if_needed(
                step, pool, overdue=overdue, reserves=step is self.reserving_step
            )
            self.pending.reasons[step] = self.pending_reason(step, holders, allowed)

    def count(self, service: str, step: StepRun, tasks: int) -> None:
        """Count what was placed, in all pools of the service."""
        for (owner, _), pool in self.pools.items():
            if owner == service:
                pool.take(step.step, tasks)

    def unreserved(self, holders: list[WorkerSession]) -> list[WorkerSession]:
        """Return the workers that are not kept for a gang that waits."""
        return [session for session in holders if session.worker.id not in self.reserved]

    def pending_reason(
        self, step: StepRun, holders: list[WorkerSession], allowed: list[WorkerSession]
    ) -> PendingReason:
        """Return what a step lacks that was not placed whole."""
        if allowed:
            return PendingReason.room
        return PendingReason.reserved if holders else self.tickets.pending_reason(step)

    def yields_to_urgent(self, step: StepRun, pool: Pool) -> bool:
        """Tell whether less urgent work would take the share that urgent work needs at once."""
        if step.job.is_urgent or step.gang_started_at is not None:
            return False
        return pool.free_cpu_m - step.step.cpu_m < pool.cpu_m * URGENT_SHARE

    def place_tasks(self, step: StepRun, allowed: list[WorkerSession], *, overdue: bool) -> bool:
        """Start single tasks while they fit."""
        placed = False
        for index in step.startable(self.session_manager.unreachable):
            session = self.placer.place_one(step, index, allowed, overdue=overdue)
            if session is None and not step.avoid.get(index):
                return placed
            if session is not None:
                placed |= self.starter.start(step, index, session, step.next_run(index))
        return placed

    def place_gang(self, step: StepRun, allowed: list[WorkerSession], *, overdue: bool) -> bool:
        """Start a whole gang, or the members that are missing in one that has just started."""
        if step.gang_started_at is not None:
            return self.complete_gang(step, allowed, overdue=overdue)
        if step.active or len(step.todo) < step.step.count:
            return False
        if any(self.starter.is_held(step.task(index)) for index in step.todo):
            return False
        places = self.placer.place_gang(step, allowed, overdue=overdue)
        if places is None:
            if self.placer.place_gang(step, allowed, overdue=True) is None:
                self.reserve(step)
            return False
        run = step.next_run(0)
        step.gang_started_at = self.clock()
        for index, session in enumerate(places):
            self.starter.start(step, index, session, run)
        return True

    def complete_gang(self, step: StepRun, allowed: list[WorkerSession], *, overdue: bool) -> bool:
        """Start missing members under the gang's run while the others still wait for them."""
        began = step.gang_started_at or 0
        if step.gang_broken or self.clock() - began > self.gang_limit_s:
            step.gang_broken = True
            self.starter.stop_step(step)
            return False
        return self.place_tasks(step, allowed, overdue=overdue)

    def reserve(self, step: StepRun) -> None:
        """Keep less urgent work off the workers that the first gang without room may use, valid ticket or not."""
        if not self.reserved:
            self.reserving_step = step
            self.reserved = {worker for worker, ticket in step.tickets.items() if ticket}
