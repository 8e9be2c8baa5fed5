"""How long a run may make no progress before it is stopped."""

from weakref import WeakKeyDictionary

import msgspec

from marigoldlift.orders.runs import Order, Run
from marigoldlift.scheduling.tasks import StepRun

__all__ = ('STALL_S', 'Stalls')

#: Shortest time without progress after which a run is stopped, in s, and longest one of a task without an estimate.
STALL_S = 2.0
LONGEST_STALL_S = 64.0

#: Times that the estimated time of a percent may be exceeded: estimates are rough, workers slow, and data on another rack.
ESTIMATE_FACTOR = 4

MS_PER_S = 1000
PERCENTS = 100


class StalledTask(msgspec.Struct):
    """A task of which a run has stalled.

    Attributes:
        run: number of the newest run that has stalled.
        allowed_s: time without progress that its later runs are allowed, in s.
    """

    run: int
    allowed_s: float


class Stalls:
    """Bounds the time without progress of each task.

    Workers report whole percents, so that a long task shows no progress for seconds. Each stall doubles the time that the next
    run of the task is allowed, so that a task of any length ends, also without an estimate. The stalls of earlier leaders are not
    known; without an estimate a run of theirs that has made progress is allowed the longest time.

    Attributes:
        found: tasks of which a run has stalled, by index, for each step that is still open.
    """

    def __init__(self) -> None:
        """Start without stalls."""
        self.found: WeakKeyDictionary[StepRun, dict[int, StalledTask]] = WeakKeyDictionary()

    def allowed_s(self, step: StepRun, run: Run) -> float:
        """Return the time without progress after which a run has stalled, in s."""
        percent_s = run.step.estimate_ms / MS_PER_S / PERCENTS
        estimated_s = ESTIMATE_FACTOR * percent_s
        known = self.found.get(step, {}).get(run.task.index)
        if known is None and is_adopted_without_estimate(run):
            return LONGEST_STALL_S
        if known is None or known.run == run.run:
            return max(STALL_S, estimated_s)
        return max(known.allowed_s, estimated_s)

    def note(self, step: StepRun, run: Run) -> None:
        """Record that a run has stalled; it may be found so several times before it is stopped."""
        tasks = self.found.setdefault(step, {})
        known = tasks.get(run.task.index)
        if known is None:
            known = StalledTask(run.run, STALL_S * 2)
        elif known.run != run.run:
            known = StalledTask(run.run, min(known.allowed_s * 2, LONGEST_STALL_S))
        tasks[run.task.index] = known


def is_adopted_without_estimate(run: Run) -> bool:
    """Return whether an earlier leader has started a run, which has made progress and whose time is not known."""
    return run.ordered is Order.unsent and run.percent > 0 and not run.step.estimate_ms
