"""Submissions with many occurrences, and the cost of the leader's rounds."""

import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from tests.cell.model import ModelCell, ModelEntry, policy

__all__ = ('calls_in_round', 'count_calls', 'submit_scheduled')

MS_PER_S = 1000
WEEK_S = 7 * 24 * 3600


async def submit_scheduled(
    entry: ModelEntry,
    name: str,
    steps: Sequence[Step],
    occurrences: int,
    interval_s: float = 60,
    first_due_in_s: float = -WEEK_S,
    **policy_fields: Any,
) -> AcceptanceResult:
    """Submit steps that run several times; by default all occurrences are due."""
    submission = Submission(
        SubmissionId(name),
        'content',
        tuple(steps),
        policy(**policy_fields),
        entry.name,
        occurrences=occurrences,
        first_due_ms=(time.time() + first_due_in_s) * MS_PER_S,
        interval_ms=interval_s * MS_PER_S,
    )
    entry.cell.checker.submissions[name] = submission
    return await entry.node.acceptance.submit(submission, 3.0)


def calls_in_round(cell: ModelCell) -> int:
    """Return the number of function calls that a round of the leader makes, with its periodic checks."""
    dispatcher = cell.leader().node.dispatcher
    dispatcher.checked_at = -1
    return count_calls(dispatcher.run_once)


def count_calls(function: Callable[[], None]) -> int:
    """Return the number of calls that a function makes."""
    events: Counter[str] = Counter()

    def count(_, event: str, argument: object) -> None:
        events[event] += 1

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return events['call']
