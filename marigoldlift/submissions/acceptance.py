"""What callers may ask of their submissions at any entry."""

import asyncio
from collections.abc import Callable
from enum import Enum

from loguru import logger

from marigoldlift.errors import AppendRefusedError, LogUnavailableError
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.intake import Intake
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.records import Accepted, Cancelled, Outcome
from marigoldlift.submissions.state import FINAL, CellState
from marigoldlift.telemetry.metric_table import Metric

__all__ = ('Acceptance', 'Answer')

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


class Answer(Enum):
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
        intake: Intake,
        replica: Replica,
        clock: Callable[[], float],
    ) -> None:
        """Start with the entry's copy of the log."""
        self.state = state
        self.appender = appender
        self.intake = intake
        self.replica = replica
        self.clock = clock
        self.under_way: set[SubmissionId] = set()

    def store_fails(self) -> bool:
        """Tell whether the store has failed for so long that waiting for it helps nobody.

        An answer to a read since the last failure is a reason to try again.
        """
        since = self.appender.failing_since
        if since is None or self.clock() - since <= STORE_FAILING_S:
            return False
        return self.replica.fresh_at <= self.appender.failed_at

    def wait_s(self, patience_s: float) -> float:
        """Return how long a caller waits for the store."""
        return min(STORE_WAIT_S, patience_s)

    async def submit(self, submission: Submission, patience_s: float) -> Answer:
        """Store a submission before it counts as accepted; the same id again is the same submission.

        Args:
            submission: what the caller wants to have done.
            patience_s: how long the caller waits.
        """
        if self.state.state_of(submission.id) is not None:
            return Answer.done
        if self.store_fails() and submission.id not in self.under_way:
            logger.info('submission refused: submission={} the log fails', submission.id)
            return Answer.refused
        return await self.store(submission, patience_s)

    async def store(self, submission: Submission, patience_s: float) -> Answer:
        """Store one submission; after a doubt about an earlier try, a refusal of this one proves nothing."""
        earlier_try = submission.id in self.under_way
        try:
            await self.intake.append(Accepted(submission), self.wait_s(patience_s))
        except AppendRefusedError as refusal:
            logger.info('submission refused: submission={} {}', submission.id, refusal.reason)
            return Answer.unknown if earlier_try else Answer.refused
        except LogUnavailableError as doubt:
            self.under_way.add(submission.id)
            logger.info('submission in doubt: submission={} {}', submission.id, doubt.reason)
            return Answer.unknown
        self.under_way.discard(submission.id)
        logger.info(
            'submission accepted: submission={} queue={}', submission.id, submission.policy.queue
        )
        return Answer.done

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

    async def outcome(self, submission: SubmissionId, patience_s: float) -> Outcome | None:
        """Return where a submission stands, None when there is no such submission.

        A store that does not answer in time leaves the caller with what this entry knows.

        Args:
            submission: id of the submission.
            patience_s: how long the caller waits.

        Raises:
            LogUnavailableError: the store does not answer, and this entry does not know the submission.
        """
        try:
            async with asyncio.timeout(patience_s):
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
        while self.state.state_of(submission) not in FINAL:
            await self.replica.refresh(STATE_AGE_S)
            if self.clock() >= until or self.state.state_of(submission) is not Outcome.running:
                break
            await asyncio.sleep(STATE_AGE_S)
        return self.state.state_of(submission)

    async def cancel(self, submission: SubmissionId, patience_s: float) -> Answer:
        """Store that a submission is no longer wanted."""
        try:
            if not await self.is_known(submission):
                return Answer.gone
            if self.state.state_of(submission) not in FINAL:
                await self.intake.append(Cancelled(submission), self.wait_s(patience_s))
        except AppendRefusedError:
            return Answer.refused
        except LogUnavailableError:
            return Answer.unknown
        return Answer.done

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
