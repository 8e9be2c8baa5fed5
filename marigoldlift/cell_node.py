"""Components of one entry of the cell: replica of the log, election, acceptance, and dispatcher while it leads."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any

import msgspec

from marigoldlift.leadership.election import Candidate, Election
from marigoldlift.leadership.leader_view import LeaderView
from marigoldlift.orders.api import Worker, WorkerCalls
from marigoldlift.replication.api import KeyedLog, Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.append_router import AppendRouter, LeaderCalls
from marigoldlift.replication.replica import Replica
from marigoldlift.scheduling.advice import AdviceBroker, AdviceRelay
from marigoldlift.scheduling.dispatcher import Dispatcher
from marigoldlift.scheduling.done_reports import DoneReports
from marigoldlift.scheduling.parts import DispatcherParts
from marigoldlift.scheduling.registry import Registry
from marigoldlift.submissions.acceptance import Acceptance
from marigoldlift.submissions.records import Accepted, Backlog, Leadership, Outcome, Record
from marigoldlift.submissions.state import CellState
from marigoldlift.supervision import FaultBoundary, ItemKind, exit_on_failure
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.directory import WorkspaceDirectory

__all__ = ('CellNode', 'NodeLimits', 'NodeParts', 'exit_on_failure')

#: Epoch of an entry's own records; each incarnation of an entry has its own producer.
FIRST_EPOCH = 1

#: Shortest pauses between two reads of the log and of the workers' list, in s: each read has a cost.
LEADER_READ_INTERVAL_S = 0.025
FOLLOWER_READ_INTERVAL_S = 0.25
WORKERS_READ_INTERVAL_S = 0.4


class NodeLimits(msgspec.Struct, frozen=True):
    """Limits set by the platform.

    Attributes:
        lease_s: longest lease that workers accept, in s.
        gang_wait_s: how long a member of a gang waits for the others, in s.
        outcome_kept_s: minimum time for which the outcome of a submission can be queried, in s.
        learns_run_times: whether a leader learns run times and speeds of workers, and uses them.
    """

    lease_s: float
    gang_wait_s: float
    outcome_kept_s: float
    learns_run_times: bool = False


class NodeParts(msgspec.Struct):
    """Interfaces through which an entry uses the platform.

    Attributes:
        log: log of the product's own records.
        workers_log: log of the platform's list of workers.
        decode_worker: returns the worker of a key and its content, or raises `MalformedMessageError`.
        is_indirect: returns whether the log is reached only through another entry.
    """

    log: KeyedLog
    workers_log: KeyedLog
    decode_worker: Callable[[str, bytes], Worker]
    calls: WorkerCalls
    advice: AdviceRelay
    metrics: Metrics
    is_indirect: Callable[[], bool]
    leader_calls: LeaderCalls


class CellNode:
    """Creates and connects the components of an entry that are independent of the platform.

    Attributes:
        peer_observers: called with the address of each entry that has written to the log.
        listing: replica of the platform's list of workers; read only while this entry leads, since on large
            installations it uses as much of a small VM's network bandwidth as the log.
        workspaces: workspaces of the newest configuration.
        dispatcher: dispatcher of the current tenure, None while this entry does not lead.
    """

    def __init__(
        self,
        candidate: Candidate,
        parts: NodeParts,
        limits: NodeLimits,
        clock: Callable[[], float],
    ) -> None:
        """Build the components."""
        self.candidate = candidate
        self.parts = parts
        self.limits = limits
        self.clock = clock
        self.state = CellState(clock)
        self.workspaces = WorkspaceDirectory()
        self.faults = FaultBoundary(clock, parts.metrics)
        self.appender = Appender(
            parts.log,
            Producer(candidate.life, FIRST_EPOCH),
            clock,
            parts.metrics,
            may_abandon=True,
        )
        self.replica = Replica(
            parts.log, self.state.apply, clock, FOLLOWER_READ_INTERVAL_S, self.faults
        )
        self.registry = Registry(parts.decode_worker, parts.metrics)
        self.listing = Replica(
            parts.workers_log, self.registry.apply, clock, WORKERS_READ_INTERVAL_S, self.faults
        )
        self.listing.snapshot_observers.append(self.registry.retain)
        self.replica.snapshot_observers.append(self.state.retain)
        self.election = Election(candidate, self.appender, self.replica, clock, parts.is_indirect)
        self.election.on_change.append(self.follow_leadership)
        self.election.measure_backlog = self.measure_backlog
        leader_view = LeaderView(self.election)
        append_router = AppendRouter(self.appender, self.replica, parts.leader_calls, leader_view)
        self.acceptance = Acceptance(
            self.state,
            self.appender,
            append_router,
            self.replica,
            clock,
            self.workspaces,
            leader_view,
        )
        self.state.observers.append(self.observe)
        self.broker = AdviceBroker(parts.advice, candidate.address, clock)
        self.peer_observers: list[Callable[[str], None]] = []
        self.done_reports = DoneReports(self.state, self.appender)
        self.dispatcher: Dispatcher | None = None
        self.tenure_tasks: list[asyncio.Task[None]] = []

    def observe(self, offset: int, record: Record) -> None:
        """Pass a record to the election, the advice broker and the current dispatcher."""
        self.election.observe(offset, record)
        if isinstance(record, Accepted):
            self.broker.note_relay(record.submission.relay)
            self.note_peer(record.submission.relay)
            if self.replica.ready.is_set():
                self.acceptance.admission.observe(offset, record.submission)
        elif isinstance(record, Leadership):
            self.broker.note_relay(record.address)
            self.note_peer(record.address)
        if self.dispatcher is not None:
            self.dispatcher.observe(offset, record)

    def note_peer(self, address: str) -> None:
        """Report the address of an entry that has written to the log."""
        for observer in self.peer_observers:
            observer(address)

    def follow_leadership(self) -> None:
        """Start or stop dispatching after a change of the leadership."""
        self.stop_dispatching()
        tenure = self.election.tenure
        leads = tenure is not None
        self.replica.read_interval_s = (
            LEADER_READ_INTERVAL_S if leads else FOLLOWER_READ_INTERVAL_S
        )
        if tenure is not None:
            self.listing.ready.clear()
            self.dispatcher = Dispatcher(self.dispatcher_parts(), tenure)
            for work in (self.listing.run(), self.dispatcher.run()):
                task = asyncio.create_task(work)
                task.add_done_callback(exit_on_failure)
                self.tenure_tasks.append(task)

    def stop_dispatching(self) -> None:
        """Stop the dispatcher and cancel its tasks; what it was told but has not stored is stored by this entry."""
        if self.dispatcher is not None:
            report = partial(self.done_reports.add, self.dispatcher.tenure)
            self.dispatcher.events.unstored.hand_over(report)
            self.dispatcher.checks.audit.clear()
        for task in self.tenure_tasks:
            task.cancel()
        self.tenure_tasks.clear()
        self.dispatcher = None

    def measure_backlog(self) -> dict[str, Backlog]:
        """Return the backlog of each service; none while this entry does not lead, and where there are no workspaces."""
        if self.dispatcher is None or not self.workspaces.workspaces:
            return {}
        with self.faults.contain(ItemKind.round, 'backlog'):
            return self.dispatcher.service_backlogs()
        return {}

    def dispatcher_parts(self) -> DispatcherParts:
        """Return the components that a dispatcher uses."""
        return DispatcherParts(
            state=self.state,
            replica=self.replica,
            registry=self.registry,
            listing=self.listing,
            calls=self.parts.calls,
            log=self.parts.log,
            broker=self.broker,
            election=self.election,
            clock=self.clock,
            lease_s=self.limits.lease_s,
            gang_wait_s=self.limits.gang_wait_s,
            outcome_kept_s=self.limits.outcome_kept_s,
            metrics=self.parts.metrics,
            faults=self.faults,
            workspaces=self.workspaces,
            learns_run_times=self.limits.learns_run_times,
        )

    def set_gauges(self) -> None:
        """Update the gauges before they are read."""
        metrics = self.parts.metrics
        now = self.clock()
        metrics.set(Metric.leading, int(self.election.tenure is not None))
        metrics.set(Metric.log_age, now - self.replica.contact.last_response_at, stream='work')
        if self.dispatcher is not None:
            metrics.set(
                Metric.log_age, now - self.listing.contact.last_response_at, stream='workers'
            )
            self.dispatcher.planner.set_gauges(metrics)
        metrics.set(Metric.members, len(self.broker.relays), state='alive')
        metrics.set(Metric.early_cancellations, len(self.state.early_cancellations))
        backlogs = self.measure_backlog()
        services = frozenset(worker.service for worker in self.registry.workers.values())
        for service in services:
            backlog = backlogs.get(service, Backlog())
            metrics.set(Metric.service_backlog, backlog.total_s, service=service)
        states = [job.state for job in self.state.jobs.values()]
        states.extend(job.outcome for job in self.state.finished.values())
        for state in Outcome:
            metrics.set(Metric.jobs, states.count(state), state=state.value)

    def loops(self) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield the coroutines that run as long as the entry serves."""
        yield self.appender.run()
        yield self.replica.run()
        yield self.campaign()
        yield self.done_reports.run()

    async def campaign(self) -> None:
        """Take part in the election once the snapshot of the log is read."""
        await self.replica.ready.wait()
        await self.election.run()
