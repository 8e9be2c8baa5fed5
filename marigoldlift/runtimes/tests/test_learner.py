"""What is learned of run times and speeds, under load that is wrong, uneven, hostile or changing."""

import random

import pytest

from marigoldlift.orders.api import EndKind
from marigoldlift.orders.runs import MeasuredSpan, Phase, Run
from marigoldlift.runtimes.api import Factors, WorkKey
from marigoldlift.runtimes.learner import MAX_KEYS, RunTimes
from marigoldlift.runtimes.quantiles import AS_ESTIMATED
from marigoldlift.runtimes.samples import Measurement, RunSample, measure
from marigoldlift.runtimes.tests.conftest import KEY
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId, TaskRef
from marigoldlift.submissions.record_codec import decode_record, encode_record
from marigoldlift.submissions.state import Job
from marigoldlift.submissions.run_time_records import (
    KeptDistribution,
    KeptLevel,
    RunTimesSummary,
)

HOSTILE = WorkKey('hostile', 0)
WALL_MS = 1_700_000_000_000

#: Largest error of a learned speed, well below half a class of speed.
MARGIN = 0.15

#: Slowness of the sixteen workers while those of the last failure domain are half as fast.
UNEVEN = (*(1 for _ in range(12)), 2, 2, 2, 2)


def test_little_learned_is_the_estimate(site):
    """Guards against decisions that are worse than the estimate alone while nothing, or one odd run, is known."""
    assert not site.times.speed_class(site.workers[0])
    assert site.times.factors(KEY) == Factors()
    site.end_runs(1, 30)
    assert site.median() == 1


@pytest.mark.parametrize('factor', [0.1, 10])
def test_wrong_estimate_is_corrected(site, factor):
    """Guards against an estimate that is wrong by a factor of 10 and is believed for long."""
    site.end_runs(16, factor)
    assert site.median() == pytest.approx(factor, rel=0.1)
    other = WorkKey(KEY.queue, 1)
    assert site.median(other) == pytest.approx(factor, rel=0.1), 'a new step follows its queue'
    assert site.median(WorkKey('other', 0)) == 1


def test_waiting_submission_follows_what_is_learned(site):
    """Guards against learned times that never reach the submissions that wait."""
    policy = Policy(KEY.queue, 'service', 1, 3, 2.0, 1000)
    step = Step(count=1, estimate_ms=1000)
    job = JobRun(Job(Submission(SubmissionId('job'), '', (step,), policy, 'e0'), 0, 0))
    job.refresh_times(site.times)
    assert job.objective_s == pytest.approx(3)
    site.end_runs(64, 4)
    job.refresh_times(site.times)
    assert job.objective_s == pytest.approx(9, rel=0.1)
    assert job.least_remaining_s(job.open_step((0, 0))) == pytest.approx(4, rel=0.1)


def test_tail_is_kept(site):
    """Guards against a point where a distribution with a heavy tail is needed."""
    rng = random.Random(1)
    drawn = [rng.paretovariate(1.5) for _ in range(600)]
    site.end_runs(600, drawn.__getitem__)
    ratios = site.times.ratios(KEY)
    assert ratios.quantile(0.5) == pytest.approx(2 ** (1 / 1.5), rel=0.25)
    assert ratios.quantile(0.95) == pytest.approx(20 ** (1 / 1.5), rel=0.5)


def test_stopped_runs_count_as_lower_bounds(site):
    """Guards against a tail that is lost because the runs in it were stopped before they were done."""
    for number in range(200):
        worker = site.workers[number // 4 % 16]
        if number % 2:
            site.end_run(2, worker, measurement=Measurement.lower_bound)
        else:
            site.end_run(1 if number % 4 else 8, worker)
    site.pause(1)
    assert site.times.ratios(KEY).quantile(0.7) == pytest.approx(8, rel=0.1)


@pytest.mark.parametrize(
    ('kind', 'measured', 'seen_at', 'expected'),
    [
        (EndKind.done, MeasuredSpan(10), 13.5, RunSample(Measurement.whole, 4)),
        (EndKind.done, MeasuredSpan(12, 0.5), 13.5, RunSample(Measurement.whole, 4)),
        (EndKind.done, MeasuredSpan(10), 12, RunSample(Measurement.lower_bound, 2)),
        (EndKind.done, MeasuredSpan(13, 0.9), 13.5, None),
        (EndKind.done, None, 13.5, None),
        (EndKind.failed, MeasuredSpan(10), 13.5, RunSample(Measurement.lower_bound, 4)),
        (EndKind.stopped, MeasuredSpan(10), 13.5, RunSample(Measurement.lower_bound, 4)),
        (EndKind.stopped, MeasuredSpan(12, 0.5), 13.5, None),
        (EndKind.broken, MeasuredSpan(10), 13.5, None),
        (EndKind.alone, MeasuredSpan(10), 13.5, None),
        (EndKind.lapsed, MeasuredSpan(10), 13.5, None),
    ],
)
def test_what_an_end_tells(kind, measured, seen_at, expected):
    """Guards against waiting gang members, resumed runs and late lists of ends that are taken for whole runs."""
    run = Run(TaskRef('job', 0, 0, 0), 1, Step(count=1), Phase.held, seen_at)
    run.measured = measured
    began_at = measured.since if measured else 0
    assert measure(kind, run, began_at, 14) == expected


def test_slow_failure_domain_is_found_and_does_not_distort_the_work(site):
    """Guards against a slow zone that is not noticed, or that makes all work look slower than it is."""
    site.slow['west'] = 2
    site.end_runs(320)
    slowness = [site.times.slowness(worker) for worker in site.workers]
    assert slowness == pytest.approx(UNEVEN, rel=MARGIN)
    assert site.median() == pytest.approx(1, rel=0.1)


def test_worker_that_turns_slow_is_found_and_recovers(site):
    """Guards against a worker that is trusted while it is slow, or shunned for good once it has healed."""
    bad = site.workers[5]
    site.end_runs(160)
    site.slow[bad.id] = 4
    site.end_runs(160)
    assert site.times.speed_class(bad) > 1
    assert site.times.slowness(site.workers[4]) == pytest.approx(1, rel=0.2)
    site.pause(60)
    assert not site.times.speed_class(bad), 'without runs it is tried again'
    site.slow.clear()
    site.end_runs(160)
    assert site.times.slowness(bad) == pytest.approx(1, rel=0.1)


def test_hostile_queue_harms_only_itself(site):
    """Guards against a queue whose run times jump and so distorts the speeds of workers or the times of others."""
    rng = random.Random(2)
    for number in range(800):
        worker = site.workers[number % 16]
        site.end_run(rng.choice((0.02, 50)), worker, HOSTILE)
        site.end_run(1, site.workers[(number * 7) % 16])
    site.pause(1)
    assert site.median() == 1
    assert not any(map(site.times.speed_class, site.workers))


@pytest.mark.parametrize('estimate_s', [1e-320, 1e300, float('inf')])
def test_odd_estimate_raises_nothing(site, estimate_s):
    """Guards against an estimate whose ratio is no number, so that the end of its run is never handled."""
    for _ in range(40):
        site.times.note(KEY, estimate_s, site.workers[0], RunSample(Measurement.whole, 1))
    site.pause(1)
    assert 0 < site.median() < 100


def test_shift_of_the_work_is_followed(site):
    """Guards against years of old runs that outweigh what the work takes now."""
    site.end_runs(2000)
    site.end_runs(160, 3)
    assert site.median() == pytest.approx(3, rel=0.1)


def test_new_leader_starts_with_the_summary(site):
    """Guards against a new leader that knows nothing, or takes a stale or malformed summary."""
    site.slow['west'] = 2
    site.end_runs(320, 5)
    summary = site.times.summary(WALL_MS)
    successor = RunTimes(site.times.clock)
    assert successor.restore(summary, WALL_MS + 5000)
    assert successor.ratios(KEY).quantile(0.5) == pytest.approx(5, rel=0.1)
    assert successor.slowness(site.workers[15]) == pytest.approx(2, rel=0.25)
    assert not RunTimes(site.times.clock).restore(summary, WALL_MS + 3_600_000)


@pytest.mark.parametrize('number', [-1, 0, 1 << 62])
def test_malformed_summary_changes_nothing(site, number):
    """Guards against a record with odd numbers that makes each new leader fail, or misjudge work and workers."""
    pairs = [(48, number), (-3, 1), (10_000, 1)]
    levels = [KeptLevel('north', 300, number), KeptLevel('east', number, 5)]
    kept = KeptDistribution(KEY.queue, KEY.step, pairs, pairs)
    summary = RunTimesSummary(WALL_MS, [kept], levels, levels, levels)
    site.times.restore(decode_record(encode_record(summary)), WALL_MS)
    site.times.restore(RunTimesSummary(number), WALL_MS)
    assert site.median() == 1
    assert not any(map(site.times.speed_class, site.workers))


def test_memory_is_bounded(site):
    """Guards against queues that come and go and fill the memory of an entry."""
    for number in range(MAX_KEYS):
        site.end_run(2, site.workers[0], WorkKey(f'queue{number}', 0))
    assert len(site.times.histograms) == MAX_KEYS
    assert site.times.ratios(WorkKey('queue0', 0)) is AS_ESTIMATED


def test_old_outlier_of_a_busy_queue_fades(site):
    """Guards against a division by zero, over which no end of a queue is handled, once a high outlier has almost faded."""
    site.end_runs(1, 40)
    for _ in range(50):
        site.end_runs(200, 1)
    assert site.median() == pytest.approx(1, rel=0.1)
