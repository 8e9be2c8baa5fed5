"""Session of this leader with one worker: lease, fencing token and runs."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from marigoldlift.errors import WorkerRefusedError, WorkerUnavailableError
from marigoldlift.orders.api import (
    EndedRun,
    HeldRun,
    WorkerStatus,
    StartOrder,
    Worker,
    WorkerCalls,
)
from marigoldlift.orders.clock import WorkerClock
from marigoldlift.orders.ends import EndList
from marigoldlift.orders.observer import RunObserver
from marigoldlift.orders.runs import (
    LATE_ORDER_S,
    UNKNOWN_DEMAND,
    UNLEASED_EXPIRY_S,
    HeldTasks,
    MeasuredSpan,
    Phase,
    Run,
    RunTable,
)
from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.supervision import ItemKind

__all__ = ('SUSPECT_S', 'WorkerSession', 'give_up_late_starts')

#: Low bits of a fencing token, below the tenure number, that count raises within a tenure.
TOKEN_RAISE_BITS = 16

#: Time without an answer after which a worker gets no new work, in s; a waiting poll takes 0.7 s.
SUSPECT_S = 1.3

#: Refusal of an order whose fencing token is too low.
FENCED = 'fence'

#: Refusal by another incarnation at the worker's address; the addressed one has ended.
OTHER_INSTANCE = 'instance'


class WorkerSession:
    """Sends orders to one incarnation of a worker and tracks its free capacity.

    Attributes:
        run_table: runs on the worker and its free resources; a run whose start was not answered counts too.
        full_until: no new work before this time, since the worker has refused some; in seconds of the monotonic clock.
        synced: whether the worker has answered under the current token.
        ends: ended runs that the worker has listed.
        last_answer_at: when the last answer arrived, in seconds of the monotonic clock.
        poll_failed: whether the last status poll got no answer.
        suspected_at: when the worker last left an order unanswered, in seconds of the monotonic clock; None once it has
            answered a later status poll. It may have restarted since.
        forgotten: highest number of an end that an answered poll has acknowledged.
    """

    def __init__(
        self,
        worker: Worker,
        calls: WorkerCalls,
        tenure: int,
        observer: RunObserver,
        clock: Callable[[], float],
        lease_s: float,
        held_tasks: HeldTasks | None = None,
    ) -> None:
        """Create a session with an empty table of runs.

        Args:
            worker: the worker.
            calls: sends orders.
            tenure: number of the tenure, the upper part of the fencing token.
            observer: receives the events of the session.
            clock: monotonic clock in seconds.
            lease_s: length of the leases, in s.
            held_tasks: counts the runs of all sessions; None to count those of this one only.
        """
        self.worker = worker
        self.calls = calls
        self.token = tenure << TOKEN_RAISE_BITS
        self.observer = observer
        self.now = clock
        self.lease_s = lease_s
        self.clock = WorkerClock()
        self.run_table = RunTable(worker, HeldTasks() if held_tasks is None else held_tasks)
        self.ends = EndList()
        self.synced = False
        self.last_answer_at = clock()
        self.poll_requested = asyncio.Event()
        self.full_until: float = 0
        self.opened_at = clock()
        self.poll_failed = False
        self.suspected_at: float | None = None
        self.forgotten = 0

    def answers(self) -> bool:
        """Return whether the worker has answered recently enough to get new work."""
        return self.synced and self.now() - self.last_answer_at < SUSPECT_S

    def knows_earlier_runs(self) -> bool:
        """Return whether every run of earlier leaders is known, as running or with its end."""
        return self.synced and self.ends.is_read

    def is_lost(self) -> bool:
        """Return whether all runs of the worker have certainly ended because their leases expired.

        Until this session has sent a lease, leases of an earlier holder or incarnation may still be valid.
        """
        if not self.clock.lease_ms:
            return self.now() - self.opened_at > UNLEASED_EXPIRY_S
        return self.clock.has_lapsed(self.now())

    def release(self, task: TaskRef) -> None:
        """Remove the run of a task and free its capacity."""
        if self.run_table.pop(task) is not None:
            self.observer.capacity_changed()

    async def start(self, known: Run, content: str, ticket: str) -> bool:
        """Start a run whose capacity is already reserved.

        Args:
            known: the run.
            content: text of the submission.
            ticket: permission of the placement advice, empty if the queue uses none.

        Returns:
            True if it runs or may run, False if it certainly does not.

        Raises:
            WorkerRefusedError: the worker has refused it; the error holds the reason.
        """
        known.order(ticket)
        until_ms = self.clock.start_lease(self.now(), self.lease_s)
        order = StartOrder(known.task, known.run, content, until_ms or 0, known.checkpoint, ticket)
        token = self.token
        try:
            clock_ms = await self.calls.start(self.worker, token, order)
        except WorkerUnavailableError as fault:
            self.suspected_at = self.now()
            if fault.may_have_run:
                self.mark_uncertain(known, fault)
                return True
            self.drop(known)
            return False
        except WorkerRefusedError as refusal:
            self.drop(known)
            if refusal.worker_code == FENCED:
                self.handle_fencing_refusal(token)
            raise
        self.last_answer_at = self.now()
        self.clock.note(clock_ms, self.last_answer_at)
        known.note_executed(self.last_answer_at)
        known.note_begun(self.last_answer_at)
        return True

    def give_up_runs(self) -> int:
        """Give up the runs that have ended with the worker's incarnation or its lease, and return their number."""
        now = self.now()
        runs = self.run_table.runs.values()
        return give_up(self, [run for run in runs if not run.may_outlive_lease(now)])

    def drop(self, known: Run) -> None:
        """Free the capacity of a run that is certainly absent."""
        if self.run_table.runs.get(known.task) is known:
            self.release(known.task)

    def mark_uncertain(self, known: Run, fault: Exception) -> None:
        """Raise the token: once the worker has seen the new one, it rejects the old order.

        A run that has moved to the session of the worker's next incarnation is left unchanged: that session has
        already marked it as uncertain under its own token.
        """
        logger.info(
            'start in doubt: task={} run={} worker={} ticketed={} {}',
            known.task.name,
            known.run,
            self.worker.id,
            known.is_ticketed,
            fault,
        )
        if self.run_table.runs.get(known.task) is known:
            self.raise_token()
            known.mark_uncertain(self.token, self.now())
            if known.doubted_at is not None:
                # A poll that waits for an end would delay the proof that no copy is left.
                asyncio.get_running_loop().call_later(LATE_ORDER_S, self.poll_requested.set)

    def raise_token(self) -> None:
        """Use a higher fencing token from now on, and poll at once."""
        self.token += 1
        self.synced = False
        self.poll_requested.set()

    def handle_fencing_refusal(self, token: int) -> None:
        """Handle a higher token at the worker: raised by this session after the order was sent, or another holder's."""
        if token == self.token:
            self.observer.fenced(self)
        self.poll_requested.set()

    async def stop(self, task: TaskRef) -> None:
        """Request that a run stops; its capacity stays reserved until the worker lists it as ended."""
        known = self.run_table.runs.get(task)
        if known is None:
            return
        known.stop(self.now())
        try:
            await self.calls.stop(self.worker, self.token, task, known.run)
        except (WorkerRefusedError, WorkerUnavailableError) as fault:
            if isinstance(fault, WorkerUnavailableError):
                self.suspected_at = self.now()
            logger.info(
                'stop not confirmed: task={} worker={} {}', task.name, self.worker.id, fault
            )

    async def poll(self, wait_ms: int) -> bool:
        """Renew the lease and process the worker's status; return whether a status of this incarnation arrived."""
        if not self.observer.may_act():
            return False
        token = self.token
        sent_at = self.now()
        until_ms = self.renewal(sent_at)
        acknowledged = new_acknowledgement(self)
        try:
            found = await self.calls.poll(self.worker, token, acknowledged, until_ms, wait_ms)
        except WorkerRefusedError as refusal:
            if refusal.worker_code == FENCED:
                self.handle_fencing_refusal(token)
            elif refusal.worker_code == OTHER_INSTANCE:
                self.give_up_runs()
            return False
        except WorkerUnavailableError:
            self.poll_failed = True
            self.suspected_at = self.now()
            return False
        self.poll_failed = False
        if not self.is_same_incarnation(found):
            return False
        self.forgotten = max(self.forgotten, acknowledged)
        self.process_status(found, sent_at, token)
        return True

    def renewal(self, now: float) -> int | None:
        """Return the lease deadline that a poll carries, None while the worker does not answer or list its ends.

        The lease of a lost worker so ends as early as its last answered poll allows.
        """
        if self.poll_failed or now - self.last_answer_at >= SUSPECT_S:
            return None
        if self.ends.is_stalled(now):
            return None
        return self.clock.grant(now, self.lease_s)

    def is_same_incarnation(self, found: WorkerStatus) -> bool:
        """Return whether an answer comes from the listed incarnation of the worker, and report a later one.

        For a worker that the registry does not list, the incarnation is taken from its first answer.
        """
        if not found.born_ms:
            return True
        if not self.worker.born_ms:
            self.worker = msgspec.structs.replace(self.worker, born_ms=found.born_ms)
        if found.born_ms > self.worker.born_ms:
            self.observer.worker_restarted(self, found.born_ms)
        return found.born_ms == self.worker.born_ms

    def process_status(self, found: WorkerStatus, sent_at: float, token: int) -> None:
        """Update the runs, the clock and the synchronization state from a status of the worker."""
        now = self.now()
        was_answering = self.answers()
        self.last_answer_at = now
        if self.suspected_at is not None and sent_at >= self.suspected_at:
            self.suspected_at = None
        self.clock.note(found.clock_ms, now)
        self.process_ends(found, now)
        present = {ended.task for ended in found.ended if ended.number in self.ends.unhandled}
        for held in found.running:
            present.add(held.task)
            self.handle_running(held, now)
        if found.whole:
            self.handle_absent(present, sent_at, token)
        if token == self.token and not self.synced:
            self.synced = self.clock.lease_ms > 0
            if not self.synced:
                self.poll_requested.set()
        if self.answers() and not was_answering:
            self.observer.capacity_changed()

    def process_ends(self, found: WorkerStatus, now: float) -> None:
        """Report the ended runs of a status, and record whether the worker holds more of them."""
        listed_before = self.ends.last_listed
        was_incomplete = self.ends.incomplete
        for ended in found.ended:
            self.note_end(ended)
        self.ends.note_page(self.ends.last_listed - listed_before, now, more=found.more_ends)
        if self.ends.incomplete != was_incomplete or self.ends.incomplete and self.ends.grew:
            log_page(self)

    def note_end(self, ended: EndedRun) -> None:
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
            self.observer.run_ended(self, ended, known)
        except Exception as fault:
            self.ends.unhandled.add(ended.number)
            self.observer.handling_failed(ItemKind.end, ended.task.name, fault)
            return
        self.ends.unhandled.discard(ended.number)
        if known is not None:
            self.release(ended.task)

    def handle_running(self, held: HeldRun, now: float) -> None:
        """Update a run that the worker lists as running; an unknown one is offered to the observer.

        A run that has ended is skipped, since a late answer may still list it.
        """
        known = self.run_table.runs.get(held.task)
        if known is not None:
            if known.run == held.run:
                known.confirm(held, now)
        elif (held.task, held.run) not in self.run_table.ended:
            adopt_run(self, held, now)

    def handle_absent(self, present: set[TaskRef], sent_at: float, token: int) -> None:
        """Report runs that are listed neither as running nor as ended.

        An unanswered start is certainly absent only if the status was polled under a token raised after it.
        """
        for task, known in list(self.run_table.runs.items()):
            if task not in present and known.is_surely_absent(sent_at, token):
                self.run_table.pop(task)
                self.observer.run_vanished(self, known)


def give_up_late_starts(session: WorkerSession) -> None:
    """Give up the late starts of which nothing can be active any more.

    This holds while the session has sent no lease that such a run may have received.
    """
    if not session.clock.lease_ms:
        now = session.now()
        runs = session.run_table.runs.values()
        give_up(session, [run for run in runs if run.has_expired(now)])


def give_up(session: WorkerSession, ended: Sequence[Run]) -> int:
    """Give up runs that have certainly ended, and return their number."""
    for known in ended:
        session.release(known.task)
        session.observer.run_vanished(session, known)
    return len(ended)


def new_acknowledgement(session: WorkerSession) -> int:
    """Return the number of the last end that a poll lets the worker forget, 0 for none.

    A new incarnation counts its ends anew, and must not forget any before it has told that it is one, also if it executes the
    poll late. So a number is sent until it was answered, and not while the worker may have restarted.
    """
    acknowledged = session.ends.last_acknowledged
    if session.suspected_at is not None or acknowledged <= session.forgotten:
        return 0
    return acknowledged


def log_page(session: WorkerSession) -> None:
    """Log how far the ended runs of a worker are read."""
    ends = session.ends
    logger.info(
        'ended runs listed: worker={} last={} acknowledged={} runs={} incomplete={}',
        session.worker.id,
        ends.last_listed,
        ends.last_acknowledged,
        len(session.run_table.runs),
        ends.incomplete,
    )


def adopt_run(session: WorkerSession, held: HeldRun, now: float) -> None:
    """Adopt a run that an earlier leader has started, unless the observer stops it."""
    step = find_demand(session, held)
    if step is not None:
        adopted = Run(held.task, held.run, step, Phase.held, now)
        adopted.confirm(held, now)
        if not step.gang:
            adopted.measured = MeasuredSpan(now, held.percent / 100)
        session.run_table.take(adopted)


def find_demand(session: WorkerSession, held: HeldRun) -> Step | None:
    """Return the demand of a run of an earlier leader; unknown if the observer fails over it."""
    try:
        return session.observer.run_found(session, held)
    except Exception as fault:
        session.observer.handling_failed(ItemKind.run, held.task.name, fault)
    return UNKNOWN_DEMAND
