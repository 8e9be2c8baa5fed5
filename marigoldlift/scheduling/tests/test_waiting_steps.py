"""Which steps of a submission are opened, and when."""

import pytest

from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.step_queue import MAX_WAITING
from marigoldlift.scheduling.waiting_steps import RECHECK_MS, WaitingSteps
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.records import Outcome, Progress, StepProgress
from marigoldlift.submissions.state import Job
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics

START_MS = 1_700_000_000_000
MS_PER_S = 1000
STEP = Step(count=1, estimate_ms=1000)


class Clocks:
    """Monotonic clock and wall clock, which the test advances together, or sets the wall clock alone."""

    def __init__(self):
        """Start at 0, and at the time at which submissions are due first."""
        self.now = 0
        self.wall_ahead_s = 0

    def __call__(self):
        """Return the time of the monotonic clock in s."""
        return self.now

    @property
    def wall_ms(self):
        """Return the Unix time in ms."""
        return START_MS + (self.now + self.wall_ahead_s) * MS_PER_S


@pytest.fixture
def clocks(monkeypatch):
    """Return the clocks of the test."""
    found = Clocks()
    monkeypatch.setattr('time.time', lambda: found.wall_ms / MS_PER_S)
    return found


def new_job(steps, occurrences=1, interval_s=0, records=()):
    """Return a submission that was accepted at time 0, and is due then; its objective is 3 s."""
    policy = Policy('queue', 'service', 1, 3, 2, 1000)
    submission = Submission(
        SubmissionId('job'),
        '',
        tuple(steps),
        policy,
        'e0',
        occurrences=occurrences,
        first_due_ms=START_MS,
        interval_ms=interval_s * MS_PER_S,
    )
    job = Job(submission, 0, 0)
    for record in records:
        job.merge(record)
    return JobRun(job)


def keys(steps):
    """Return the keys of steps."""
    return [step.key for step in steps]


def finish(waiting, step):
    """Let all tasks of a step be done."""
    for index in range(step.step.count):
        step.finish(index)
    step.job.complete_step(step)
    step.job.forget_complete(step)
    waiting.open_due(step.job)


def test_steps_are_opened_as_those_before_are_done(clocks):
    """Guards against a step that is opened before its turn, or never."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP, STEP, Step(count=1, after=(0, 1)), Step(count=1, after=(0,))])
    waiting.open_due(job)
    assert keys(job.steps.values()) == [(0, 0), (0, 1)]
    finish(waiting, job.steps[0, 0])
    assert keys(job.steps.values()) == [(0, 1), (0, 3)]
    finish(waiting, job.steps[0, 1])
    assert keys(job.steps.values()) == [(0, 3), (0, 2)]
    finish(waiting, job.steps[0, 2])
    finish(waiting, job.steps[0, 3])
    assert job.is_done
    assert not job.steps


def test_others_are_opened_in_place_of_those_that_were_placed(clocks):
    """Guards against occurrences that wait for ever behind those that are open."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP], occurrences=MAX_WAITING * 2)
    waiting.open_due(job)
    assert len(waiting) == MAX_WAITING
    for step in list(waiting)[:10]:
        step.begin(0, object(), 1)
    waiting.drop_finished()
    assert len(waiting) == MAX_WAITING
    assert len(job.running) == 10
    assert len(job.steps) == MAX_WAITING + 10


def test_occurrence_is_opened_when_it_is_due(clocks):
    """Guards against LOST: nobody looks for the next occurrence once its time has come."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP], occurrences=3, interval_s=10)
    waiting.open_due(job)
    for now, expected in ((9.9, 1), (10, 2), (19.9, 2), (25, 3)):
        clocks.now = now
        waiting.open_occurrences(clocks.wall_ms)
        assert len(waiting) == expected


def test_step_that_is_not_stuck_does_not_wait_for_one_that_is(clocks):
    """Guards against LOST: occurrences of one step that cannot run keep those of another from being opened."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP, STEP], occurrences=1000, interval_s=1)
    waiting.open_due(job)
    for now in range(1, 100):
        clocks.now = now
        waiting.open_occurrences(clocks.wall_ms)
        for step in list(waiting):
            if step.number == 1:
                step.begin(0, object(), 1)
        waiting.drop_finished()
    assert sum(step.number for step in job.running) == 100


def test_occurrences_in_time_come_before_those_that_earn_nothing(clocks):
    """Guards against occurrences that all become late behind old ones that wait for room."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP], occurrences=MAX_WAITING * 3, interval_s=1)
    clocks.now = MAX_WAITING + 1
    waiting.open_due(job)
    clocks.now += RECHECK_MS / MS_PER_S
    waiting.open_occurrences(clocks.wall_ms)
    newest = max(step.occurrence for step in waiting)
    assert newest == clocks.now
    assert len(waiting) <= MAX_WAITING


def test_wall_clock_that_is_set_back_does_not_delay_the_second_look(clocks):
    """Guards against occurrences that become late behind old ones until the wall clock has caught up."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP], occurrences=MAX_WAITING * 3, interval_s=1)
    clocks.now = MAX_WAITING + 40
    waiting.open_due(job)
    clocks.wall_ahead_s = -20
    clocks.now += RECHECK_MS / MS_PER_S
    waiting.open_occurrences(clocks.wall_ms)
    assert max(step.occurrence for step in waiting) == clocks.now + clocks.wall_ahead_s


def test_late_occurrences_are_not_dropped(clocks):
    """Guards against occurrences that were put back for others and never opened again."""
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    count = MAX_WAITING * 2
    job = new_job([STEP], occurrences=count, interval_s=1)
    for now in range(count):
        clocks.now = now
        waiting.open_occurrences(clocks.wall_ms)
        waiting.open_due(job)
    opened = set()
    while waiting:
        opened.update(step.occurrence for step in waiting)
        for step in list(waiting):
            step.begin(0, object(), 1)
        waiting.drop_finished()
    assert opened == set(range(count))


def test_takeover_opens_what_has_begun_and_what_comes_next(clocks):
    """Guards against steps that a new leader leaves out, or opens again although they are complete."""
    steps = [STEP, Step(count=2, after=(0,))]
    stored = Progress(
        SubmissionId('job'),
        1,
        Outcome.running,
        [StepProgress(2, 0, 1, placed={0: 'w1'})],
        complete=b'\x07',
    )
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job(steps, occurrences=4, records=[stored])
    assert keys(job.steps.values()) == [(2, 0)]
    waiting.open_due(job)
    assert set(job.steps) == {(2, 0), (3, 0), (1, 1)}


def test_record_of_an_earlier_leader_does_not_open_a_complete_step(clocks):
    """Guards against TWICE: a task that is done starts again, since an older record arrived last."""
    complete = Progress(SubmissionId('job'), 2, Outcome.running, complete=b'\x01')
    older = Progress(SubmissionId('job'), 1, Outcome.running, [StepProgress(0, 0, 1)])
    waiting = WaitingSteps(clocks, FaultBoundary(clocks, Metrics()))
    job = new_job([STEP, STEP], records=[complete, older])
    waiting.open_due(job)
    assert keys(waiting) == [(0, 1)]
