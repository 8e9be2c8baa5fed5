"""Decisions that rest on run times, without a network."""

import pytest

from marigoldlift.runtimes.api import WorkKey
from marigoldlift.runtimes.decisions import (
    RunningTask,
    expected_times,
    is_copy_useful,
    is_move_useful,
    remaining_s,
    speed_rank,
)
from marigoldlift.runtimes.quantiles import AS_ESTIMATED
from marigoldlift.runtimes.speeds import slowest_class
from marigoldlift.runtimes.tests.conftest import KEY
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId

#: Ratios of a heavy tail: one run in ten takes eight times as long.
HEAVY_TAIL = (*(1 for _ in range(9)), 8)


def running(ratios, elapsed_s, share_done=0, slowness=1):
    """Return a run with an estimate of 2 s."""
    return RunningTask(2, ratios, slowness, elapsed_s, share_done)


def ranked(slowest):
    """Return classes of speed in the order in which a task prefers them."""
    return sorted((-1, 0, 1, 2, 4), key=lambda own: speed_rank(own, slowest))


def test_wide_step_is_as_slow_as_its_slowest_task(site):
    """Guards against wide steps that count as short as a single task although one of many is in the tail."""
    for number in range(20):
        site.times.note_longest(WorkKey(KEY.queue, 0), 1)
        site.times.note_longest(WorkKey(KEY.queue, 1), max(HEAVY_TAIL))
    site.pause(1)
    steps = (Step(count=1, estimate_ms=2000), Step(count=30, estimate_ms=2000))
    policy = Policy(KEY.queue, 'service', 1, 3, 2.0, 1000)
    submission = Submission(SubmissionId('job'), '', steps, policy, 'e0')
    narrow_s, wide_s = expected_times(site.times, submission).longest
    assert narrow_s == pytest.approx(2, rel=0.1)
    assert wide_s == pytest.approx(16, rel=0.1)


def test_speed_follows_the_time_that_is_left():
    """Guards against urgent tasks on slow workers, and tasks with time that occupy fast ones or are late on slow ones."""
    assert ranked(slowest=None) == [-1, 0, 1, 2, 4]
    assert ranked(slowest=slowest_class(task_s=2, left_s=4.5)) == [2, 1, 0, -1, 4]
    assert ranked(slowest=slowest_class(task_s=2, left_s=1)) == [-1, 0, 1, 2, 4]
    assert slowest_class(task_s=2, left_s=-1) is None


def test_run_that_has_lasted_long_is_expected_to_last(site):
    """Guards against a straggler that is expected to be done at once since it has passed the median."""
    site.end_runs(400, lambda number: HEAVY_TAIL[number * 7 // 5 % 10])
    ratios = site.times.ratios(KEY)
    assert remaining_s(running(ratios, 0)) == pytest.approx(2, rel=0.1)
    assert remaining_s(running(ratios, 4)) == pytest.approx(12, rel=0.1)
    assert remaining_s(running(ratios, 4, share_done=0.8)) == pytest.approx(1)
    assert remaining_s(running(AS_ESTIMATED, 4)) == 0


def test_copy_has_to_gain_much(site):
    """Guards against copies of runs that are about to end, and stragglers without a copy."""
    site.end_runs(400, lambda number: HEAVY_TAIL[number * 7 // 5 % 10])
    ratios = site.times.ratios(KEY)
    assert is_copy_useful(running(ratios, 4), 1, 0.1)
    assert not is_copy_useful(running(ratios, 1), 1, 0.1)
    assert not is_copy_useful(running(ratios, 4), 4, 0.1), 'the other worker is slow'
    assert not is_copy_useful(running(AS_ESTIMATED, 4), 1, 0.1), 'nothing is known'


@pytest.mark.parametrize(
    ('elapsed_s', 'share_done', 'saved_share', 'slowness', 'expected'),
    [
        (4, 0.25, 0.25, 4, True),
        (4, 0.25, 0.25, 1, False),
        (4, 0.25, 0, 1.5, False),
        (4, 0.9, 0.9, 4, False),
        (4, 0, 0, 4, False),
    ],
)
def test_move_has_to_be_sooner(elapsed_s, share_done, saved_share, slowness, expected):
    """Guards against moves that lose more by the stop and the lost work than the faster worker gains."""
    run = running(AS_ESTIMATED, elapsed_s, share_done, slowness)
    assert is_move_useful(run, saved_share, 1, overhead_s=0.5) is expected
