"""What callers may ask of their submissions at any entry."""

import asyncio
from collections.abc import Callable
from enum import Enum

from loguru import logger

from marigoldlift.errors import AppendRefusedError, LogUnavailableError
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.append_router import AppendRouter
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.records import Accepted, Cancelled, Outcome
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState
from marigoldlift.telemetry.metric_table import Metric

__all__ = ('Acceptance', 'RequestResult')

#: Longest wait of a caller for the store, in s; a retry reaches another entry, which the store may serve.
STORE_WAIT_S = 1.2

#: Row of failures of the store after which callers are refused at once, in s.
STORE_FAILING_S = 0.4

#: Age up to which the state of an open submission is told without asking the store again, and pause between two such
#: questions, in s; each is priced.
STATE_AGE_S = 0.03

#: How long a question about a running submission waits for its outcome, in s. Callers often ask as the last task ends,
#: and the end is stored and read 0.02 s later, 0.1 s where many submissions end at once; they ask again after 0.26 s.
STATE_WAIT_S = 0.15


class RequestResult(Enum):
    """What became of a request."""

    done = 'done'
    refused = 'refused'
    unknown = 'unknown'
    gone = 'gone'


class Acceptance:
    """Accepts and cancels submissions, and tells their state."""

    def __init__(
        self,
        state: CellState,
        appender: Appender,
        append_router: AppendRouter,
        replica: Replica,
        clock: Callable[[], float],
    ) -> None:
        """Start with the entry's copy of the log."""
        self.state = state
        self.appender = appender
        self.append_router = append_router
        self.replica = replica
        self.clock = clock
        self.uncertain_submissions: set[SubmissionId] = set()

    def store_fails(self) -> bool:
        """Tell whether the store has failed for so long that waiting for it helps nobody.

        An answer to a read since the last failure is a reason to try again.
        """
        since = self.appender.failing_since
        if since is None or self.clock() - since <= STORE_FAILING_S:
            return False
        return self.replica.last_response_at <= self.appender.failed_at

    def store_timeout_s(self, timeout_s: float) -> float:
        """Return how long a caller waits for the store."""
        return min(STORE_WAIT_S, timeout_s)

    async def submit(self, submission: Submission, timeout_s: float) -> RequestResult:
        """Store a submission before it counts as accepted; the same id again is the same submission.

        Args:
            submission: what the caller wants to have done.
            timeout_s: how long the caller waits.
        """
        if self.state.state_of(submission.id) is not None:
            return RequestResult.done
        if self.store_fails() and submission.id not in self.uncertain_submissions:
            logger.info('submission refused: submission={} the log fails', submission.id)
            return RequestResult.refused
        return await self.store(submission, timeout_s)

    async def store(self, submission: Submission, timeout_s: float) -> RequestResult:
        """Store one submission; after a doubt about an earlier try, a refusal of this one proves nothing."""
        earlier_try = submission.id in self.uncertain_submissions
        try:
            await self.append_router.append(Accepted(submission), self.store_timeout_s(timeout_s))
        except AppendRefusedError as refusal:
            logger.info('submission refused: submission={} {}', submission.id, refusal.reason)
            return RequestResult.unknown if earlier_try else RequestResult.refused
        except LogUnavailableError as doubt:
            self.uncertain_submissions.add(submission.id)
            logger.info('submission in doubt: submission={} {}', submission.id, doubt.reason)
            return RequestResult.unknown
        self.uncertain_submissions.discard(submission.id)
        logger.info(
            'submission accepted: submission={} queue={}', submission.id, submission.policy.queue
        )
        return RequestResult.done

    async def is_known(self, submission: SubmissionId) -> bool:
        """Tell whether a submission was accepted, by all that was stored before this call.

        Raises:
            LogUnavailableError: the store does not answer.
        """
        if self.state.state_of(submission) is None:
            await self.replica.synchronize()
        if self.state.state_of(submission) is None:
            self.note_gone(submission)
            return False
        return True

    def note_gone(self, submission: SubmissionId) -> None:
        """Log and count that a caller is told of no such submission, and by which read."""
        self.appender.metrics.add(Metric.submissions_gone)
        logger.info(
            'submission gone: submission={} offset={} read_age_s={:.3f}',
            submission,
            self.replica.offset,
            self.clock() - self.replica.read_at,
        )

    async def outcome(self, submission: SubmissionId, timeout_s: float) -> Outcome | None:
        """Return where a submission stands, None when there is no such submission.

        A store that does not answer in time leaves the caller with what this entry knows.

        Args:
            submission: id of the submission.
            timeout_s: how long the caller waits.

        Raises:
            LogUnavailableError: the store does not answer, and this entry does not know the submission.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self.newest_outcome(submission)
        except TimeoutError:
            known = self.state.state_of(submission)
        if known is None:
            raise LogUnavailableError('the log did not answer while the caller waited')
        return known

    async def newest_outcome(self, submission: SubmissionId) -> Outcome | None:
        """Return where a submission stands by the store.

        A running submission may have ended a moment ago, so its outcome is waited for.
        """
        if not await self.is_known(submission):
            return None
        until = self.clock() + STATE_WAIT_S
        while self.state.state_of(submission) not in FINAL_OUTCOMES:
            await self.replica.refresh(STATE_AGE_S)
            if self.clock() >= until or self.state.state_of(submission) is not Outcome.running:
                break
            await asyncio.sleep(STATE_AGE_S)
        return self.state.state_of(submission)

    async def cancel(self, submission: SubmissionId, timeout_s: float) -> RequestResult:
        """Store that a submission is no longer wanted."""
        try:
            if not await self.is_known(submission):
                return RequestResult.gone
            if self.state.state_of(submission) not in FINAL_OUTCOMES:
                await self.append_router.append(
                    Cancelled(submission), self.store_timeout_s(timeout_s)
                )
        except AppendRefusedError:
            return RequestResult.refused
        except LogUnavailableError:
            return RequestResult.unknown
        return RequestResult.done

    def pending(self, queue: str) -> int:
        """Return the queue's accepted submissions of which no task has started.

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
