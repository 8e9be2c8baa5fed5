"""Limit of the steps that all open submissions together may have waiting at once.

Each waiting step is visited in each scheduling pass and takes memory of the leader, and the submission takes memory of each
entry. What would exceed the limit is refused before it is stored.
"""

from collections.abc import Callable

from marigoldlift.scheduling.step_queue import most_waiting
from marigoldlift.submissions.model import Submission
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState

__all__ = ('MAX_OPEN_STEPS', 'OpenStepLimit')

#: Largest number of steps that open submissions may have waiting at once. A pass visits so many within the time between
#: two renewals of the leadership.
MAX_OPEN_STEPS = 50_000

#: Time for which a count of the open submissions is used, in s.
COUNTED_S = 0.25


class OpenStepLimit:
    """Tells whether a further submission may be accepted.

    Attributes:
        counted: steps that the open submissions may have waiting, with those admitted since they were counted.
        counted_at: when they were counted, in seconds of the monotonic clock; None before.
    """

    def __init__(self, state: CellState, clock: Callable[[], float]) -> None:
        """Start without a count.

        Args:
            state: submissions that this entry has read from the log.
            clock: monotonic time in seconds.
        """
        self.state = state
        self.clock = clock
        self.counted = 0
        self.counted_at: float | None = None

    def admit(self, submission: Submission) -> bool:
        """Return whether a submission may be accepted, and count it if so."""
        now = self.clock()
        if self.counted_at is None or now - self.counted_at > COUNTED_S:
            self.counted = self.count_open()
            self.counted_at = now
        waiting = most_waiting(submission)
        if self.counted + waiting > MAX_OPEN_STEPS:
            return False
        self.counted += waiting
        return True

    def count_open(self) -> int:
        """Return how many steps the submissions that have not ended may have waiting at once."""
        return sum(
            job.most_waiting
            for job in self.state.jobs.values()
            if job.outcome not in FINAL_OUTCOMES and not job.cancellations
        )
