"""Runs and ends that a worker lists, and what follows from them for the runs of its session."""

from collections.abc import Iterable
from typing import Generic, TypeVar

from loguru import logger

from marigoldlift.orders.api import EndedRun, HeldRun, WorkerStatus
from marigoldlift.orders.ends import EndList
from marigoldlift.orders.observer import RunObserver
from marigoldlift.orders.runs import UNKNOWN_DEMAND, MeasuredSpan, Phase, Run, RunTable
from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.supervision import ItemKind

__all__ = ('RunReports',)

Session = TypeVar('Session')


class RunReports(Generic[Session]):
    """Applies the runs and ends that a worker lists, and reports them to the observer of the session.

    Attributes:
        run_table: runs on the worker and its free resources; a run whose start was not answered counts too.
        ends: ended runs that the worker has listed.
    """

    def __init__(
        self, session: Session, observer: RunObserver[Session], run_table: RunTable
    ) -> None:
        """Begin without ends.

        Args:
            session: session with the worker, passed to the observer.
            observer: receives the events.
            run_table: runs on the worker.
        """
        self.session = session
        self.observer = observer
        self.run_table = run_table
        self.ends = EndList()

    def release(self, task: TaskRef) -> None:
        """Remove the run of a task and free its capacity."""
        if self.run_table.pop(task) is not None:
            self.observer.capacity_changed()

    def release_ended(self, known: Run, now: float) -> None:
        """Remove a run that has ended, unless a later incarnation of the worker may have started it again.

        Only a poll that is sent once no copy can be executed any more proves that there is none.
        """
        if known.is_repeated and known.may_outlive_lease(now):
            known.keep()
        else:
            self.release(known.task)

    def give_up(self, ended: Iterable[Run]) -> int:
        """Give up runs that have certainly ended, and return their number."""
        given_up = [known for known in tuple(ended) if self.report_vanished(known)]
        for known in given_up:
            self.release(known.task)
        return len(given_up)

    def report_vanished(self, known: Run) -> bool:
        """Report a run that certainly no longer exists; return False if the observer raises, so that it must be told again."""
        try:
            self.observer.run_vanished(self.session, known)
        except Exception as fault:
            self.observer.handling_failed(ItemKind.run, known.task.name, fault)
            return False
        return True

    def process_ends(self, found: WorkerStatus, now: float) -> None:
        """Report the ended runs of a status, and record whether the worker holds more of them."""
        listed_before = self.ends.last_listed
        was_incomplete = self.ends.incomplete
        for ended in found.ended:
            self.note_end(ended, now)
        self.ends.note_page(self.ends.last_listed - listed_before, now, more=found.more_ends)
        if self.ends.incomplete != was_incomplete or self.ends.incomplete and self.ends.grew:
            self.log_page()

    def note_end(self, ended: EndedRun, now: float) -> None:
        """Report a newly listed ended run; if the observer raises, the next listing reports it again.

        An end that was not handled is not acknowledged, and does not hold up those that follow.
        """
        if not self.ends.is_new(ended.number):
            return
        self.ends.note(ended.number)
        self.run_table.note_end(ended.task, ended.run)
        known = self.run_table.runs.get(ended.task)
        if known is not None and known.run != ended.run:
            known = None
        try:
            self.observer.run_ended(self.session, ended, known)
        except Exception as fault:
            self.ends.unhandled.add(ended.number)
            self.observer.handling_failed(ItemKind.end, ended.task.name, fault)
            return
        self.ends.unhandled.discard(ended.number)
        if known is not None:
            self.release_ended(known, now)

    def handle_running(self, held: HeldRun, now: float, clock_ms: float) -> None:
        """Update a run that the worker lists as running; an unknown one is offered to the observer.

        A run that has ended is skipped, since a late answer may still list it. One beside the run that is ordered there was given
        up, and the observer stops it.

        Args:
            held: what the worker lists.
            now: time of the monotonic clock in seconds.
            clock_ms: reading of the worker's clock in the same status.
        """
        known = self.run_table.runs.get(held.task)
        if known is not None and known.run == held.run:
            is_unanswered = known.phase is Phase.sent
            known.confirm(held, now, clock_ms)
            if is_unanswered:
                self.observer.run_confirmed(self.session, known)
        elif (held.task, held.run) not in self.run_table.ended:
            if known is None:
                self.adopt_run(held, now, clock_ms)
            else:
                self.observer.run_superseded(self.session, held)

    def handle_absent(self, present: set[TaskRef], sent_at: float, token: int) -> None:
        """Report runs that are listed neither as running nor as ended, or whose start can be sent again.

        An unanswered start is certainly absent only if the status was polled under a token raised after it.
        """
        missing = [run for task, run in self.run_table.runs.items() if task not in present]
        for known in missing:
            if known.is_surely_absent(sent_at, token):
                if self.report_vanished(known):
                    self.run_table.pop(known.task)
            elif known.may_repeat(sent_at, token):
                self.observer.start_missed(self.session, known)

    def adopt_run(self, held: HeldRun, now: float, clock_ms: float) -> None:
        """Adopt a run that an earlier leader has started, unless the observer stops it."""
        step = self.find_demand(held)
        if step is not None:
            adopted = Run(held.task, held.run, step, Phase.held, now)
            adopted.confirm(held, now, clock_ms)
            if not step.gang:
                adopted.measured = MeasuredSpan(now, held.percent / 100)
            self.run_table.take(adopted)

    def find_demand(self, held: HeldRun) -> Step | None:
        """Return the demand of a run of an earlier leader; unknown if the observer fails over it."""
        try:
            return self.observer.run_found(self.session, held)
        except Exception as fault:
            self.observer.handling_failed(ItemKind.run, held.task.name, fault)
        return UNKNOWN_DEMAND

    def log_page(self) -> None:
        """Log how far the ended runs of the worker are read."""
        logger.info(
            'ended runs listed: worker={} last={} acknowledged={} runs={} incomplete={}',
            self.run_table.worker.id,
            self.ends.last_listed,
            self.ends.last_acknowledged,
            len(self.run_table.runs),
            self.ends.incomplete,
        )
