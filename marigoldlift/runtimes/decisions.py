"""Decisions that rest on run times: remaining time, choice of a worker, copies of stragglers and moves.

Each is a pure function of distributions and times.
"""

from collections.abc import Sequence

import msgspec

from marigoldlift.runtimes.api import ExpectedTimes, WorkKey
from marigoldlift.runtimes.quantiles import RatioDistribution
from marigoldlift.submissions.model import Submission

__all__ = (
    'JobTimes',
    'RunningTask',
    'expected_times',
    'is_copy_useful',
    'is_move_useful',
    'remaining_s',
    'speed_rank',
)

MS_PER_S = 1000

MEDIAN = 0.5

#: Rank above those of all workers on which a task that may wait is in time.
TOO_SLOW = 1000

#: How many times sooner a copy, or the rest of a moved run, has to be done than the run itself.
COPY_GAIN = 2
MOVE_GAIN = 1.5


class JobTimes(msgspec.Struct, frozen=True):
    """Expected times of the tasks of each step of a submission, in s; see `Factors`."""

    longest: Sequence[float]
    safe: Sequence[float]
    lucky: Sequence[float]


def expected_times(times: ExpectedTimes, submission: Submission) -> JobTimes:
    """Return the expected times of the steps of a submission."""
    estimates_s = [step.estimate_ms / MS_PER_S for step in submission.steps]
    factors = [
        times.factors(WorkKey(submission.policy.queue, number))
        for number, _ in enumerate(estimates_s)
    ]
    pairs = list(zip(estimates_s, factors, strict=True))
    return JobTimes(
        longest=[estimate_s * factor.longest for estimate_s, factor in pairs],
        safe=[estimate_s * factor.safe for estimate_s, factor in pairs],
        lucky=[estimate_s * factor.lucky for estimate_s, factor in pairs],
    )


def speed_rank(own_class: int, slowest: int | None) -> int:
    """Return the rank of a worker by its speed for a task; the lowest is preferred.

    Without a limit the faster worker comes first. A task that has time takes the slowest worker on which it is still in
    time. Answers the load of a full service with uneven workers, where tasks with much time would occupy the fast ones and
    leave the slow ones to those that have none.

    Args:
        own_class: class of speed of the worker.
        slowest: slowest class on which the task is in time if it shall leave faster workers free, else None.
    """
    if slowest is None:
        return own_class
    return -own_class if own_class <= slowest else TOO_SLOW + own_class


class RunningTask(msgspec.Struct, frozen=True):
    """A run as its worker reports it.

    Attributes:
        estimate_s: estimated time, in s.
        ratios: distribution of run time to estimate on a worker of the common speed.
        slowness: how many times as long its worker takes.
        elapsed_s: time since it began, in s.
        share_done: share of the work that is done, 0 if the worker does not report it.
    """

    estimate_s: float
    ratios: RatioDistribution
    slowness: float
    elapsed_s: float
    share_done: float


def remaining_s(run: RunningTask) -> float:
    """Return the expected time until a run is done, in s.

    That is the rest at the pace so far; for a run without reported progress the median of what runs take that have lasted
    as long already.
    """
    if run.share_done > 0:
        return run.elapsed_s * (1 - run.share_done) / run.share_done
    unit_s = run.estimate_s * run.slowness
    if unit_s <= 0:
        return 0
    ratio = run.elapsed_s / unit_s
    return max(0, run.ratios.quantile_beyond(MEDIAN, ratio) - ratio) * unit_s


def is_copy_useful(run: RunningTask, slowness: float, overhead_s: float) -> bool:
    """Return whether a second run elsewhere is expected to be done much sooner.

    A copy throws away the work of one of the two, so that it has to gain more than the inaccuracy of the expectation.

    Args:
        run: the run.
        slowness: how many times as long the other worker takes.
        overhead_s: time until the copy begins, in s.
    """
    fresh_s = run.estimate_s * run.ratios.quantile(MEDIAN) * slowness + overhead_s
    return remaining_s(run) > COPY_GAIN * fresh_s


def is_move_useful(
    run: RunningTask, saved_share: float, slowness: float, overhead_s: float
) -> bool:
    """Return whether a run is expected to be done sooner if it is stopped and resumed elsewhere from its saved state.

    Args:
        run: the run; without reported progress it is not moved.
        saved_share: share of the work that the saved state holds.
        slowness: how many times as long the other worker takes.
        overhead_s: time for the stop and the restoration, in s.
    """
    if run.share_done <= 0 or run.slowness <= 0:
        return False
    whole_s = run.elapsed_s / run.share_done
    resumed_s = whole_s * (1 - saved_share) * slowness / run.slowness + overhead_s
    return remaining_s(run) > MOVE_GAIN * resumed_s
