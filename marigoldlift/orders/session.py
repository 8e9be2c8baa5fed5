"""Session of this leader with one worker: lease, fencing token and runs."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from marigoldlift.errors import (
    OrderWithdrawnError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.orders.acknowledgements import Acknowledgements
from marigoldlift.orders.api import StartOrder, Worker, WorkerCalls, WorkerStatus
from marigoldlift.orders.clock import WorkerClock
from marigoldlift.orders.contact import Contact
from marigoldlift.orders.observer import RunObserver
from marigoldlift.orders.reports import RunReports
from marigoldlift.orders.runs import LATE_ORDER_S, UNLEASED_EXPIRY_S, HeldTasks, Run, RunTable
from marigoldlift.submissions.model import TaskRef

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
        reports: applies what the worker lists.
        ends: ended runs that the worker has listed.
        last_answer_at: when the last answer arrived, in seconds of the monotonic clock.
        contact: what the status polls have shown of whether the worker can be reached.
        suspected_at: when the worker last left an order unanswered, in seconds of the monotonic clock; None once it has
            answered a later status poll. It may have restarted since.
        acknowledgements: selects the ends that a poll lets the worker forget.
    """

    def __init__(
        self,
        worker: Worker,
        calls: WorkerCalls,
        tenure: int,
        observer: 'RunObserver[WorkerSession]',
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
        self.reports = RunReports(self, observer, self.run_table)
        self.ends = self.reports.ends
        self.synced = False
        self.last_answer_at = clock()
        self.contact = Contact(clock())
        self.poll_requested = asyncio.Event()
        self.full_until: float = 0
        self.suspected_at: float | None = None
        self.acknowledgements = Acknowledgements(self.run_table, self.ends)

    def answers(self) -> bool:
        """Return whether the worker has answered recently enough to get new work, and no other instance has since."""
        return self.synced and self.is_heard() and not self.contact.is_displaced

    def is_heard(self) -> bool:
        """Return whether the worker has answered recently."""
        return self.now() - self.last_answer_at < SUSPECT_S

    def has_answered(self) -> bool:
        """Return whether this incarnation of the worker has ever answered a poll."""
        return self.contact.answered_sent_at >= self.contact.opened_at

    def knows_earlier_runs(self) -> bool:
        """Return whether every run of earlier leaders is known, as running or with its end."""
        return self.synced and self.ends.is_read

    def is_lost(self) -> bool:
        """Return whether all runs of the worker have certainly ended because their leases expired.

        Until this session has sent a lease, leases of an earlier holder or incarnation may still be valid.
        """
        if not self.clock.lease_ms:
            return self.now() - self.contact.opened_at > UNLEASED_EXPIRY_S
        return self.clock.has_lapsed(self.now())

    async def start(
        self, known: Run, content: str, ticket: str, may_send: Callable[[], bool]
    ) -> bool:
        """Start a run whose capacity is already reserved.

        Args:
            known: the run.
            content: text of the submission.
            ticket: permission of the placement advice, empty if the queue uses none.
            may_send: asked just before the order leaves.

        Returns:
            True if it runs or may run, False if it certainly does not.

        Raises:
            OrderWithdrawnError: it was not sent, since `may_send` has returned False.
            WorkerRefusedError: the worker has refused it; the error holds the reason.
        """
        known.order(ticket)
        until_ms = self.clock.start_lease(self.now(), self.lease_s)
        order = StartOrder(known.task, known.run, content, until_ms or 0, known.checkpoint, ticket)
        if self.acknowledgements.is_unanswered(self.token):
            self.token += 1
        token = self.token
        try:
            with self.acknowledgements.start_under_way():
                clock_ms = await self.calls.start(self.worker, token, order, may_send)
        except OrderWithdrawnError:
            self.drop(known)
            raise
        except WorkerUnavailableError as fault:
            self.suspected_at = self.now()
            if fault.may_have_run:
                self.mark_uncertain(known, fault, token)
                return True
            self.drop(known)
            return False
        except WorkerRefusedError as refusal:
            self.drop(known)
            self.handle_start_refusal(token, refusal.worker_code)
            raise
        self.last_answer_at = self.now()
        self.clock.note(clock_ms, self.last_answer_at)
        known.note_executed(self.last_answer_at)
        known.note_begun(self.last_answer_at, clock_ms)
        return True

    def give_up_runs(self) -> int:
        """Give up the runs that have ended with the worker's incarnation or its lease, and return their number."""
        now = self.now()
        runs = self.run_table.runs.values()
        return self.reports.give_up(run for run in runs if run.has_ended_with_lease(now))

    def drop(self, known: Run) -> None:
        """Free the capacity of a run that is certainly absent, unless a copy of its start is left."""
        if self.run_table.runs.get(known.task) is known:
            self.reports.release_ended(known, self.now())

    def mark_uncertain(self, known: Run, fault: BaseException, token: int | None = None) -> None:
        """Raise the token: once the worker has seen the new one, it rejects the old order.

        A run that has moved to the session of the worker's next incarnation is left unchanged: that session has
        already marked it as uncertain under its own token.

        Args:
            known: run whose start has an unknown outcome.
            fault: why there is no answer.
            token: token of the start, None if it is not known. It is raised once for all starts that were sent under it,
                since each raise makes the worker refuse the starts under way.
        """
        logger.info(
            'start in doubt: task={} run={} worker={} ordered={} {}',
            known.task.name,
            known.run,
            self.worker.id,
            known.ordered.value,
            fault,
        )
        if self.run_table.runs.get(known.task) is known:
            if token is None or token == self.token:
                self.raise_token()
            self.poll_requested.set()
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
        self.acknowledgements.note_refused(token)
        if token == self.token:
            self.observer.fenced(self)
        self.poll_requested.set()

    def handle_start_refusal(self, token: int, reason: str) -> None:
        """Handle a refused start: after one by another instance, a poll tells whether the worker still answers."""
        if reason == FENCED:
            self.handle_fencing_refusal(token)
        elif reason == OTHER_INSTANCE:
            self.contact.is_displaced = True
            self.poll_requested.set()

    async def stop(self, task: TaskRef) -> None:
        """Request that a run stops, unless orders may not be sent now; its capacity stays reserved until it is listed as ended."""
        known = self.run_table.runs.get(task)
        if known is not None and self.observer.may_act():
            known.stop(self.now())
            await self.stop_run(task, known.run)

    async def stop_run(self, task: TaskRef, run: int) -> None:
        """Request that the run of a task with a number stops."""
        try:
            await self.calls.stop(self.worker, self.token, task, run)
        except (WorkerRefusedError, WorkerUnavailableError) as fault:
            if isinstance(fault, WorkerUnavailableError):
                self.suspected_at = self.now()
            logger.info(
                'stop not confirmed: task={} run={} worker={} {}',
                task.name,
                run,
                self.worker.id,
                fault,
            )

    async def poll(self, wait_ms: int) -> bool:
        """Renew the lease and process the worker's status; return whether a status of this incarnation arrived.

        Once the leadership has run out, a poll renews and acknowledges nothing: it only listens, until another leader has
        reached the worker. If this VM is cut off together with the worker, nobody else can learn what ends there.
        """
        token = self.token
        if self.acknowledgements.is_refused(token) and not self.observer.may_act():
            return False
        sent_at = self.now()
        until_ms = self.renewal(sent_at)
        acknowledged = self.next_acknowledgement()
        if acknowledged:
            self.acknowledgements.note_sent(token)
        try:
            found = await self.calls.poll(self.worker, token, acknowledged, until_ms, wait_ms)
        except WorkerRefusedError as refusal:
            self.contact.is_displaced = refusal.worker_code == OTHER_INSTANCE
            if refusal.worker_code == FENCED:
                self.handle_fencing_refusal(token)
            elif self.contact.is_displaced:
                self.give_up_runs()
            return False
        except WorkerUnavailableError as fault:
            self.contact.note_failed(may_have_arrived=fault.may_have_run)
            self.suspected_at = self.now()
            return False
        self.contact.poll_failed = False
        if not self.is_same_incarnation(found):
            return False
        self.acknowledgements.note_answered(token, acknowledged, sent_at)
        self.process_status(found, sent_at, token)
        return True

    def next_acknowledgement(self) -> int:
        """Return the number of the last end that the next poll lets the worker forget, 0 for none."""
        is_suspected = self.suspected_at is not None or not self.observer.may_act()
        return self.acknowledgements.next_number(is_suspected=is_suspected)

    def renewal(self, now: float) -> int | None:
        """Return the lease deadline that a poll carries, None for no renewal.

        No lease is renewed once the leadership has run out, or while the worker does not answer or list its ends, or may
        have restarted.

        The lease of a lost worker so ends as early as its last answered poll allows.
        """
        contact = self.contact
        if contact.poll_failed or contact.claimed_at is not None or not self.is_heard():
            return None
        if self.ends.is_stalled(now) or not self.observer.may_act():
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
        self.contact.note_answered(sent_at)
        if self.suspected_at is not None and sent_at >= self.suspected_at:
            self.suspected_at = None
        self.clock.note(found.clock_ms, now)
        self.reports.process_ends(found, now)
        present = {ended.task for ended in found.ended if ended.number in self.ends.unhandled}
        for held in found.running:
            present.add(held.task)
            self.reports.handle_running(held, now, found.clock_ms)
        if found.whole:
            self.reports.handle_absent(present, sent_at, token)
        if token == self.token and not self.synced:
            self.synced = self.clock.lease_ms > 0
            if not self.synced:
                self.poll_requested.set()
        if self.answers() and not was_answering:
            self.observer.capacity_changed()


def give_up_late_starts(session: WorkerSession) -> None:
    """Give up the late starts of which nothing can be active any more.

    This holds while the session has sent no lease that such a run may have received.
    """
    if not session.clock.lease_ms:
        now = session.now()
        runs = session.run_table.runs.values()
        session.reports.give_up(run for run in runs if run.has_expired(now))
