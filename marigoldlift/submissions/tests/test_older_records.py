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
