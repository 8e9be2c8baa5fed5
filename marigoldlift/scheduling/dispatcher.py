"""One tenure of the leader: takes over the cell, then schedules and tracks all accepted submissions."""

import asyncio
import contextlib
from collections.abc import Iterable

from loguru import logger

from marigoldlift.errors import LogUnavailableError, SequenceMismatchError
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.runtimes.learner import RunTimes
from marigoldlift.scheduling.open_submissions import OpenSubmissions
from marigoldlift.scheduling.checks import RunChecks
from marigoldlift.scheduling.events import RunEvents, settle_reported
from marigoldlift.scheduling.parts import DispatcherParts
from marigoldlift.scheduling.pending import build_pending
from marigoldlift.scheduling.placement import Placer
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.progress import ProgressWriter
from marigoldlift.scheduling.retention import Retention
from marigoldlift.scheduling.round_times import RoundTimes
from marigoldlift.scheduling.run_times import LEARNING, RunTimeRecorder
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.tickets import TicketManager
from marigoldlift.submissions.records import Accepted, Backlog, Cancelled, Progress, Record
from marigoldlift.submissions.state import FINAL_OUTCOMES

__all__ = ('Dispatcher',)

#: Producer name of the records of all leaders; its epoch is derived from the tenure, so that the log refuses records of
#: earlier tenures.
LEADER = 'leader'

#: How long a takeover waits for the workers to list their runs and ends, in s; those that have not by then are
#: unreachable.
TAKEOVER_WAIT_S = 0.35

#: How long a takeover opens submissions without letting other tasks run, in s.
OPENING_SLICE_S = 0.05

#: Shortest pause between two passes, and longest wait for a change after it, in s.
MIN_PASS_PAUSE_S = 0.01
TICK_S = 0.1

#: Pause after the periodic checks as a multiple of their duration, which grows with what waits and runs, and longest pause, in s: a
#: pause of the whole process counts into the duration.
CHECKS_PAUSE_FACTOR = 4
MAX_CHECKS_PAUSE_S = 1.0

#: Pause after a pass as a multiple of its duration, so that orders and answers get their share of the CPU.
PASS_PAUSE_FACTOR = 2


class Dispatcher:
    """Schedules and tracks submissions from acceptance to outcome during one tenure.

    Attributes:
        wake: set when a pass may be able to place something.
        log_is_read: whether the log was read to its end, so that accepted submissions can be opened.
        checked_at: time of the last periodic checks, in seconds of the monotonic clock.
        round_s: duration of the last round, in seconds.
    """

    def __init__(self, parts: DispatcherParts, tenure: int) -> None:
        """Create the components of the tenure.

        Args:
            parts: dependencies.
            tenure: number of the tenure.
        """
        self.parts = parts
        self.tenure = tenure
        self.clock = parts.clock
        self.faults = parts.faults
        self.wake = asyncio.Event()
        self.log_is_read = False
        self.checked_at = self.clock()
        self.round_s: float = 0
        self.round_times = RoundTimes(self.faults, parts.metrics, self.waiting_steps)
        self.appender = Appender(
            parts.log, Producer(LEADER, tenure + 1), self.clock, parts.metrics
        )
        self.progress = ProgressWriter(self.appender, tenure, self.faults)
        self.events = RunEvents(parts.election, tenure, self.wake, parts.metrics, self.faults)
        self.session_manager = SessionManager(
            parts.registry,
            parts.state,
            parts.calls,
            self.appender,
            self.events,
            tenure,
            parts.lease_s,
            self.faults,
        )
        self.starter = Starter(self.session_manager, self.progress, self.events)
        run_times = RunTimes(self.clock) if parts.learns_run_times else None
        placer = Placer(self.session_manager.health, self.clock, run_times)
        tickets = TicketManager(parts.broker, placer, self.starter, self.clock, self.wake.set)
        self.planner = Planner(
            self.session_manager,
            placer,
            tickets,
            self.starter,
            self.clock,
            parts.gang_wait_s,
            build_pending(parts, self.session_manager, placer),
            self.faults,
        )
        self.open_submissions = OpenSubmissions(
            parts.state, self.planner, self.starter, self.progress, self.clock, self.faults
        )
        self.checks = RunChecks(
            self.open_submissions, self.session_manager, self.starter, self.clock, self.faults
        )
        self.retention = Retention(
            parts.state,
            self.appender,
            self.open_submissions,
            self.session_manager,
            parts.outcome_kept_s,
        )
        if run_times is not None:
            self.events.run_times = RunTimeRecorder(run_times, self.appender, parts.metrics)
        self.events.open_submissions = self.open_submissions
        self.events.session_manager = self.session_manager

    async def run(self) -> None:
        """Take over the cell, then schedule until cancelled or fenced by the log."""
        background = (self.appender.run(), self.progress.run(), self.round_times.watch_loop())
        loops = [asyncio.create_task(work) for work in background]
        try:
            await self.take_over()
            while not self.appender.fenced:
                check_loops(loops)
                self.run_once()
                await self.pause()
        finally:
            for task in loops:
                task.cancel()
            self.stop()
        self.parts.election.end_tenure('fenced by the log')

    def stop(self) -> None:
        """End all sessions and cancel orders in flight; workers keep their runs for the next leader."""
        self.session_manager.stop()
        self.starter.cancel()
        if self.events.run_times is not None:
            self.events.run_times.cancel()

    async def pause(self) -> None:
        """Pause after a pass, then wait for a change, at most one tick."""
        pause_s = max(MIN_PASS_PAUSE_S, self.round_s * PASS_PAUSE_FACTOR)
        until = self.clock() + pause_s
        await asyncio.sleep(pause_s)
        self.starter.limits.note_delay(self.clock() - until)
        with contextlib.suppress(TimeoutError):
            # asyncio.wait_for of Python 3.11 swallows a cancellation that arrives while the event is being set.
            async with asyncio.timeout(TICK_S):
                await self.wake.wait()
        self.wake.clear()

    async def take_over(self) -> None:
        """Fence off earlier leaders at the log, read it to its end, then fence them off at the workers."""
        while not await self.fence_log():
            await asyncio.sleep(TICK_S)
        while not await self.read_log():
            await asyncio.sleep(TICK_S)
        await self.parts.listing.ready.wait()
        self.log_is_read = True
        if self.events.run_times is not None:
            with self.round_times.contain(LEARNING):
                self.events.run_times.restore(self.parts.state.run_times)
        await self.open_accepted()
        self.session_manager.open_recorded(self.parts.election.earlier_leaders)
        for job in tuple(self.open_submissions.jobs.values()):
            self.events.adopt(job)
        self.planner.caps.usage.earlier_runs.begin()
        deadline = self.clock() + TAKEOVER_WAIT_S
        while self.clock() < deadline and not self.session_manager.all_runs_known():
            await asyncio.sleep(MIN_PASS_PAUSE_S)
        self.events.ready = True
        self.session_manager.check()
        logger.info(
            'takeover done: tenure={} submissions={} workers={} unreachable={}',
            self.tenure,
            len(self.open_submissions.jobs),
            len(self.session_manager.sessions),
            sorted(self.session_manager.earlier_orders.unreachable),
        )

    async def open_accepted(self) -> None:
        """Open all accepted submissions; lets other tasks run in between, since the leadership has to be renewed."""
        resumed_at = self.clock()
        for submission in tuple(self.parts.state.jobs):
            self.open_submissions.open(submission)
            if self.clock() - resumed_at > OPENING_SLICE_S:
                await asyncio.sleep(0)
                resumed_at = self.clock()

    async def fence_log(self) -> bool:
        """Make the log refuse records of earlier leaders.

        Returns:
            False if the log does not answer. True also if a later leader has fenced this one off; `run` then ends the
            tenure.
        """
        try:
            return await self.appender.fence()
        except SequenceMismatchError:
            self.appender.fenced = True
            return True

    async def read_log(self) -> bool:
        """Read the log to its end and return whether it answered."""
        try:
            await self.parts.replica.synchronize()
        except LogUnavailableError as fault:
            logger.warning('takeover waits for the log: {}', fault.reason)
            return False
        return True

    def run_once(self) -> None:
        """Run the periodic checks if they are due, then a scheduling pass, unless orders may not be sent now."""
        if not self.events.may_act():
            return
        now = self.clock()
        checks_pause_s = min(self.round_times.checks_s * CHECKS_PAUSE_FACTOR, MAX_CHECKS_PAUSE_S)
        if now - self.checked_at >= max(TICK_S, checks_pause_s):
            self.checked_at = now
            self.run_checks()
            self.round_times.checks_s = self.clock() - now
        with self.round_times.contain('pass'):
            self.planner.run_pass()
        self.round_s = self.clock() - now

    def run_checks(self) -> None:
        """Run the periodic checks, and a retention round if one is due."""
        for check in (
            self.session_manager.refresh,
            self.session_manager.check,
            self.events.open_again,
            self.checks.check_runs,
            self.planner.sample_idle,
            self.check_run_times,
            self.checks.audit.check_jobs,
            self.start_retention,
        ):
            with self.round_times.contain(check.__name__):
                check()

    def check_run_times(self) -> None:
        """Report and store the learned run times if that is due."""
        if self.events.run_times is not None:
            self.events.run_times.check()

    def start_retention(self) -> None:
        """Start a retention round if one is due."""
        if self.retention.is_due():
            self.starter.spawn(self.retention.run_round())

    def waiting_steps(self) -> int:
        """Return the number of steps that wait to be placed."""
        return len(self.planner.waiting)

    def service_backlogs(self) -> dict[str, Backlog]:
        """Return how long the workers of each service need for the work that waits for room."""
        if not self.planner.has_passed:
            return {}
        with self.round_times.measure('backlogs'):
            backlogs = self.planner.pending.backlogs(self.planner.waiting)
        return backlogs

    def observe(self, offset: int, record: Record) -> None:
        """Handle a record that was read from the log."""
        match record:
            case Accepted():
                if self.log_is_read:
                    self.open_submissions.open(record.submission.id)
                self.wake.set()
            case Cancelled() if self.parts.state.is_cancelled(record.submission):
                self.open_submissions.cancel(record.submission)
            case Progress() if record.outcome in FINAL_OUTCOMES:
                self.open_submissions.forget(record.submission)
            case _:
                settle_reported(self.events, record)


def check_loops(loops: Iterable[asyncio.Task[None]]) -> None:
    """Raise the exception of a background loop that has ended; without these loops the tenure can store nothing."""
    for task in loops:
        if task.done():
            task.result()
