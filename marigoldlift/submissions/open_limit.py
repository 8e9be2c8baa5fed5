"""Limits of the steps and tasks that all open submissions together may have waiting at once.

Each waiting step is visited in each scheduling pass, and each waiting task takes memory of the leader. What would exceed a
limit is refused before it is stored.
"""

from collections.abc import Callable

from marigoldlift.scheduling.step_queue import WaitingSize, largest_waiting
from marigoldlift.submissions.model import Submission
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState

__all__ = ('MAX_OPEN_STEPS', 'MAX_OPEN_TASKS', 'OpenLimit')

#: Largest number of steps that open submissions may have waiting at once.
MAX_OPEN_STEPS = 50_000

#: Largest number of tasks that they may have waiting at once.
MAX_OPEN_TASKS = 500_000

#: Time for which a count of the open submissions is used, in s.
COUNTED_S = 0.25


class OpenLimit:
    """Tells whether a further submission may be accepted.

    Attributes:
        counted: what the open submissions may have waiting, with what was admitted since it was counted.
        counted_at: when it was counted, in seconds of the monotonic clock; None before.
    """

    def __init__(self, state: CellState, clock: Callable[[], float]) -> None:
        """Start without a count.

        Args:
            state: submissions that this entry has read from the log.
            clock: monotonic time in seconds.
        """
        self.state = state
        self.clock = clock
        self.counted = WaitingSize()
        self.counted_at: float | None = None

    def admit(self, submission: Submission) -> bool:
        """Return whether a submission may be accepted, and count it if so."""
        now = self.clock()
        if self.counted_at is None or now - self.counted_at > COUNTED_S:
            self.counted = self.count_open()
            self.counted_at = now
        total = self.counted.plus(largest_waiting(submission))
        if total.steps > MAX_OPEN_STEPS or total.tasks > MAX_OPEN_TASKS:
            return False
        self.counted = total
        return True

    def count_open(self) -> WaitingSize:
        """Return what the submissions that have not ended may have waiting at once."""
        sizes = [
            job.largest_waiting
            for job in self.state.jobs.values()
            if job.outcome not in FINAL_OUTCOMES and not job.cancellations
        ]
        return WaitingSize(sum(size.steps for size in sizes), sum(size.tasks for size in sizes))
