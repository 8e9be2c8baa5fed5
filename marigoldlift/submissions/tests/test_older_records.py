"""Records that were stored before a field was added."""

import msgspec
import pytest

from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.record_codec import decode_record, encode_record
from marigoldlift.submissions.records import Accepted, Leadership

POLICY = Policy('queue', 'service', 1, 3, 2.0, 1000)


@pytest.mark.parametrize(
    'record',
    [
        Accepted(Submission(SubmissionId('job'), '', (Step(count=1),), POLICY, 'e0')),
        Leadership('node', 'life', 1.0, 'a', 'address'),
        DoneTasks(SubmissionId('job'), 7, [(0, 1, 2)]),
    ],
)
def test_record_without_its_last_field_decodes(record):
    """Guards against a cell that loses its submissions, or its leader, while entries of two versions run."""
    fields = msgspec.msgpack.decode(encode_record(record))
    last = fields[-1] if isinstance(record, Accepted) else fields
    last.pop()
    assert decode_record(msgspec.msgpack.encode(fields)) == record


def test_report_without_failures_and_part_decodes():
    """Guards against ends that are dropped because the entry that has stored them runs a version without both fields."""
    stored = msgspec.msgpack.encode(['e', 'job', 7, [[0, 1, 2]]])
    assert decode_record(stored) == DoneTasks(SubmissionId('job'), 7, [(0, 1, 2)])


def test_report_with_a_further_field_decodes():
    """Guards against the same for an entry that runs an older version than the one that has stored them."""
    report = DoneTasks(SubmissionId('job'), 7, [(0, 1, 2)])
    fields = msgspec.msgpack.decode(encode_record(report))
    assert decode_record(msgspec.msgpack.encode([*fields, 'further'])) == report
