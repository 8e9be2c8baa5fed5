"""Records of a submission that a snapshot lists before its acceptance, which a late copy has stored again."""

import pytest

from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.submissions.record_codec import StoredRecord, encode_record, record_key
from marigoldlift.submissions.records import Accepted, Cancelled, Dropped, Outcome, Progress
from marigoldlift.submissions.state import CellState
from tests.cell.model import policy

JOB = SubmissionId('job')
ACCEPTED = Accepted(Submission(JOB, 'content', (Step(count=1),), policy(), 'e0'))
CANCELLED = Cancelled(JOB)
COMPLETE = Progress(JOB, 1, Outcome.complete)


def state_after(records):
    """Return what an entry says of the job after applying records in order."""
    state = CellState(float)
    for offset, record in enumerate(records):
        state.apply(StoredRecord(offset, record_key(record), encode_record(record)))
    return state.state_of(JOB)


@pytest.mark.parametrize(
    ('records', 'expected'),
    [([CANCELLED, COMPLETE], Outcome.cancelled), ([COMPLETE, CANCELLED], Outcome.complete)],
)
def test_outcome_does_not_depend_on_a_late_copy_of_the_acceptance(records, expected):
    """Guards against entries that tell different outcomes, since only some have read the first copy of an acceptance."""
    assert state_after([ACCEPTED, *records, ACCEPTED]) is expected
    assert state_after([*records, ACCEPTED]) is expected


def test_dropped_cancellation_leaves_the_progress_that_was_read():
    """Guards against a task that runs twice: its progress was forgotten with a cancellation that was dropped."""
    records = [CANCELLED, COMPLETE, Dropped(record_key(CANCELLED)), ACCEPTED]
    assert state_after(records) is Outcome.complete


def test_dropped_acceptance_leaves_the_cancellation():
    """Guards against a cancelled submission that runs because a copy of its acceptance was dropped."""
    assert state_after([CANCELLED, Dropped(record_key(ACCEPTED)), ACCEPTED]) is Outcome.cancelled
