"""One worker under the orders of this leader: lease, token and ends."""

import asyncio
from collections.abc import Callable
from typing import Protocol

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
from marigoldlift.orders.runs import Phase, Run, RunTable
from marigoldlift.submissions.model import Step, TaskRef

__all__ = ('RunObserver', 'WorkerSession')

#: Bits of a fencing token below the tenure, for raises within it.
TOKEN_RAISE_BITS = 16

#: Silence after which a worker gets no new work, in s; a look that waits takes 0.7 s.
SUSPECT_S = 1.3

#: Age of a session that has sent no lease after which nothing from before it can run there, in s: orders may be carried out 12 s
#: late and give a lease of 6 s.
UNLEASED_EXPIRY_S = 20

#: Refusal of an order whose fencing token is too low.
FENCED = 'fence'

#: Refusal by another incarnation at the worker's address; the one that was meant is gone.
OTHER_INSTANCE = 'instance'


class RunObserver(Protocol):
    """Is told what a session finds out."""

    def run_ended(self, session: 'WorkerSession', ended: EndedRun, known: Run | None) -> None:
        """A worker lists an end for the first time."""

    def run_found(self, session: 'WorkerSession', held: HeldRun) -> Step | None:
        """A worker lists a run that this leader has not ordered; the step is returned when it may stay."""

    def run_vanished(self, session: 'WorkerSession', run: Run) -> None:
        """A run is surely not there, and no end of it will be listed."""

    def fenced(self, session: 'WorkerSession') -> None:
        """Another holder's token is higher."""

    def room_changed(self) -> None:
        """A worker has more room, or answers again."""

    def run_moved(self, session: 'WorkerSession', successor: 'WorkerSession', run: Run) -> None:
        """A run in doubt is followed by the session of the worker's next life."""

    def worker_restarted(self, session: 'WorkerSession', born_ms: int) -> None:
        """The worker has started again under its id."""

    def may_act(self) -> bool:
        """Tell whether orders may be given now."""


class WorkerSession:
    """Gives orders to one life of one worker and keeps count of its room.

    Attributes:
        room: what takes room there; a run whose start got no answer counts too.
        last_acknowledged: highest number of an end up to which all are stored, so that the worker may forget them.
        full_until: no new work before that time, since the worker has refused some.
        synced: whether the worker has answered under the current token.
        last_answer_at: when the last answer came.
        poll_failed: whether the last look got no answer.
    """

    def __init__(
        self,
        worker: Worker,
        calls: WorkerCalls,
        tenure: int,
        observer: RunObserver,
        clock: Callable[[], float],
        lease_s: float,
    ) -> None:
        """Start without knowing what the worker holds."""
        self.worker = worker
        self.calls = calls
        self.token = tenure << TOKEN_RAISE_BITS
        self.observer = observer
        self.now = clock
        self.lease_s = lease_s
        self.clock = WorkerClock()
        self.room = RunTable(worker)
        self.last_listed = 0
        self.last_acknowledged = 0
        self.unstored: set[int] = set()
        self.synced = False
        self.last_answer_at = clock()
        self.poll_requested = asyncio.Event()
        self.full_until: float = 0
        self.opened_at = clock()
        self.poll_failed = False

    def answers(self) -> bool:
        """Tell whether the worker has answered lately, so that new work may go there."""
        return self.synced and self.now() - self.last_answer_at < SUSPECT_S

    def is_lost(self) -> bool:
        """Tell whether all that the worker held has surely ended with its lease.

        Until this session has sent a lease, those of an earlier holder or for an earlier life may still run.
        """
        if not self.clock.lease_ms:
            return self.now() - self.opened_at > UNLEASED_EXPIRY_S
        return self.clock.has_lapsed(self.now())

    def release(self, task: TaskRef) -> None:
        """Give the room of a run back."""
        if self.room.pop(task) is not None:
            self.observer.room_changed()

    async def start(self, known: Run, content: str, ticket: str) -> bool:
        """Order a run whose room is taken already.

        Args:
            known: the run.
            content: text of the submission.
            ticket: leave of the placement advice, empty where the queue has none.

        Returns:
            True when it runs or may run, False when it surely does not.

        Raises:
            WorkerRefusedError: the worker has refused it, and why.
        """
        until_ms = self.clock.start_lease(self.now(), self.lease_s)
        order = StartOrder(known.task, known.run, content, until_ms or 0, known.checkpoint, ticket)
        token = self.token
        try:
            clock_ms = await self.calls.start(self.worker, token, order)
        except WorkerUnavailableError as fault:
            if fault.may_have_run:
                self.mark_uncertain(known, fault)
                return True
            self.drop(known)
            return False
        except WorkerRefusedError as refusal:
            self.drop(known)
            if refusal.worker_code == FENCED:
                self.refused_by_fence(token)
            raise
        self.last_answer_at = self.now()
        self.clock.note(clock_ms, self.last_answer_at)
        known.since = self.last_answer_at
        known.unanswered = False
        if known.phase is Phase.sent:
            known.phase = Phase.held
        return True

    def give_up_runs(self) -> None:
        """Give up all runs: the worker's life is over, or its lease has lapsed."""
        for known in list(self.room.runs.values()):
            self.release(known.task)
            self.observer.run_vanished(self, known)

    def drop(self, known: Run) -> None:
        """Give back the room of a run that is surely not there."""
        if self.room.runs.get(known.task) is known:
            self.release(known.task)

    def mark_uncertain(self, known: Run, fault: Exception) -> None:
        """Raise the token: once the worker knows the new one, it never carries the old order out.

        A run that the session of the worker's next life follows is in doubt there already, under that session's token.
        """
        logger.info(
            'start in doubt: task={} run={} worker={} {}',
            known.task.name,
            known.run,
            self.worker.id,
            fault,
        )
        if self.room.runs.get(known.task) is known:
            self.raise_token()
            known.mark_uncertain(self.token, self.now())

    def raise_token(self) -> None:
        """Use a higher fencing token from now on, and look at once."""
        self.token += 1
        self.synced = False
        self.poll_requested.set()

    def refused_by_fence(self, token: int) -> None:
        """React to a higher token at the worker: an own raise that overtook the order, or another holder's."""
        if token == self.token:
            self.observer.fenced(self)
        self.poll_requested.set()

    async def stop(self, task: TaskRef) -> None:
        """Ask a run to end; its room stays taken until the end is listed."""
        known = self.room.runs.get(task)
        if known is None:
            return
        known.stop(self.now())
        try:
            await self.calls.stop(self.worker, self.token, task, known.run)
        except (WorkerRefusedError, WorkerUnavailableError) as fault:
            logger.info(
                'stop not confirmed: task={} worker={} {}', task.name, self.worker.id, fault
            )

    async def poll(self, wait_ms: int) -> bool:
        """Renew the lease and take in what the worker lists; True when it answered."""
        if not self.observer.may_act():
            return False
        token = self.token
        sent_at = self.now()
        until_ms = self.renewal(sent_at)
        try:
            found = await self.calls.poll(
                self.worker, token, self.last_acknowledged, until_ms, wait_ms
            )
        except WorkerRefusedError as refusal:
            if refusal.worker_code == FENCED:
                self.refused_by_fence(token)
            elif refusal.worker_code == OTHER_INSTANCE:
                self.give_up_runs()
            return False
        except WorkerUnavailableError:
            self.poll_failed = True
            return False
        self.poll_failed = False
        if not self.is_same_incarnation(found):
            return False
        self.process_status(found, sent_at, token)
        return True

    def renewal(self, now: float) -> int | None:
        """Return the lease that a look gives; a worker that has not answered gets none until it does.

        So the lease of a worker that is gone ends as early as the last look that it has answered allows.
        """
        if self.poll_failed or now - self.last_answer_at >= SUSPECT_S:
            return None
        return self.clock.grant(now, self.lease_s)

    def is_same_incarnation(self, found: WorkerStatus) -> bool:
        """Tell whether an answer is of the life that the registry lists; a later life is reported.

        The life of a worker that is not listed is learnt from its first answer.
        """
        if not found.born_ms:
            return True
        if not self.worker.born_ms:
            self.worker = msgspec.structs.replace(self.worker, born_ms=found.born_ms)
        if found.born_ms > self.worker.born_ms:
            self.observer.worker_restarted(self, found.born_ms)
        return found.born_ms == self.worker.born_ms

    def process_status(self, found: WorkerStatus, sent_at: float, token: int) -> None:
        """Compare what the worker lists with what it should hold."""
        now = self.now()
        was_answering = self.answers()
        self.last_answer_at = now
        self.clock.note(found.clock_ms, now)
        for ended in found.ended:
            self.note_end(ended)
        present = set()
        for held in found.running:
            present.add(held.task)
            self.note_held(held, now)
        if found.whole:
            self.note_absent(present, sent_at, token)
        if token == self.token and not self.synced:
            self.synced = self.clock.lease_ms > 0
            if not self.synced:
                self.poll_requested.set()
        if self.answers() and not was_answering:
            self.observer.room_changed()

    def note_end(self, ended: EndedRun) -> None:
        """Pass on an end that is listed for the first time; after a fault it counts as not listed yet."""
        before = self.last_listed
        if ended.number <= before:
            return
        self.last_listed = ended.number
        self.unstored.add(ended.number)
        self.room.note_end(ended.task, ended.run)
        known = self.room.runs.get(ended.task)
        if known is not None and known.run != ended.run:
            known = None
        try:
            self.observer.run_ended(self, ended, known)
        except Exception:
            self.last_listed = before
            raise
        if known is not None:
            self.release(ended.task)

    def note_held(self, held: HeldRun, now: float) -> None:
        """Take in a run that is there; one that is not known is offered to the observer."""
        known = self.room.runs.get(held.task)
        if known is None:
            self.offer(held, now)
        elif known.run == held.run:
            known.confirm(held, now)

    def offer(self, held: HeldRun, now: float) -> None:
        """Count a run that an earlier leader has ordered; a late answer may list one that has ended since."""
        if (held.task, held.run) in self.room.ended:
            return
        step = self.observer.run_found(self, held)
        if step is not None:
            adopted = Run(held.task, held.run, step, Phase.held, now)
            adopted.confirm(held, now)
            self.room.take(adopted)

    def note_absent(self, present: set[TaskRef], sent_at: float, token: int) -> None:
        """Find runs that are neither there nor listed as ended.

        A start without an answer is surely not there only when the answer came under a token raised after it.
        """
        for task, known in list(self.room.runs.items()):
            if task not in present and known.is_surely_absent(sent_at, token):
                self.room.pop(task)
                self.observer.run_vanished(self, known)

    def store_confirmed(self, number: int) -> None:
        """Note that an end is stored; the worker may forget all ends up to the first that is not."""
        self.unstored.discard(number)
        self.last_acknowledged = min(self.unstored) - 1 if self.unstored else self.last_listed
