"""Sessions with all workers that the registry lists or that may still hold tasks."""

import asyncio
from collections.abc import Mapping

import msgspec
from loguru import logger

from marigoldlift.leadership.earlier_leaders import EarlierLeaders
from marigoldlift.orders.api import Worker, WorkerCalls
from marigoldlift.orders.observer import RunObserver
from marigoldlift.orders.polling import poll_continuously
from marigoldlift.orders.runs import HeldTasks, Order, Run
from marigoldlift.orders.session import WorkerSession, give_up_late_starts
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.claimed_restarts import ClaimedRestarts
from marigoldlift.scheduling.earlier_orders import EarlierOrders
from marigoldlift.scheduling.worker_health import WorkerHealth
from marigoldlift.scheduling.registry import Registry
from marigoldlift.scheduling.worker_records import WorkerRecords
from marigoldlift.submissions.records import KnownWorker
from marigoldlift.submissions.state import CellState
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('SessionManager', 'restarted_worker')

MS_PER_S = 1000

#: Subtracted from the longest lease that workers accept to allow for the delivery of the order, in s.
LEASE_MARGIN_S = 0.1

#: Factor for a worker's clock that runs slow, and allowance for late timers, in s.
SLOW_CLOCK_FACTOR = 1.02
TIMER_SLACK_S = 0.4

#: Pause before a worker is polled again after an unexpected exception, in s.
POLL_RETRY_S = 0.2


class SessionManager:
    """Opens, renews and closes the sessions of one tenure.

    Attributes:
        lease_s: length of the leases that sessions give, in s.
        sessions: sessions by worker id.
        held_tasks: tasks of which any worker holds a run.
        health_records: failures by worker id.
        records: records of the workers in the log.
        leave_at: earliest time at which a draining worker leaves, by id, in seconds of the monotonic clock.
        earlier_orders: what may remain of the orders of earlier leaders.
        claimed_restarts: entries of later incarnations that the workers have not confirmed.
        dated: workers of which an entry had a time of birth; the entries of others count as those of the present
            incarnation.
        closed_tokens: last fencing token of the closed sessions, by worker id.
        tasks: polling tasks by worker id.
        faults: sets aside workers whose handling raises.
    """

    def __init__(
        self,
        registry: Registry,
        state: CellState,
        calls: WorkerCalls,
        appender: Appender,
        observer: RunObserver[WorkerSession],
        tenure: int,
        longest_lease_s: float,
        faults: FaultBoundary,
    ) -> None:
        """Start without sessions."""
        self.registry = registry
        self.state = state
        self.calls = calls
        self.observer = observer
        self.tenure = tenure
        self.faults = faults
        self.clock = state.clock
        self.lease_s = longest_lease_s - LEASE_MARGIN_S
        self.sessions: dict[str, WorkerSession] = {}
        self.held_tasks = HeldTasks()
        self.health_records: dict[str, WorkerHealth] = {}
        self.records = WorkerRecords(appender)
        self.leave_at: dict[str, float] = {}
        self.earlier_orders = EarlierOrders(
            registry.workers,
            self.sessions,
            self.clock,
            longest_lease_s * SLOW_CLOCK_FACTOR + TIMER_SLACK_S,
        )
        self.dated: set[str] = set()
        self.claimed_restarts = ClaimedRestarts(self.clock)
        self.closed_tokens: dict[str, int] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def health(self, worker: str) -> WorkerHealth:
        """Return the failure record of a worker, which is created on first use."""
        record = self.health_records.get(worker)
        if record is None:
            record = WorkerHealth()
            self.health_records[worker] = record
        return record

    def open_recorded(self, leaders: EarlierLeaders) -> None:
        """Open sessions with all listed workers, and with all others that an earlier leader has recorded."""
        self.refresh()
        for known in self.state.workers.values():
            self.records.recorded.add(known.worker)
            if known.worker not in self.sessions:
                self.open(unlisted_worker(known), self.tenure)
        self.earlier_orders.begin(self.state.workers, leaders)

    def refresh(self) -> None:
        """Open or update sessions according to the registry."""
        for worker in tuple(self.registry.workers.values()):
            if self.faults.is_set_aside(worker.id):
                continue
            with self.faults.contain(ItemKind.worker, worker.id):
                self.refresh_session(worker)

    def refresh_session(self, worker: Worker) -> None:
        """Open or update the session with a listed worker."""
        if worker.born_ms:
            self.dated.add(worker.id)
        session = self.sessions.get(worker.id)
        if session is None:
            self.open(worker, self.tenure)
            return
        if not worker.born_ms and worker.id not in self.dated:
            worker = msgspec.structs.replace(worker, born_ms=session.worker.born_ms)
        if session.worker == worker:
            self.claimed_restarts.forget(session)
        else:
            self.apply_entry(session, worker)

    def apply_entry(self, session: WorkerSession, worker: Worker) -> None:
        """Apply a changed registry entry.

        An entry of a later incarnation is ignored while the known one answers, and one of an earlier incarnation once the
        known one has answered.
        """
        if is_new_incarnation(session.worker, worker):
            if self.claimed_restarts.is_confirmed(session, worker):
                self.replace(session, worker)
            return
        self.claimed_restarts.forget(session)
        if worker.born_ms >= session.worker.born_ms or not session.has_answered():
            self.update(session, worker)

    def open(self, worker: Worker, tenure: int) -> WorkerSession:
        """Open a session and start to poll its worker.

        A worker that was away refuses tokens below that of its closed session.
        """
        session = self.new_session(worker, tenure)
        session.token = max(session.token, self.closed_tokens.pop(worker.id, 0))
        self.sessions[worker.id] = session
        self.note_leaving(worker)
        self.start_polling(session)
        return session

    def note_leaving(self, worker: Worker) -> None:
        """Record the earliest time at which a draining worker leaves."""
        if worker.leaving_ms is not None:
            self.leave_at[worker.id] = self.clock() + worker.leaving_ms / MS_PER_S

    def new_session(self, worker: Worker, tenure: int) -> WorkerSession:
        """Return a session that is not open yet."""
        return WorkerSession(
            worker,
            self.calls,
            tenure,
            self.observer,
            self.clock,
            self.lease_s,
            self.held_tasks,
        )

    def start_polling(self, session: WorkerSession) -> None:
        """Poll the worker of a session, in place of the polling of an earlier session with it."""
        earlier = self.tasks.pop(session.worker.id, None)
        if earlier is not None:
            earlier.cancel()
        self.tasks[session.worker.id] = asyncio.create_task(self.run_session(session))

    async def run_session(self, session: WorkerSession) -> None:
        """Record the worker before its first order, then poll it; polling resumes after an unexpected exception."""
        while True:
            try:
                await self.records.record(session.worker)
                await poll_continuously(session)
            except Exception as fault:
                logger.opt(exception=fault).error(
                    'looks ended by a fault: worker={}', session.worker.id
                )
                await asyncio.sleep(POLL_RETRY_S)

    def update(self, session: WorkerSession, worker: Worker) -> None:
        """Apply a newer registry entry of the same incarnation."""
        if session.worker.ready and not worker.ready:
            logger.info('worker drains: worker={} remaining_ms={}', worker.id, worker.leaving_ms)
        session.worker = worker
        session.run_table.resize(worker)
        self.note_leaving(worker)
        self.observer.capacity_changed()

    def replace(self, session: WorkerSession, worker: Worker) -> None:
        """Open a new session with a worker that has restarted under the same id.

        Runs that the old incarnation has listed ended with it, and those whose start was not sent yet are placed anew; if
        handling that raises, the worker's next status shows it again. The start order of any other run, whether answered or
        not, may have reached the new incarnation, so its outcome is unknown until the worker answers under a higher token.
        Waits for late copies count from when orders to the old incarnation ended, which is before a restart that an entry has
        claimed is believed.
        """
        claimed_at = session.contact.claimed_at
        orders_ended_at = self.clock() if claimed_at is None else claimed_at
        logger.info('worker restarted: worker={} born_ms={}', worker.id, worker.born_ms)
        self.health_records.pop(worker.id, None)
        self.claimed_restarts.forget(session)
        self.leave_at.pop(worker.id, None)
        successor = self.new_session(worker, self.tenure)
        successor.token = session.token + 1
        successor.contact.opened_at = orders_ended_at
        self.sessions[worker.id] = successor
        for known in tuple(session.run_table.runs.values()):
            session.run_table.pop(known.task)
            if has_ended_with(known, self.clock()) and session.reports.report_vanished(known):
                continue
            known.mark_uncertain(successor.token, orders_ended_at)
            successor.run_table.take(known)
            self.observer.run_moved(session, successor, known)
        session.run_table.detach()
        self.start_polling(successor)

    def usable(self, service: str, *, include_quarantined: bool) -> list[WorkerSession]:
        """Return the sessions with workers of a service that may get new tasks.

        Args:
            service: name of the service.
            include_quarantined: whether to include workers that are quarantined after failures.
        """
        now = self.clock()
        listed = self.registry.workers.keys() & self.records.recorded
        listed -= self.claimed_restarts.open_claims()
        if not include_quarantined:
            listed -= quarantined(self.health_records, now)
        return [
            session
            for name, session in self.sessions.items()
            if name in listed and session.worker.service == service and may_get_work(session, now)
        ]

    def all_runs_known(self) -> bool:
        """Return whether every worker has listed all runs of earlier leaders and all their ends."""
        return all(session.knows_earlier_runs() for session in self.sessions.values())

    def check(self) -> None:
        """Give up runs whose lease has lapsed, and close sessions that are no longer needed."""
        now = self.clock()
        for session in list(self.sessions.values()):
            with self.faults.contain(ItemKind.worker, session.worker.id):
                self.check_session(session, now)

    def check_session(self, session: WorkerSession, now: float) -> None:
        """Give up the runs of a session whose lease has lapsed, and close it if it is no longer needed."""
        if session.run_table.runs and session.is_lost():
            given_up = session.give_up_runs()
            if given_up:
                logger.warning('lease lapsed: worker={} runs={}', session.worker.id, given_up)
        give_up_late_starts(session)
        if session.ends.is_stalled(now) and session.is_lost():
            give_up_list(session)
            self.health(session.worker.id).record_failure(now)
        self.earlier_orders.settle(session, now)
        if self.is_removable(session, now):
            self.close(session)

    def is_removable(self, session: WorkerSession, now: float) -> bool:
        """Return whether a worker is no longer listed and cannot hold any run."""
        if (
            session.worker.id in self.registry.workers
            or session.run_table.runs
            or session.worker.id in self.earlier_orders.unreachable
        ):
            return False
        return now - session.last_answer_at > self.earlier_orders.expiry_s

    def close(self, session: WorkerSession) -> None:
        """Close a session and drop the record of its worker."""
        name = session.worker.id
        logger.info('session closed: worker={}', name)
        self.sessions.pop(name).run_table.detach()
        self.closed_tokens[name] = session.token
        self.calls.forget(name)
        self.dated.discard(name)
        self.claimed_restarts.forget(session)
        self.tasks.pop(name).cancel()
        self.records.drop(name)

    def stop(self) -> None:
        """Stop polling all workers and cancel pending removals of records."""
        self.records.cancel()
        for name, task in self.tasks.items():
            task.cancel()
            self.calls.forget(name)


def give_up_list(session: WorkerSession) -> None:
    """Give up the ends that a worker does not list, once its lease has lapsed and all its runs have ended."""
    logger.warning(
        'list of ended runs given up: worker={} last={} acknowledged={} unhandled={}',
        session.worker.id,
        session.ends.last_listed,
        session.ends.last_acknowledged,
        len(session.ends.unhandled),
    )
    session.give_up_runs()
    session.ends.give_up()


def quarantined(records: Mapping[str, WorkerHealth], now: float) -> set[str]:
    """Return the ids of the workers that are quarantined after failures.

    Args:
        records: failures by worker id.
        now: time of the monotonic clock in seconds.
    """
    return {name for name, record in records.items() if record.is_quarantined(now)}


def may_get_work(session: WorkerSession, now: float) -> bool:
    """Return whether a worker is ready, answers, has listed all its ends, and is not paused after a refusal."""
    if not session.worker.ready or not session.knows_earlier_runs() or now < session.full_until:
        return False
    if session.ends.is_stalled(now):
        return False
    return session.answers()


def is_new_incarnation(before: Worker, after: Worker) -> bool:
    """Return whether a registry entry belongs to a later incarnation of a worker; False if either is not known."""
    return bool(before.born_ms and after.born_ms) and after.born_ms > before.born_ms


def unlisted_worker(known: KnownWorker) -> Worker:
    """Return a worker of which only the record in the log is known; it gets no new tasks."""
    return unknown_kind(known.worker, known.address, known.failure_domain, born_ms=0)


def has_ended_with(known: Run, now: float) -> bool:
    """Return whether a run has certainly ended with the incarnation of its worker."""
    return (known.listed or known.ordered is Order.unsent) and not known.may_outlive_lease(now)


def restarted_worker(worker: Worker, born_ms: int) -> Worker:
    """Return a new incarnation that the registry doesn't list yet; it gets no new tasks.

    It may be of another kind, so that its capacity, its labels and its service are unknown.
    """
    return unknown_kind(worker.id, worker.address, worker.failure_domain, born_ms)


def unknown_kind(name: str, address: str, failure_domain: str, born_ms: int) -> Worker:
    """Return a worker without capacity, which is not ready."""
    return Worker(
        id=name,
        address=address,
        failure_domain=failure_domain,
        service='',
        ready=False,
        born_ms=born_ms,
        cpu_m=0,
        mem_mb=0,
        gpus=0,
        labels=(),
    )
