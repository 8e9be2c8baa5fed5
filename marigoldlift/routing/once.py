"""Non-repeatable requests: claim of the key in the log, one dispatch, closing of the key."""

import asyncio
from contextlib import ExitStack

import msgspec
from loguru import logger

from marigoldlift.errors import (
    ConflictError,
    LogUnavailableError,
    MarigoldliftError,
    OverloadedError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.ids import KeyId, WorkerId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.job_table import KEY_REUSED
from marigoldlift.jobs.key_table import NOT_DISPATCHED_PREFIX, KeyEntry
from marigoldlift.jobs.task_ids import task_id_of_key
from marigoldlift.journal.messages import KeyClaimed, KeyClosed, KeyStatus, Record
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.state import Applied, Verdict
from marigoldlift.peers.messages import ExecuteReply, ReadToken
from marigoldlift.platform.messages import RequestResult, TaskState
from marigoldlift.routing.dispatcher import result_reply
from marigoldlift.routing.pending import Pending
from marigoldlift.routing.replies import closed_key_reply, invalid_reply
from marigoldlift.routing.runner import Placement, WorkerRunner
from marigoldlift.util import digest, loop_now, wall_ms

__all__ = ('OnceExecutor', 'content_digest')

#: Longest wait for the closing record before the caller gets its answer all the same.
CLOSE_WAIT_S = 2.0

#: Part of the time left that a claim may wait for the log. The rest lets the refusal reach the
#: caller through two forwards; at the deadline itself the request counts as perhaps run.
CLAIM_WAIT_SHARE = 0.8

#: Longest wait for a refusal of a retry to be written.
REFUSE_WAIT_S = 1.0

#: Time for a request that was just sent to reach its worker, in seconds.
ARRIVAL_S = 0.1

KEY_STATUS = (
    (TaskState.finished, KeyStatus.completed),
    (TaskState.failed, KeyStatus.failed),
    (TaskState.stopped, KeyStatus.failed),
)


class OnceExecutor:
    """Runs non-repeatable requests whose home is this failure domain.

    Attributes:
        dispatching: keys that this entry may dispatch or has dispatched without knowing the end.
        claiming: those of them that may not have reached their worker yet, by worker.
        doubtful: those of them whose answer was lost, by worker; a new claim of the worker raises
            the epoch, after which the worker's inventory tells what became of them.
        waiters: futures of callers that wait for a key to close.
    """

    def __init__(
        self,
        holder: str,
        replica: StreamReplica,
        state: DomainState,
        runner: WorkerRunner,
        dispatching: set[KeyId],
    ) -> None:
        """Keep the collaborators; `holder` is VM id and incarnation of this entry."""
        self.holder = holder
        self.replica = replica
        self.state = state
        self.runner = runner
        self.dispatching = dispatching
        self.claiming: dict[WorkerId, set[KeyId]] = {}
        self.doubtful: dict[WorkerId, set[KeyId]] = {}
        self.waiters: dict[KeyId, set[asyncio.Future[None]]] = {}
        replica.subscribe(self.on_record)

    def on_record(self, offset: int, record: Record, verdict: Verdict) -> None:
        """Wake those that wait for a key that has just been closed."""
        if isinstance(record, KeyClosed) and verdict.accepted:
            for waiter in self.waiters.pop(record.key_id, ()):
                if not waiter.done():
                    waiter.set_result(None)

    async def run(self, pending: Pending, placement: Placement) -> None:
        """Claim the key for a placement and, if the claim wins, dispatch once."""
        key_id = pending.key_id
        if key_id is None or key_id in self.dispatching:
            self.runner.ledger.release(placement.worker_id, placement.task_id)
            await self.follow(pending)
            return
        with ExitStack() as cleanup:
            self.dispatching.add(key_id)
            self.claiming.setdefault(placement.worker_id, set()).add(key_id)
            cleanup.callback(self.end_dispatch, key_id, placement.worker_id)
            won = await self.claim(pending, placement, key_id)
        if not won:
            self.runner.ledger.release(placement.worker_id, placement.task_id)
            await self.follow(pending)

    def end_claim(self, key_id: KeyId, worker_id: WorkerId) -> None:
        """Note that the dispatch of a key has reached its worker, or will not be sent."""
        claiming = self.claiming.get(worker_id, set())
        claiming.discard(key_id)
        if not claiming:
            self.claiming.pop(worker_id, None)

    def end_dispatch(self, key_id: KeyId, worker_id: WorkerId) -> None:
        """Note that nothing more is sent for a key, unless its answer was lost."""
        self.end_claim(key_id, worker_id)
        if key_id not in self.doubtful.get(worker_id, ()):
            self.dispatching.discard(key_id)

    async def claim(self, pending: Pending, placement: Placement, key_id: KeyId) -> bool:
        """Claim the key and dispatch; false when another record of the key came first."""
        wait_s = (pending.deadline_s - loop_now()) * CLAIM_WAIT_SHARE
        try:
            claimed = await self.replica.propose(claim_record(self, pending, placement), wait_s)
        except (LogUnavailableError, OverloadedError) as error:
            # A claim in doubt may still appear. Only this entry could act on it, and will not:
            # the owner of the worker closes it as not run.
            self.runner.ledger.release(placement.worker_id, placement.task_id)
            pending.refuse(LogUnavailableError.code, error.reason)
            return True
        if not claimed.verdict.accepted:
            return False
        await self.dispatch(pending, placement, key_id)
        return True

    async def dispatch(self, pending: Pending, placement: Placement, key_id: KeyId) -> None:
        """Send the request to the worker, once, and close the key with the result."""
        task_id = task_id_of_key(key_id)
        if not self.runner.ledger.rename(placement.worker_id, placement.task_id, task_id):
            await self.close_not_run(pending, 'the worker was claimed anew meanwhile')
            return
        running = self.runner.start(
            msgspec.structs.replace(placement, task_id=task_id),
            pending.request,
            pending.deadline_s,
            retain=True,
        )
        asyncio.get_running_loop().call_later(
            ARRIVAL_S, self.end_claim, key_id, placement.worker_id
        )
        try:
            outcome = await running
        except WorkerRefusedError as error:
            await self.close_not_run(pending, error.reason)
        except WorkerUnavailableError as error:
            await self.lost_answer(pending, placement, error)
        else:
            await self.close(pending, outcome)

    async def lost_answer(
        self,
        pending: Pending,
        placement: Placement,
        error: WorkerUnavailableError,
    ) -> None:
        """Answer when the worker did not; a new claim of the worker tells what became of it."""
        if not error.may_have_run:
            await self.close_not_run(pending, error.reason)
            return
        if self.is_current(placement):
            self.doubtful.setdefault(placement.worker_id, set()).add(KeyId(str(pending.key_id)))
        pending.may_have_run = True
        pending.refuse(error.code, error.reason)

    def is_current(self, placement: Placement) -> bool:
        """Tell whether no claim has raised the epoch of a placement yet.

        A claim that was sent for another lost answer may be granted before this answer is known to
        be lost; nobody would claim once more for it.
        """
        worker = self.runner.ledger.workers.get(placement.worker_id)
        if worker is None:
            return False
        lease = (worker.incarnation, worker.epoch)
        return lease == (placement.incarnation, placement.epoch)

    def on_epoch_raised(self, worker_id: WorkerId) -> None:
        """Leave the worker's doubtful keys to its inventory: old commands cannot arrive now."""
        self.dispatching -= self.doubtful.pop(worker_id, set())

    async def close(self, pending: Pending, outcome: RequestResult) -> None:
        """Close the key with a result, and answer."""
        status = dict(KEY_STATUS)[outcome.state]
        record = closing_record(pending, status, answer=outcome.result)
        reply = result_reply(outcome)
        reply.handle = str(pending.key_id)
        try:
            closed = await self.replica.propose(record, CLOSE_WAIT_S)
        except (LogUnavailableError, OverloadedError) as error:
            # The worker keeps the result, and its owner closes the key when the log is back.
            logger.warning('key not closed yet', key=pending.key_id, reason=error.reason)
        else:
            reply.token = ReadToken(self.replica.stream, closed.offset)
        pending.answer(reply)

    async def close_not_run(self, pending: Pending, reason: str) -> None:
        """Close a claimed key that was surely not dispatched, and answer."""
        record = closing_record(
            pending,
            KeyStatus.not_run,
            reason=f'{NOT_DISPATCHED_PREFIX} {reason}',
        )
        await self.propose_and_answer(pending, record, CLOSE_WAIT_S)

    async def refuse(self, pending: Pending, refusal: ExecuteReply) -> ExecuteReply:
        """Make the refusal of a retry definite by closing its key before anybody claims it."""
        record = closing_record(pending, KeyStatus.not_run, reason=refusal.reason)
        try:
            applied = await self.replica.propose(record, REFUSE_WAIT_S)
        except MarigoldliftError:
            return refusal
        return self.known(pending, applied) or refusal

    async def propose_and_answer(
        self,
        pending: Pending,
        record: KeyClosed,
        timeout_s: float,
    ) -> None:
        """Close the key; the state after it is the answer, whoever closed it."""
        try:
            applied = await self.replica.propose(record, timeout_s)
        except (LogUnavailableError, OverloadedError) as error:
            pending.refuse(error.code, record.reason)
            return
        reply = self.known(pending, applied)
        if reply is None:
            pending.refuse('key_not_closed', record.reason)
        else:
            pending.answer(reply)

    def known(self, pending: Pending, applied: Applied | None = None) -> ExecuteReply | None:
        """Return the reply for a key that is closed, None when it is not."""
        entry = self.entry_of(pending)
        if entry is None or entry.status is KeyStatus.claimed:
            return None
        offset = applied.offset if applied else self.replica.applied
        token = ReadToken(self.replica.stream, offset)
        return closed_key_reply(entry.status, entry.answer, entry.reason, entry.key_id, token)

    def entry_of(self, pending: Pending) -> KeyEntry | None:
        """Return the key of a request, None when the log does not know it."""
        if pending.key_id is None:
            return None
        return self.state.keys.key(pending.key_id)

    def is_reused(self, pending: Pending) -> bool:
        """Tell whether the key was used for other content."""
        entry = self.entry_of(pending)
        return entry is not None and entry.content_digest != content_digest(pending)

    async def follow(self, pending: Pending) -> None:
        """Wait until somebody closes the key, and answer with what the log says then."""
        if self.is_reused(pending):
            pending.answer(invalid_reply(ConflictError(KEY_REUSED, 'key')))
            return
        reply = self.known(pending)
        if reply is None:
            await self.wait_closed(pending)
            reply = self.known(pending)
        if reply is None:
            pending.may_have_run = True
            pending.refuse('key_claimed', 'an earlier attempt is in progress')
        else:
            pending.answer(reply)

    async def wait_closed(self, pending: Pending) -> None:
        """Wait for the key to close, until the deadline."""
        key_id = pending.key_id
        if key_id is None:
            return
        waiter = asyncio.get_running_loop().create_future()
        waiting = self.waiters.setdefault(key_id, set())
        waiting.add(waiter)
        left_s = max(pending.deadline_s - loop_now(), 0)
        await asyncio.wait((waiter,), timeout=left_s)
        waiting.discard(waiter)
        if not waiting and self.waiters.get(key_id) is waiting:
            self.waiters.pop(key_id)


def content_digest(pending: Pending) -> str:
    """Return the digest by which a repeated send is told from another request."""
    return digest(pending.request.service, pending.request.payload)


def claim_record(executor: OnceExecutor, pending: Pending, placement: Placement) -> KeyClaimed:
    """Return the claim of a key for a placement."""
    return KeyClaimed(
        at_ms=wall_ms(),
        key_id=KeyId(str(pending.key_id)),
        workspace=pending.request.workspace,
        key=pending.request.key,
        content_digest=content_digest(pending),
        holder=executor.holder,
        worker_id=placement.worker_id,
        incarnation=placement.incarnation,
        epoch=placement.epoch,
    )


def closing_record(
    pending: Pending,
    status: KeyStatus,
    answer: str = '',
    reason: str = '',
) -> KeyClosed:
    """Return the closing record of a key."""
    return KeyClosed(
        at_ms=wall_ms(),
        key_id=KeyId(str(pending.key_id)),
        workspace=pending.request.workspace,
        key=pending.request.key,
        content_digest=content_digest(pending),
        status=status,
        answer=answer,
        reason=reason,
    )
