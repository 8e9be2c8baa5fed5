"""What callers are told of acknowledged submissions, at every entry and at any time."""

import asyncio
from collections.abc import Sequence

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.acceptance import RequestResult
from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.submissions.state import FINAL_OUTCOMES
from tests.cell.model import ModelCell, ModelEntry

__all__ = ('AnswerChecker',)

#: Age of an acknowledgement from which each entry has to know the submission, in s.
VISIBLE_S = 3.0

ASK_INTERVAL_S = 0.3
CALLER_TIMEOUT_S = 1.0


class AnswerChecker:
    """Asks each running entry for each acknowledged submission, over and over.

    Attributes:
        acknowledged: when a submission was acknowledged.
        cancelled: submissions that a caller has asked to cancel.
        final: first final state that was told of a submission, and when.
        forgotten: submissions that were gone after the promised period.
        violations: answers that no entry may give, one line each.
        unanswered: questions that the entry could not answer.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Begin to ask."""
        self.cell = cell
        self.acknowledged: dict[str, float] = {}
        self.cancelled: set[str] = set()
        self.final: dict[str, tuple[Outcome, float]] = {}
        self.forgotten: set[str] = set()
        self.violations: list[str] = []
        self.unanswered = 0
        self.asking = cell.loop.create_task(self.run())

    async def submit(
        self, entry: ModelEntry, name: str, steps: Sequence[Step], **policy_fields: int
    ) -> None:
        """Hand a submission in, and note its acknowledgement."""
        answer = await self.cell.submit(entry, name, steps, **policy_fields)
        if answer is RequestResult.done:
            self.acknowledged.setdefault(name, self.cell.loop.time())

    async def cancel(self, entry: ModelEntry, name: str) -> None:
        """Cancel a submission."""
        self.cancelled.add(name)
        answer = await entry.node.acceptance.cancel(SubmissionId(name), CALLER_TIMEOUT_S)
        if answer is RequestResult.gone and self.is_due(name):
            self.record_violation(entry, name, 'gone when cancelled')

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            for entry in self.cell.entries:
                if not entry.gate.stopped:
                    entry.gate.spawn(self.ask_all(entry))

    async def ask_all(self, entry: ModelEntry) -> None:
        """Ask one entry for all submissions that it has to know."""
        due = [name for name in self.acknowledged if self.is_due(name)]
        await asyncio.gather(*(self.ask(entry, name) for name in due))

    def is_due(self, name: str) -> bool:
        """Tell whether each entry has to know a submission by now."""
        return self.cell.loop.time() - self.acknowledged[name] > VISIBLE_S

    async def ask(self, entry: ModelEntry, name: str) -> Outcome | None:
        """Ask one entry for one submission, and check the answer."""
        asked_at = self.cell.loop.time()
        try:
            told = await entry.node.acceptance.outcome(SubmissionId(name), CALLER_TIMEOUT_S)
        except LogUnavailableError:
            self.unanswered += 1
            return None
        if told is None:
            self.check_gone(entry, name)
        else:
            self.check_answer(entry, name, told, asked_at)
        return told

    def check_gone(self, entry: ModelEntry, name: str) -> None:
        """Check that a submission may be gone: its outcome was told for the promised period."""
        final = self.final.get(name)
        kept_s = self.cell.limits.outcome_kept_s
        if final is None or self.cell.loop.time() - final[1] < kept_s:
            self.record_violation(entry, name, f'gone, was {final}')
        self.forgotten.add(name)

    def check_answer(self, entry: ModelEntry, name: str, told: Outcome, asked_at: float) -> None:
        """Check one state against what was told and done before."""
        if told is Outcome.failed and not self.has_failed(name):
            self.record_violation(entry, name, 'failed with attempts left')
        if told is Outcome.cancelled and name not in self.cancelled:
            self.record_violation(entry, name, 'cancelled by nobody')
        if told not in FINAL_OUTCOMES:
            self.check_open(entry, name, told, asked_at)
            return
        first, _ = self.final.setdefault(name, (told, self.cell.loop.time()))
        if first is not told:
            self.record_violation(entry, name, f'{told.value} after {first.value}')

    def check_open(self, entry: ModelEntry, name: str, told: Outcome, asked_at: float) -> None:
        """Check that a submission that is told to be open was not told to have ended, unless the log is out of reach."""
        final = self.final.get(name)
        replica = entry.node.replica
        reads = replica.ready.is_set() and asked_at - replica.last_response_at < VISIBLE_S / 2
        if reads and final and asked_at - final[1] > VISIBLE_S:
            self.record_violation(entry, name, f'{told.value} after {final}')

    def has_failed(self, name: str) -> bool:
        """Tell whether a task has ended as failed as often as it may."""
        limit = self.cell.checker.submissions[name].policy.max_attempts
        ends = self.cell.checker.ended_failed
        return any(count >= limit for task, count in ends.items() if task.submission == name)

    def record_violation(self, entry: ModelEntry, name: str, what: str) -> None:
        """Keep a wrong answer."""
        now = self.cell.loop.time()
        self.violations.append(f'{now:.3f} {entry.name} {name}: {what}')

    async def check_at_end(self) -> None:
        """Check that each entry answers for each acknowledged submission, and that all have ended.

        Raises:
            AssertionError: an entry has answered wrongly, now or before.
        """
        self.asking.cancel()
        for entry in self.cell.entries:
            for name in self.acknowledged:
                told = await self.ask(entry, name)
                if told not in FINAL_OUTCOMES and name not in self.forgotten:
                    self.record_violation(entry, name, f'{told} at the end')
        assert not self.violations, self.violations[:5]
