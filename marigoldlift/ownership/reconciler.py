"""Keeps owned workers and the domain stream in agreement: starts, stops and ends of tasks."""

from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from marigoldlift.errors import (
    FencedError,
    InvalidInputError,
    LogUnavailableError,
    OverloadedError,
    PlatformError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.ids import JobId, KeyId, Offset, TaskId, WorkerId
from marigoldlift.jobs.actions import Action, Propose, StartAssigned, StopRunning
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.key_table import KeyEntry
from marigoldlift.jobs.reconcile import reconcile
from marigoldlift.jobs.state import LIVE_PHASES, NOT_STARTED_PREFIX, WORKER_LOST_PREFIX
from marigoldlift.jobs.task_ids import JobTaskRef, parse_task_id, task_id_of_job, task_id_of_key
from marigoldlift.journal.messages import (
    JobCancelled,
    KeyClosed,
    KeyStatus,
    Record,
    TaskFinished,
    TaskReleased,
    TasksAssigned,
    TasksPreempted,
)
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.state import Verdict
from marigoldlift.ownership.actions import BackgroundActions
from marigoldlift.ownership.book import WorkerBook
from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.reservations import Reservations
from marigoldlift.ownership.settled import is_settled
from marigoldlift.platform.api import WorkerApi
from marigoldlift.platform.messages import (
    LeaseGrant,
    StartTask,
    StopTask,
    TaskEvent,
    TaskInventory,
    TaskState,
)
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now, wall_ms

__all__ = ('TaskReconciler',)

#: Longest wait for a record to be read back; a later round proposes it again.
PROPOSE_TIMEOUT_S = 5.0

#: Code with which a worker refuses a task id that it has started already.
DUPLICATE = 'duplicate'

Proposal = TaskFinished | TaskReleased | KeyClosed


class TaskReconciler:
    """Acts on the workers that this entry owns; also the listener of their lease sessions.

    Attributes:
        books: what is known of each owned worker.
        actions: what is in progress on tasks and keys.
        resolve_doubt: makes the session of a worker claim it anew; set by the daemon.
        renew_soon: makes the session of a worker renew now, which brings its events; set by the
            daemon.
        on_epoch_raised: called after each granted claim; set by the daemon.
    """

    def __init__(
        self,
        holder: str,
        replica: StreamReplica,
        state: DomainState,
        ledger: WorkerLedger,
        reservations: Reservations,
        workers: Mapping[WorkerId, WorkerApi],
        dispatching: set[KeyId],
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators; `dispatching` are the keys that this entry works on itself."""
        self.holder = holder
        self.replica = replica
        self.state = state
        self.ledger = ledger
        self.reservations = reservations
        self.workers = workers
        self.dispatching = dispatching
        self.metrics = metrics
        self.books: dict[WorkerId, WorkerBook] = {}
        self.actions = BackgroundActions()
        self.resolve_doubt: Callable[[WorkerId], None] = ignore
        self.renew_soon: Callable[[WorkerId], None] = ignore
        self.on_epoch_raised: Callable[[WorkerId], None] = ignore
        replica.subscribe(self.on_record)

    def before_ask(self, worker_id: WorkerId) -> int:
        """Note that a lease request is sent now; return the last task event that is stored."""
        book = self.books.setdefault(worker_id, WorkerBook(worker_id))
        book.asked_at = self.replica.applied
        return book.acknowledged()

    def on_claimed(self, worker_id: WorkerId, grant: LeaseGrant) -> None:
        """Take in the inventory of a claim."""
        self.books[worker_id].claimed(grant, wall_ms())
        self.metrics.add(Metric.lease_changes, change='claimed')
        self.on_epoch_raised(worker_id)
        self.look_at(worker_id)

    def on_renewed(self, worker_id: WorkerId, grant: LeaseGrant) -> None:
        """Take in the events of a renewal."""
        book = self.books[worker_id]
        for event in book.renewed(grant):
            self.ledger.release(worker_id, event.task_id)
            self.metrics.add(Metric.task_ends, outcome=event.state.value)
            note_end(self.ledger, worker_id, event)
        if grant.inventory:
            self.ledger.drop_ended(worker_id, grant.inventory)
        self.look_at(worker_id)

    def on_lost(self, worker_id: WorkerId) -> None:
        """Forget a worker; its next owner starts with its inventory."""
        self.books.pop(worker_id, None)
        self.metrics.add(Metric.lease_changes, change='lost')
        self.on_epoch_raised(worker_id)

    def on_silent(self, worker_id: WorkerId) -> None:
        """Release everything on a worker whose task leases have surely lapsed."""
        now_ms = wall_ms()
        for live in self.state.jobs.assigned_to(worker_id):
            self.spawn_proposal(
                worker_id,
                TaskReleased(
                    at_ms=now_ms,
                    job_id=live.job.job_id,
                    task_index=live.task_index,
                    attempt=live.task.attempt,
                    reason=f'{WORKER_LOST_PREFIX} silent',
                ),
            )
        for entry in self.state.keys.claimed_on(worker_id):
            self.spawn_proposal(worker_id, lost_key(entry, now_ms))

    def on_record(self, offset: Offset, record: Record, verdict: Verdict) -> None:
        """Look at the workers that a record concerns."""
        if not verdict.accepted:
            return
        if isinstance(record, TasksAssigned):
            self.look_at_all(chosen.worker_id for chosen in record.assignments)
        elif isinstance(record, JobCancelled | TasksPreempted):
            self.look_at_all(self.workers_of(record.job_id))

    def workers_of(self, job_id: JobId) -> list[WorkerId]:
        """Return the workers that hold live tasks of a job."""
        job = self.state.jobs.job(job_id)
        if job is None:
            return []
        return [task.worker_id for task in job.tasks if task.phase in LIVE_PHASES]

    def look_at_all(self, worker_ids: Iterable[WorkerId]) -> None:
        """Look at each of some workers once."""
        concerned = set(worker_ids)
        for worker_id in concerned:
            self.look_at(worker_id)

    def look_at(self, worker_id: WorkerId) -> None:
        """Compare an owned worker with the stream and start what is to be done."""
        book = self.books.get(worker_id)
        worker = self.ledger.workers.get(worker_id)
        if book is None or worker is None or not self.replica.caught_up:
            return
        if not worker.until_s or book.epoch != worker.epoch:
            return
        self.forget_settled(book)
        for action in reconcile(book.view(self.holder, self.dispatching), self.state, wall_ms()):
            self.act(book, action)

    def forget_settled(self, book: WorkerBook) -> None:
        """Let the worker forget the ends that the log holds."""
        for task_id in book.ended():
            if is_settled(task_id, self.state):
                book.stored(task_id)

    def act(self, book: WorkerBook, action: Action) -> None:
        """Start one action unless one is in progress for the same task."""
        if isinstance(action, StartAssigned):
            self.actions.start(action.start.task_id, self.start(book, action.start))
        elif isinstance(action, StopRunning):
            self.actions.start(action.task_id, self.stop(book, action.task_id))
        elif isinstance(action, Propose):
            self.spawn_proposal(book.worker_id, action.record)

    async def start(self, book: WorkerBook, start: StartTask) -> None:
        """Start a task whose assignment the log has accepted."""
        if not self.hold(book.worker_id, start):
            await self.propose(not_started(start, 'no room'))
            return
        note_sent(self.ledger, book, start)
        try:
            await self.workers[book.worker_id].start_task(start)
        except FencedError:
            self.resolve_doubt(book.worker_id)
        except WorkerRefusedError as error:
            await self.start_refused(book, start, error)
        except WorkerUnavailableError as error:
            logger.warning('start in doubt', task=start.task_id, reason=error.reason)
            self.resolve_doubt(book.worker_id)
        else:
            self.note_running(book, start)

    async def start_refused(
        self,
        book: WorkerBook,
        start: StartTask,
        error: WorkerRefusedError,
    ) -> None:
        """Release an attempt that the worker refused; a repeated start is no refusal."""
        if error.worker_code == DUPLICATE:
            self.note_running(book, start)
            return
        self.ledger.workers[book.worker_id].breaker.on_refused()
        self.ledger.release(book.worker_id, start.task_id)
        await self.propose(not_started(start, error.reason))

    def note_running(self, book: WorkerBook, start: StartTask) -> None:
        """Note a confirmed start."""
        running = TaskInventory(
            start.task_id,
            start.workspace,
            start.resources,
            TaskState.running,
        )
        book.note_running(start.task_id, running)

    def hold(self, worker_id: WorkerId, start: StartTask) -> bool:
        """Hold capacity for a start: what was reserved for its job, or else what is free."""
        worker = self.ledger.workers[worker_id]
        if start.task_id in worker.holds:
            return True
        ref = parse_task_id(start.task_id)
        if isinstance(ref, JobTaskRef) and self.reservations.use(
            ref.job_id,
            worker_id,
            start.task_id,
        ):
            return True
        return self.ledger.hold(worker_id, start.task_id, start.resources)

    async def stop(self, book: WorkerBook, task_id: TaskId) -> None:
        """Stop a task; its end comes with a later renewal."""
        known = task_id in book.inventory
        command = StopTask(book.incarnation, book.epoch, task_id)
        try:
            await self.workers[book.worker_id].stop_task(command)
        except PlatformError as error:
            logger.warning('stop failed', task=task_id, reason=error.reason)
            return
        if known:
            self.renew_soon(book.worker_id)
        else:
            # A start may still be on its way; a new claim fences it and shows whether it arrived.
            self.resolve_doubt(book.worker_id)

    def spawn_proposal(self, worker_id: WorkerId, record: Proposal) -> None:
        """Append a record in the background."""
        self.actions.start(subject_of(record), self.propose_and_look(worker_id, record))

    async def propose_and_look(self, worker_id: WorkerId, record: Proposal) -> None:
        """Append a record; when it is read back, the end that it tells is stored."""
        if await self.propose(record):
            book = self.books.get(worker_id)
            if book is not None:
                self.forget_settled(book)

    async def propose(self, record: Proposal) -> bool:
        """Append a record; false when the log cannot be reached, a later round tries again."""
        try:
            await self.replica.propose(record, PROPOSE_TIMEOUT_S)
        except (LogUnavailableError, OverloadedError) as error:
            logger.warning('record not stored yet', reason=error.reason)
            return False
        return True


def note_sent(ledger: WorkerLedger, book: WorkerBook, start: StartTask) -> None:
    """Note that a start is sent now."""
    book.started.add(start.task_id)
    ledger.workers[book.worker_id].breaker.on_start(loop_now())


def note_end(ledger: WorkerLedger, worker_id: WorkerId, event: TaskEvent) -> None:
    """Note what the end of a task tells about its worker; the runner does so for requests."""
    try:
        ref = parse_task_id(event.task_id)
    except InvalidInputError:
        return
    if isinstance(ref, JobTaskRef):
        ledger.note_task_end(worker_id, ref.job_id, event.state)


def ignore(worker_id: WorkerId) -> None:
    """Do nothing."""


def subject_of(record: Proposal) -> TaskId:
    """Return the task id that a record is about."""
    if isinstance(record, KeyClosed):
        return task_id_of_key(record.key_id)
    return task_id_of_job(record.job_id, record.task_index, record.attempt)


def not_started(start: StartTask, reason: str) -> TaskReleased:
    """Return the release of an attempt that surely never ran."""
    ref = parse_task_id(start.task_id)
    if not isinstance(ref, JobTaskRef):
        raise TypeError(start.task_id)
    return TaskReleased(
        at_ms=wall_ms(),
        job_id=ref.job_id,
        task_index=ref.task_index,
        attempt=ref.attempt,
        reason=f'{NOT_STARTED_PREFIX} {reason}',
    )


def lost_key(entry: KeyEntry, at_ms: int) -> KeyClosed:
    """Return the closing record of a key whose worker is lost: it may have run."""
    return KeyClosed(
        at_ms=at_ms,
        key_id=entry.key_id,
        workspace=entry.workspace,
        key=entry.key,
        content_digest=entry.content_digest,
        status=KeyStatus.unknown,
        reason='worker lost',
    )
