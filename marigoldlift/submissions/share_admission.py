"""Admission by share: marks submissions beyond a workspace's share, and refuses those that a full cell cannot serve.

Answers the load of a surge of one or of many workspaces. What is within a share is never refused. What is beyond it waits
behind all work within shares; where its caller would get nothing from it then, it is told at once when to come back.
"""

import asyncio
import math
import zlib
from collections.abc import Callable
from typing import Protocol

import msgspec
from loguru import logger

from marigoldlift.errors import LogUnavailableError, ShareExceededError
from marigoldlift.replication.replica import Replica
from marigoldlift.scheduling.service_order import WORTHLESS_FACTOR
from marigoldlift.scheduling.job_run import chains_s, objective_s
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.submissions.record_codec import scoped_name
from marigoldlift.submissions.records import Backlog
from marigoldlift.submissions.state import CellState
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.shares import Standing, WorkspaceShares

__all__ = ('ServiceLoad', 'ShareAdmission', 'refusal_s', 'retry_after_s', 'spare_s')

MS_PER_S = 1000

#: How long a refusal waits for the log to tell whether the submission was accepted before, in s; the log usually answers
#: in 4 ms. Without an answer the submission is not refused here.
CHECK_S = 0.3

#: How long a submission that this entry has counted is remembered, in s; its acceptance is read within that time, if it
#: was stored.
COUNTED_S = 60

#: Shortest time after which a refused caller is asked to come back, in s; entries know the backlog that late.
MIN_RETRY_S = 0.25

#: Longest such time, in s: the load may have passed much sooner than the backlog says.
MAX_RETRY_S = 10

#: Number of values of the hash that spreads callers.
HASH_RANGE = 4_294_967_296


class ServiceLoad(Protocol):
    """What the leader says of the load."""

    def backlog(self, service: str) -> Backlog:
        """Return how long the workers of a service need for the work that waits for them; 0 if it is unknown."""


class CountedSubmission(msgspec.Struct, frozen=True):
    """A submission that was counted before it was read from the log.

    Attributes:
        ahead_s: its mark.
        counted_at: in seconds of the monotonic clock.
    """

    ahead_s: float
    counted_at: float


class ShareAdmission:
    """Marks and counts the submissions that this entry accepts, and counts those that others accept.

    The mark is a part of the stored submission, so that all entries and each later leader order it alike.

    Attributes:
        counted: submissions that this entry has counted and not read from the log yet, by id within their workspace, the
            oldest first.
    """

    def __init__(
        self,
        shares: WorkspaceShares,
        load: ServiceLoad,
        state: CellState,
        replica: Replica,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Start without counted submissions.

        Args:
            shares: usage of the workspaces.
            load: backlog of each service.
            state: submissions that this entry has read from the log.
            replica: reads the log.
            clock: monotonic time in seconds.
            metrics: counts submissions beyond a share, and refusals.
        """
        self.shares = shares
        self.load = load
        self.state = state
        self.replica = replica
        self.clock = clock
        self.metrics = metrics
        self.counted: dict[str, CountedSubmission] = {}

    async def admit(self, submission: Submission) -> Submission | None:
        """Return the submission with its mark, or None if the log holds it already.

        Raises:
            ShareExceededError: it is refused; the log does not hold it.
        """
        if self.refusal_of(submission) and await self.reads_log():
            if self.state.state_of(submission.id) is not None:
                return None
            pause_s = self.refusal_of(submission)
            if pause_s:
                raise self.refuse(submission, pause_s)
        return self.mark(submission)

    def refusal_of(self, submission: Submission) -> float:
        """Return after which time a submission that is to be refused may come back, in s; 0 if it is not refused."""
        if name_of(submission) in self.counted:
            return 0
        standing = self.shares.standing(submission.workspace)
        return refusal_s(standing, self.backlog_s(submission), spare_s(submission))

    def backlog_s(self, submission: Submission) -> float:
        """Return how long the workers need at least for what is served before a submission beyond its share, in s.

        For the highest priority it is the work of this priority alone: small urgent tasks find room beside large ones.
        """
        backlog = self.load.backlog(submission.policy.service)
        return backlog.total_s if submission.policy.priority else backlog.urgent_s

    async def reads_log(self) -> bool:
        """Read the log to its end, and return whether it answered in time."""
        try:
            async with asyncio.timeout(CHECK_S):
                await self.replica.synchronize()
        except (LogUnavailableError, TimeoutError):
            return False
        return True

    def refuse(self, submission: Submission, pause_s: float) -> ShareExceededError:
        """Log and count a refusal, and return the error to raise."""
        standing = self.shares.standing(submission.workspace)
        self.metrics.add(Metric.submissions_refused, reason='beyond its share')
        retry_s = retry_after_s(submission.id, pause_s)
        logger.info(
            'submission refused: submission={} beyond its share: workspace={} rate_per_s={:.1f} weight={:g} ahead_s={:.2f}'
            ' service={} backlog_s={:.2f} spare_s={:.2f} retry_after_s={:.2f}',
            submission.id,
            submission.workspace,
            standing.rate_per_s,
            standing.weight,
            standing.ahead_s,
            submission.policy.service,
            self.backlog_s(submission),
            spare_s(submission),
            retry_s,
        )
        return ShareExceededError('the workspace has exceeded its share', retry_s)

    def mark(self, submission: Submission) -> Submission:
        """Return a submission with its mark, and count it; a repeated one is counted once."""
        self.forget_old()
        known = self.counted.get(name_of(submission))
        if known is not None:
            return msgspec.structs.replace(submission, ahead_s=known.ahead_s)
        standing = self.shares.standing(submission.workspace)
        if not standing.weight:
            return submission
        marked = submission
        if standing.ahead_s:
            marked = msgspec.structs.replace(submission, ahead_s=standing.ahead_s)
            self.metrics.add(Metric.submissions_beyond_share, workspace=submission.workspace)
        self.shares.count(marked.workspace, marked.ahead_s)
        self.counted[name_of(marked)] = CountedSubmission(marked.ahead_s, self.clock())
        return marked

    def withdraw(self, submission: Submission) -> None:
        """Take back the count of a submission that is not stored and will not be."""
        known = self.counted.pop(name_of(submission), None)
        if known is not None:
            self.shares.withdraw(submission.workspace, known.ahead_s)

    def observe(self, offset: int, submission: Submission) -> None:
        """Count an acceptance that was read from the log, unless it was counted here or repeats an earlier one."""
        if self.counted.pop(name_of(submission), None) is not None:
            return
        job = self.state.jobs.get(submission.id)
        if job is not None and job.offset == offset:
            self.shares.count(submission.workspace, submission.ahead_s)

    def forget_old(self) -> None:
        """Forget counted submissions of which no acceptance was read."""
        expired_at = self.clock() - COUNTED_S
        for name, known in tuple(self.counted.items()):
            if known.counted_at > expired_at:
                break
            self.counted.pop(name)


def name_of(submission: Submission) -> str:
    """Return the id of a submission within its workspace; another workspace may use the same id."""
    return scoped_name(submission.id, submission.workspace)


def refusal_s(standing: Standing, backlog_s: float, spare_time_s: float) -> float:
    """Return after which time a refused submission may come back, in s; 0 if it is not refused.

    It is refused only if its workspace has exceeded its share and the limit, and the waiting work, which is served first,
    would make it worthless. It may come back once that work is done. Its workspace may be within the limit before, but
    what it sends meanwhile takes that place.

    Args:
        standing: how it relates to the weight of its workspace.
        backlog_s: how long the workers need for the work that waits, in s.
        spare_time_s: how long it may wait without being worthless, in s.
    """
    if not standing.may_be_refused:
        return 0
    return max(0, backlog_s - spare_time_s)


def retry_after_s(name: SubmissionId, pause_s: float) -> float:
    """Return when a refused caller should come back, in s: callers are spread over once more the pause."""
    spread = zlib.crc32(name.encode()) / HASH_RANGE
    return min(MAX_RETRY_S, max(MIN_RETRY_S, pause_s)) * (1 + spread)


def spare_s(submission: Submission) -> float:
    """Return how long a submission may wait until its caller gets nothing from it any more, in s.

    One that is due later, or runs until it is cancelled, may wait for any time.
    """
    if submission.first_due_ms or any(step.long_running for step in submission.steps):
        return math.inf
    estimates_s = [step.estimate_ms / MS_PER_S for step in submission.steps]
    longest_chain_s = max(chains_s(submission.steps, estimates_s), default=0)
    return WORTHLESS_FACTOR * objective_s(submission, longest_chain_s) - longest_chain_s
