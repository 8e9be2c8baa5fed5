"""Sets of steps, and the complete steps of a submission in its progress records."""

from hypothesis import given
from hypothesis import strategies as st

from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.records import Outcome, Progress, StepProgress
from marigoldlift.submissions.state import Job
from marigoldlift.submissions.step_set import StepSet

WIDTH, OCCURRENCES = 3, 7
keys = st.sets(st.tuples(st.integers(0, OCCURRENCES - 1), st.integers(0, WIDTH - 1)))
all_keys = {(occurrence, number) for occurrence in range(OCCURRENCES) for number in range(WIDTH)}


def step_set(members=()):
    """Return a set of steps."""
    found = StepSet(WIDTH, OCCURRENCES)
    for key in members:
        found.add(key)
    return found


@given(keys, keys)
def test_set_survives_its_encoding(first, second):
    """Guards against steps that a record loses or adds, so that they run twice or never."""
    merged = step_set(first)
    merged.merge(step_set(second).encode())
    assert {key for key in all_keys if key in merged} == first | second
    assert len(merged) == len(first | second)
    assert merged.is_full == (first | second == all_keys)
    for occurrence in range(OCCURRENCES):
        bits = sum(1 << number for number in range(WIDTH) if (occurrence, number) in merged)
        assert merged.of_occurrence(occurrence) == bits


def test_bits_beyond_the_last_step_are_ignored():
    """Guards against a submission that counts as complete because of a record that names more steps than it has."""
    found = step_set()
    found.merge(b'\xff' * 100)
    found.mask &= ~1
    assert len(found) == len(all_keys) - 1
    assert not found.is_full


def scheduled_job():
    """Return a submission of two steps of two tasks that run seven times."""
    steps = (Step(count=2), Step(count=2, after=(0,)))
    policy = Policy('queue', 'service', 1, 3, 2, 1000)
    submission = Submission(SubmissionId('job'), '', steps, policy, 'e0', occurrences=OCCURRENCES)
    return Job(submission, 0, 0)


def progress(tenure, *steps, complete=b''):
    """Return a progress record."""
    return Progress(SubmissionId('job'), tenure, Outcome.running, list(steps), complete)


def test_complete_steps_need_no_progress():
    """Guards against records, and memory of each entry, that grow with each occurrence that is done."""
    job = scheduled_job()
    job.merge(progress(1, StepProgress(0, 0, 1, [0]), StepProgress(1, 0, 1)))
    job.merge(progress(1, StepProgress(1, 0, 1), complete=b'\x01'))
    assert job.progress.keys() == {(1, 0)}
    assert (0, 0) in job.complete


def test_progress_of_a_complete_step_is_kept_while_a_record_has_it():
    """Guards against LIMIT: the room of a start that may be executed late is forgotten once its step is complete."""
    job = scheduled_job()
    placed = StepProgress(0, 0, 1, [0, 1], placed={1: 'w1'})
    job.merge(progress(1, placed, complete=b'\x01'))
    assert job.progress[0, 0].placed == {1: 'w1'}


def test_older_record_does_not_undo_a_complete_step():
    """Guards against TWICE: the record of an earlier leader arrives last, and lacks the newest ends."""
    job = scheduled_job()
    job.merge(progress(2, complete=b'\x01'))
    job.merge(progress(1, StepProgress(0, 0, 1, [0])))
    assert (0, 0) in job.complete
