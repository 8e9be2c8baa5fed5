"""Checks the answers that all entries give to queries for acknowledged submissions."""

import asyncio
from collections.abc import Sequence

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.submissions.state import FINAL_OUTCOMES
from tests.cell.model import ModelCell, ModelEntry

__all__ = ('AnswerChecker',)

#: Age of an acknowledgement from which each entry has to return the submission, in s.
VISIBLE_S = 3.0

QUERY_INTERVAL_S = 0.3
CALLER_TIMEOUT_S = 1.0


class AnswerChecker:
    """Queries each running entry for each acknowledged submission at a fixed interval.

    Attributes:
        acknowledged: loop time of the acknowledgement by submission, in s.
        cancelled: submissions that a caller has asked to cancel.
        final: first final outcome that an entry returned and the loop time of that answer in s, by submission.
        forgotten: submissions for which an entry answered "gone"; before the end of the promised period that is a
            violation.
        violations: wrong answers, one line each.
        unanswered: number of queries that failed because the log was unavailable.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Start the queries."""
        self.cell = cell
        self.acknowledged: dict[str, float] = {}
        self.cancelled: set[str] = set()
        self.final: dict[str, tuple[Outcome, float]] = {}
        self.forgotten: set[str] = set()
        self.violations: list[str] = []
        self.unanswered = 0
        self.querying = cell.loop.create_task(self.run())

    async def submit(
        self, entry: ModelEntry, name: str, steps: Sequence[Step], **policy_fields: int
    ) -> None:
        """Submit steps at an entry and record the time of the acknowledgement."""
        answer = await self.cell.submit(entry, name, steps, **policy_fields)
        if answer is AcceptanceResult.done:
            self.acknowledged.setdefault(name, self.cell.loop.time())

    async def cancel(self, entry: ModelEntry, name: str) -> None:
        """Cancel a submission."""
        self.cancelled.add(name)
        answer = await entry.node.acceptance.cancel(SubmissionId(name), CALLER_TIMEOUT_S)
        if answer is AcceptanceResult.gone and self.must_be_visible(name):
            self.record_violation(entry, name, 'gone when cancelled')

    async def run(self) -> None:
        """Query all running entries until cancelled."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            for entry in self.cell.entries:
                if not entry.gate.stopped:
                    entry.gate.spawn(self.query_all(entry))

    async def query_all(self, entry: ModelEntry) -> None:
        """Query one entry for all submissions that it has to return by now."""
        names = [name for name in self.acknowledged if self.must_be_visible(name)]
        await asyncio.gather(*(self.query(entry, name) for name in names))

    def must_be_visible(self, name: str) -> bool:
        """Return whether each entry has to return a submission by now."""
        return self.cell.loop.time() - self.acknowledged[name] > VISIBLE_S

    async def query(self, entry: ModelEntry, name: str) -> Outcome | None:
        """Query one entry for one submission and check the answer."""
        queried_at = self.cell.loop.time()
        try:
            reported = await entry.node.acceptance.outcome(SubmissionId(name), CALLER_TIMEOUT_S)
        except LogUnavailableError:
            self.unanswered += 1
            return None
        if reported is None:
            self.check_gone(entry, name)
        else:
            self.check_answer(entry, name, reported, queried_at)
        return reported

    def check_gone(self, entry: ModelEntry, name: str) -> None:
        """Check that "gone" is allowed: the final outcome was returned for the promised period."""
        final = self.final.get(name)
        kept_s = self.cell.limits.outcome_kept_s
        if final is None or self.cell.loop.time() - final[1] < kept_s:
            self.record_violation(entry, name, f'gone, was {final}')
        self.forgotten.add(name)

    def check_answer(
        self, entry: ModelEntry, name: str, reported: Outcome, queried_at: float
    ) -> None:
        """Check one outcome against earlier answers, failed attempts and cancellations."""
        if reported is Outcome.failed and not self.has_failed(name):
            self.record_violation(entry, name, 'failed with attempts left')
        if reported is Outcome.cancelled and name not in self.cancelled:
            self.record_violation(entry, name, 'cancelled by nobody')
        if reported not in FINAL_OUTCOMES:
            self.check_open(entry, name, reported, queried_at)
            return
        first, _ = self.final.setdefault(name, (reported, self.cell.loop.time()))
        if first is not reported:
            self.record_violation(entry, name, f'{reported.value} after {first.value}')

    def check_open(
        self, entry: ModelEntry, name: str, reported: Outcome, queried_at: float
    ) -> None:
        """Check that no final outcome was returned earlier, unless the entry has not reached the log lately."""
        final = self.final.get(name)
        replica = entry.node.replica
        reads_log = (
            replica.ready.is_set()
            and queried_at - replica.contact.last_response_at < VISIBLE_S / 2
        )
        if reads_log and final and queried_at - final[1] > VISIBLE_S:
            self.record_violation(entry, name, f'{reported.value} after {final}')

    def has_failed(self, name: str) -> bool:
        """Return whether a task of a submission has used up its attempts with failed runs."""
        limit = self.cell.checker.submissions[name].policy.max_attempts
        ends = self.cell.checker.ended_failed
        return any(count >= limit for task, count in ends.items() if task.submission == name)

    def record_violation(self, entry: ModelEntry, name: str, what: str) -> None:
        """Record a wrong answer."""
        now = self.cell.loop.time()
        self.violations.append(f'{now:.3f} {entry.name} {name}: {what}')

    async def check_at_end(self) -> None:
        """Query each entry for each acknowledged submission and check that all have ended.

        Raises:
            AssertionError: an entry has given a wrong answer, now or earlier.
        """
        self.querying.cancel()
        for entry in self.cell.entries:
            for name in self.acknowledged:
                reported = await self.query(entry, name)
                if reported not in FINAL_OUTCOMES and name not in self.forgotten:
                    self.record_violation(entry, name, f'{reported} at the end')
        assert not self.violations, self.violations[:5]
