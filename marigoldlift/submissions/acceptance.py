"""Requests of callers about their submissions, served by any entry."""

import asyncio
from collections.abc import Callable
from enum import Enum

from loguru import logger

from marigoldlift.errors import AppendRefusedError, LogUnavailableError
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.append_router import AppendRouter
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.access import ANYONE, Caller
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.open_limit import OpenLimit
from marigoldlift.submissions.record_codec import cancellation_name
from marigoldlift.submissions.records import Accepted, Cancelled, Outcome, Record
from marigoldlift.submissions.share_admission import ServiceLoad, ShareAdmission
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.shares import WorkspaceShares

__all__ = ('Acceptance', 'AcceptanceResult')

#: Longest wait of a caller for a record that is not sent yet, in s; a retry reaches another entry, which may still reach
#: the store.
STORE_WAIT_S = 1.2

#: Duration of consecutive store failures after which callers are refused at once, in s.
STORE_FAILING_S = 0.4

#: Age up to which the state of an open submission is returned without reading the store again, and pause between two
#: such reads, in s; each read has a cost.
STATE_AGE_S = 0.03

#: How long a status request for a running submission waits for its outcome, in s. Callers often ask as the last task
#: ends; the end is stored and read 0.02 s later, 0.1 s if many submissions end at once. They ask again after 0.26 s.
STATE_WAIT_S = 0.15

#: Stored cancellations of unknown submissions above which no further ones are taken, until some have expired. Each takes
#: 50 bytes of the log and 200 bytes of an entry's memory.
MAX_EARLY_CANCELLATIONS = 5000


class AcceptanceResult(Enum):
    """Result of a request to submit or cancel; `taken` refuses an id that another workspace has used."""

    done = 'done'
    refused = 'refused'
    unknown = 'unknown'
    gone = 'gone'
    taken = 'taken'


class Acceptance:
    """Accepts and cancels submissions, and returns their state."""

    def __init__(
        self,
        state: CellState,
        appender: Appender,
        append_router: AppendRouter,
        replica: Replica,
        clock: Callable[[], float],
        workspaces: WorkspaceDirectory,
        load: ServiceLoad,
    ) -> None:
        """Create the handler on the entry's replica of the log.

        Args:
            state: submissions that this entry has read from the log.
            appender: stores records from this entry.
            append_router: stores the records of callers.
            replica: reads the log.
            clock: monotonic time in seconds.
            workspaces: weights of the workspaces.
            load: backlog of each service.
        """
        self.state = state
        self.appender = appender
        self.append_router = append_router
        self.replica = replica
        self.clock = clock
        self.admission = ShareAdmission(
            WorkspaceShares(workspaces, clock), load, state, replica, clock, appender.metrics
        )
        self.open_limit = OpenLimit(state, clock)
        self.uncertain_submissions: set[SubmissionId] = set()

    def store_fails(self) -> bool:
        """Return whether the store has failed for so long that callers are refused without an attempt.

        An answer to a read after the last failed append allows another attempt.
        """
        since = self.appender.failing_since
        if since is None or self.clock() - since <= STORE_FAILING_S:
            return False
        return self.replica.contact.last_response_at <= self.appender.failed_at

    async def store_record(self, record: Record, timeout_s: float) -> None:
        """Store a record; waits longer than `STORE_WAIT_S` only for one that may be stored already.

        Most callers cannot repeat a request whose outcome is unknown, but those that are refused can.

        Args:
            record: what is stored.
            timeout_s: how long the caller waits, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            LogUnavailableError: the record may be stored, now or later.
        """
        wait_s = min(STORE_WAIT_S, timeout_s)
        await self.append_router.append(record, wait_s, timeout_s - wait_s)

    async def submit(
        self, submission: Submission, timeout_s: float, caller: Caller = ANYONE
    ) -> AcceptanceResult:
        """Store a submission; it counts as accepted once it is stored, and repeating its id has no effect.

        Args:
            submission: the submission to accept.
            timeout_s: how long the caller waits, in s.
            caller: who hands it in.

        Raises:
            ShareExceededError: it is beyond its workspace's share, and the cell is too full to serve it in time.
        """
        if self.state.state_of(submission.id) is not None:
            return self.repeated(submission.id, caller)
        if self.replica.contact.was_away():
            return self.refuse(submission, 'the entry was away')
        is_repeated = submission.id in self.uncertain_submissions
        if self.store_fails() and not is_repeated:
            return self.refuse(submission, 'the log fails')
        admitted: Submission | None = self.admission.mark(submission) if is_repeated else None
        if admitted is None and not self.open_limit.admit(submission):
            return self.refuse(submission, 'too much is open')
        if admitted is None:
            admitted = await self.admission.admit(submission)
        if admitted is None:
            return self.repeated(submission.id, caller)
        answer = await self.store(admitted, timeout_s)
        if answer is AcceptanceResult.refused:
            self.admission.withdraw(submission)
        return answer

    def refuse(self, submission: Submission, reason: str) -> AcceptanceResult:
        """Log and count a submission that is refused without an attempt to store it."""
        self.appender.metrics.add(Metric.submissions_refused, reason=reason)
        logger.info('submission refused: submission={} {}', submission.id, reason)
        return AcceptanceResult.refused

    def repeated(self, submission: SubmissionId, caller: Caller) -> AcceptanceResult:
        """Return the answer to a caller who hands in a known id."""
        if self.state.is_visible(submission, caller):
            return AcceptanceResult.done
        logger.info('submission refused: submission={} id of another workspace', submission)
        return AcceptanceResult.taken

    async def store(self, submission: Submission, timeout_s: float) -> AcceptanceResult:
        """Store a submission; a refusal is reported as unknown if an earlier attempt had an unknown outcome."""
        earlier_attempt = submission.id in self.uncertain_submissions
        try:
            await self.store_record(Accepted(submission), timeout_s)
        except AppendRefusedError as refusal:
            self.appender.metrics.add(Metric.submissions_refused, reason='the log refuses')
            logger.info('submission refused: submission={} {}', submission.id, refusal.reason)
            return AcceptanceResult.unknown if earlier_attempt else AcceptanceResult.refused
        except LogUnavailableError as error:
            self.uncertain_submissions.add(submission.id)
            logger.info('submission in doubt: submission={} {}', submission.id, error.reason)
            return AcceptanceResult.unknown
        self.uncertain_submissions.discard(submission.id)
        logger.info(
            'submission accepted: submission={} queue={} workspace={} ahead_s={:.2f}',
            submission.id,
            submission.policy.queue,
            submission.workspace,
            submission.ahead_s,
        )
        return AcceptanceResult.done

    async def is_known(self, submission: SubmissionId, caller: Caller) -> bool:
        """Return whether a submission was accepted, according to all records stored before this call.

        One that the caller may not access is handled like an unknown one, also in the time that it takes.

        Raises:
            LogUnavailableError: the store does not answer.
        """
        if not self.state.is_visible(submission, caller):
            await self.replica.synchronize()
        if not self.state.is_visible(submission, caller):
            self.note_gone(submission)
            return False
        return True

    def note_gone(self, submission: SubmissionId) -> None:
        """Log and count an answer that a submission does not exist, with the offset and age of the read behind it."""
        self.appender.metrics.add(Metric.submissions_gone)
        logger.info(
            'submission gone: submission={} offset={} read_age_s={:.3f}',
            submission,
            self.replica.offset,
            self.clock() - self.replica.read_at,
        )

    async def outcome(
        self, submission: SubmissionId, timeout_s: float, caller: Caller = ANYONE
    ) -> Outcome | None:
        """Return the state of a submission, None if it does not exist or the caller may not access it.

        If the store does not answer in time, the state in this entry's replica is returned.

        Args:
            submission: id of the submission.
            timeout_s: how long the caller waits, in s.
            caller: who asks.

        Raises:
            LogUnavailableError: the store does not answer, and this entry's replica does not hold the submission.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self.newest_outcome(submission, caller)
        except TimeoutError:
            if not self.state.is_visible(submission, caller):
                raise LogUnavailableError('the log did not answer in time') from None
        return self.state.state_of(submission)

    async def newest_outcome(self, submission: SubmissionId, caller: Caller) -> Outcome | None:
        """Return the state of a submission after reading the store.

        A running submission may just have ended, so this waits up to `STATE_WAIT_S` for its outcome.
        """
        if not await self.is_known(submission, caller):
            return None
        until = self.clock() + STATE_WAIT_S
        while self.state.state_of(submission) not in FINAL_OUTCOMES:
            await self.replica.refresh(STATE_AGE_S)
            if self.clock() >= until or self.state.state_of(submission) is not Outcome.running:
                break
            await asyncio.sleep(STATE_AGE_S)
        return self.state.state_of(submission)

    async def cancel(
        self, submission: SubmissionId, timeout_s: float, caller: Caller = ANYONE
    ) -> AcceptanceResult:
        """Store the cancellation of a submission.

        That of an unknown one is stored too before it is reported as gone: its acceptance may still be stored, by an
        entry that was paused or whose append gets through late. That of another workspace's submission is stored in the
        same way, so that the answer tells nothing, and has no effect.
        """
        record = Cancelled(submission, caller)
        until = self.clock() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                known = await self.is_known(submission, caller)
            if self.needs_cancellation(record):
                await self.store_record(record, max(0, until - self.clock()))
        except AppendRefusedError as refusal:
            logger.info('cancellation refused: submission={} {}', submission, refusal.reason)
            return AcceptanceResult.refused
        except (LogUnavailableError, TimeoutError):
            return AcceptanceResult.unknown
        return AcceptanceResult.done if known else AcceptanceResult.gone

    def needs_cancellation(self, record: Cancelled) -> bool:
        """Return whether a cancellation has to be stored.

        Raises:
            AppendRefusedError: the submission is unknown, and too many cancellations of unknown ones are stored.
        """
        if self.state.is_visible(record.submission, record.caller):
            return self.state.state_of(record.submission) not in FINAL_OUTCOMES
        early = self.state.early_cancellations
        if cancellation_name(record) in early:
            return False
        if len(early) >= MAX_EARLY_CANCELLATIONS:
            raise AppendRefusedError('too many cancellations of unknown submissions are stored')
        return True

    def pending(self, queue: str) -> int:
        """Return the number of accepted submissions of the queue of which no task has started.

        Raises:
            LogUnavailableError: this entry has not read the log yet.
        """
        if not self.replica.ready.is_set():
            raise LogUnavailableError('the snapshot is not read yet')
        return sum(
            1
            for job in self.state.jobs.values()
            if job.state is Outcome.queued and job.submission.policy.queue == queue
        )
