"""Sessions with all workers that are listed or that may still hold tasks."""

import asyncio

import msgspec
from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.leadership.election import LEADER_LEASE_S
from marigoldlift.orders.api import Worker, WorkerCalls
from marigoldlift.orders.polling import poll_continuously
from marigoldlift.orders.session import RunObserver, WorkerSession
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.worker_health import WorkerHealth
from marigoldlift.scheduling.registry import Registry
from marigoldlift.submissions.records import Dropped, KnownWorker
from marigoldlift.submissions.state import CellState
from marigoldlift.supervision import TaskSet

__all__ = ('SessionManager', 'restarted_worker')

MS_PER_S = 1000

#: Subtracted from the longest lease that workers take, in s, for the way of the order.
LEASE_MARGIN_S = 0.1

#: Share by which a worker's clock may be slow, and slack for late timers, in s.
SLOW_CLOCK_FACTOR = 1.02
TIMER_SLACK_S = 0.4

#: Pause before a worker is looked at again after a fault, in s.
POLL_RETRY_S = 0.2

#: How long a record waits for the store, in s.
RECORD_WAIT_S = 2


class UnreachableDeadlines(msgspec.Struct, frozen=True):
    """When all that a silent worker may hold has surely ended, in seconds of the steady clock.

    Attributes:
        listed: bound while the registry lists it, by the time of the takeover.
        gone: bound once it does not, by the last order of an earlier leader.
    """

    listed: float
    gone: float


class SessionManager:
    """Opens, renews and closes the sessions of one tenure.

    Attributes:
        unreachable: workers that have not answered since the takeover, with the time at which all that they may hold has
            surely ended.
    """

    def __init__(
        self,
        registry: Registry,
        state: CellState,
        calls: WorkerCalls,
        appender: Appender,
        observer: RunObserver,
        tenure: int,
        longest_lease_s: float,
    ) -> None:
        """Start without sessions."""
        self.registry = registry
        self.state = state
        self.calls = calls
        self.appender = appender
        self.observer = observer
        self.tenure = tenure
        self.clock = state.clock
        self.lease_s = longest_lease_s - LEASE_MARGIN_S
        self.lease_expiry_s = longest_lease_s * SLOW_CLOCK_FACTOR + TIMER_SLACK_S
        self.orders_expiry_s = LEADER_LEASE_S + self.lease_expiry_s
        self.sessions: dict[str, WorkerSession] = {}
        self.health_records: dict[str, WorkerHealth] = {}
        self.recorded: set[str] = set()
        self.leave_at: dict[str, float] = {}
        self.unreachable: dict[str, UnreachableDeadlines] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.forgetting = TaskSet()

    def health(self, worker: str) -> WorkerHealth:
        """Return how a worker has fared."""
        return self.health_records.setdefault(worker, WorkerHealth())

    def open_recorded(self, orders_ended_at: float) -> None:
        """Open sessions with workers that an earlier leader has used, listed or not.

        Args:
            orders_ended_at: when an earlier leader can have given orders last, in seconds of the steady clock.
        """
        bounds = UnreachableDeadlines(
            self.clock() + self.orders_expiry_s, orders_ended_at + self.lease_expiry_s
        )
        self.refresh()
        for known in self.state.workers.values():
            self.recorded.add(known.worker)
            if known.worker not in self.sessions:
                self.open(unlisted_worker(known), self.tenure)
            self.unreachable[known.worker] = bounds

    def refresh(self) -> None:
        """Follow the registry."""
        for worker in tuple(self.registry.workers.values()):
            session = self.sessions.get(worker.id)
            if session is None:
                self.open(worker, self.tenure)
            elif session.worker != worker:
                self.apply_entry(session, worker)

    def apply_entry(self, session: WorkerSession, worker: Worker) -> None:
        """Take in a changed entry; one of an earlier life than the session's is left out."""
        if is_new_incarnation(session.worker, worker):
            self.replace(session, worker)
        elif worker.born_ms >= session.worker.born_ms:
            self.update(session, worker)

    def open(self, worker: Worker, tenure: int) -> WorkerSession:
        """Begin a session and follow it."""
        session = WorkerSession(
            worker, self.calls, tenure, self.observer, self.clock, self.lease_s
        )
        self.sessions[worker.id] = session
        self.poll_continuously(session)
        return session

    def poll_continuously(self, session: WorkerSession) -> None:
        """Run the looks of a session, in place of those of an earlier one."""
        earlier = self.tasks.pop(session.worker.id, None)
        if earlier is not None:
            earlier.cancel()
        self.tasks[session.worker.id] = asyncio.create_task(self.run_session(session))

    async def run_session(self, session: WorkerSession) -> None:
        """Record the worker before its first order, then look at it; a fault ends one look, not all."""
        while True:
            try:
                await self.record(session.worker)
                await poll_continuously(session)
            except Exception as fault:
                logger.opt(exception=fault).error(
                    'looks ended by a fault: worker={}', session.worker.id
                )
                await asyncio.sleep(POLL_RETRY_S)

    async def record(self, worker: Worker) -> None:
        """Store that a worker may hold tasks from now on."""
        while worker.id not in self.recorded:
            known = KnownWorker(worker.id, worker.address, worker.failure_domain)
            try:
                await self.appender.append(known, RECORD_WAIT_S)
            except PlatformError as fault:
                logger.info('worker not recorded: worker={} {}', worker.id, fault.reason)
            else:
                self.recorded.add(worker.id)

    def update(self, session: WorkerSession, worker: Worker) -> None:
        """Take in what a worker says of itself now."""
        if session.worker.ready and not worker.ready:
            logger.info('worker drains: worker={} remaining_ms={}', worker.id, worker.leaving_ms)
        if not session.worker.cpu_m and worker.cpu_m:
            session.room.resize(worker)
        session.worker = worker
        if worker.leaving_ms is not None:
            self.leave_at[worker.id] = self.clock() + worker.leaving_ms / MS_PER_S
        self.observer.room_changed()

    def replace(self, session: WorkerSession, worker: Worker) -> None:
        """Begin anew with a worker that has started again under its id.

        Runs that were listed have ended with the life before. The start of any other may have arrived in the new life,
        answered or not, so it is in doubt until the worker has answered under a higher token.
        """
        logger.info('worker reborn: worker={} born_ms={}', worker.id, worker.born_ms)
        self.health_records.pop(worker.id, None)
        fresh = WorkerSession(
            worker, self.calls, self.tenure, self.observer, self.clock, self.lease_s
        )
        fresh.token = session.token + 1
        self.sessions[worker.id] = fresh
        for known in tuple(session.room.runs.values()):
            session.room.pop(known.task)
            if known.listed:
                self.observer.run_vanished(session, known)
                continue
            known.mark_uncertain(fresh.token, self.clock())
            fresh.room.take(known)
            self.observer.run_moved(session, fresh, known)
        self.poll_continuously(fresh)

    def usable(self, service: str, *, include_quarantined: bool) -> list[WorkerSession]:
        """Return the sessions that may get new work of a service.

        Args:
            service: name of the service.
            include_quarantined: whether workers count that have failed lately.
        """
        now = self.clock()
        return [
            session
            for session in self.sessions.values()
            if session.worker.service == service
            and self.is_usable(session, now)
            and (include_quarantined or not self.health(session.worker.id).is_quarantined(now))
        ]

    def is_usable(self, session: WorkerSession, now: float) -> bool:
        """Tell whether a worker may get new work: listed as ready, recorded and answering."""
        name = session.worker.id
        if not session.worker.ready or name not in self.registry.workers:
            return False
        if name not in self.recorded or not session.answers():
            return False
        return now >= session.full_until

    def all_synced(self) -> bool:
        """Tell whether every worker has answered under this tenure's tokens."""
        return all(session.synced for session in self.sessions.values())

    def check(self) -> None:
        """Give up what has surely ended, and close sessions that are no longer needed."""
        now = self.clock()
        for session in list(self.sessions.values()):
            if session.room.runs and session.is_lost():
                logger.warning(
                    'lease lapsed: worker={} runs={}', session.worker.id, len(session.room.runs)
                )
                session.give_up_runs()
            if session.synced or self.unreachable_deadline_passed(session.worker.id, now):
                self.unreachable.pop(session.worker.id, None)
            if self.is_unneeded(session, now):
                self.close(session)

    def unreachable_deadline_passed(self, name: str, now: float) -> bool:
        """Tell whether all that a silent worker may hold has surely ended.

        A worker that is still listed runs, and may carry a late order out in a life of which this leader knows nothing
        yet; it is given longer.
        """
        bounds = self.unreachable.get(name)
        if bounds is None:
            return False
        if name in self.registry.workers:
            return now > bounds.listed
        return now > bounds.gone

    def is_unneeded(self, session: WorkerSession, now: float) -> bool:
        """Tell whether a worker is gone from the registry and can hold nothing any more."""
        if (
            session.worker.id in self.registry.workers
            or session.room.runs
            or session.worker.id in self.unreachable
        ):
            return False
        return now - session.last_answer_at > self.orders_expiry_s

    def close(self, session: WorkerSession) -> None:
        """End a session."""
        name = session.worker.id
        logger.info('worker forgotten: worker={}', name)
        self.sessions.pop(name)
        self.tasks.pop(name).cancel()
        self.recorded.discard(name)
        self.forgetting.spawn(self.forget(name))

    async def forget(self, name: str) -> None:
        """Drop the stored record of a worker."""
        try:
            await self.appender.append(Dropped(f'w/{name}'), RECORD_WAIT_S)
        except PlatformError as fault:
            logger.info('worker record kept: worker={} {}', name, fault.reason)

    def stop(self) -> None:
        """End all sessions."""
        self.forgetting.cancel()
        for task in self.tasks.values():
            task.cancel()


def is_new_incarnation(before: Worker, after: Worker) -> bool:
    """Tell whether two entries of a worker's id are of different lives."""
    return bool(before.born_ms and after.born_ms) and after.born_ms > before.born_ms


def unlisted_worker(known: KnownWorker) -> Worker:
    """Return a worker of which only the stored record is known; it gets no new work."""
    return Worker(
        id=known.worker,
        address=known.address,
        failure_domain=known.failure_domain,
        service='',
        ready=False,
        born_ms=0,
        cpu_m=0,
        mem_mb=0,
        gpus=0,
        labels=(),
    )


def restarted_worker(worker: Worker, born_ms: int) -> Worker:
    """Return a worker's entry for a life that the registry doesn't list yet."""
    return msgspec.structs.replace(worker, born_ms=born_ms)
