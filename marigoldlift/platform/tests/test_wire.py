"""Decoding of the platform's messages, including rows and registry entries of other writers."""

import msgspec
import pytest
from hypothesis import given, settings, strategies

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    MalformedMessageError,
    SequenceMismatchError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.orders.api import EndKind
from marigoldlift.platform.calls import Reply
from marigoldlift.platform.configuration import ConfigurationReader
from marigoldlift.platform.store import decode_stored, encode_stored, parse_append
from marigoldlift.platform.wire import PollReply
from marigoldlift.platform.workers import check_order, decode_worker, parse_poll
from marigoldlift.submissions.record_codec import StoredRecord

JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)


def test_records_survive_the_wire():
    """Guards against offsets and keys that are decoded from the wrong position."""
    body = b''.join(encode_stored(key, content) for key, content in (('a', b'1'), ('b', b'')))
    records = list(decode_stored(bytes(16) + body, 7))
    assert records == [StoredRecord(7, 'a', b'1'), StoredRecord(8, 'b', b'')]


@given(strategies.binary(max_size=60))
@settings(max_examples=200, derandomize=True)
def test_truncated_records_are_left_out(trailing):
    """Guards against a decoder that fails on an incomplete answer."""
    whole = encode_stored('key', b'content')
    records = list(decode_stored(bytes(16) + whole + trailing, 0))
    assert records[0] == StoredRecord(0, 'key', b'content')


@pytest.mark.parametrize(
    ('reply', 'error'),
    [
        (Reply(503, b''), AppendRefusedError),
        (Reply(429, b''), AppendRefusedError),
        (Reply(507, b''), AppendRefusedError),
        (Reply(409, b'{"reason":"fenced"}'), SequenceMismatchError),
        (Reply(500, b''), AppendOutcomeUnknownError),
        (Reply(200, b'half'), AppendOutcomeUnknownError),
    ],
)
def test_append_answers(reply, error):
    """Guards against reporting a refusal as an unknown outcome, and an unknown outcome as a refusal."""
    with pytest.raises(error):
        parse_append(reply)


@pytest.mark.parametrize(
    ('reply', 'code'),
    [
        (Reply(409, b'{"clock_ms":1,"reason":"fence"}'), 'fence'),
        (Reply(429, b''), 'unhealthy'),
        (Reply(503, b''), 'unhealthy'),
        (Reply(421, b''), 'instance'),
        (Reply(400, b''), 'invalid'),
    ],
)
def test_refusals_of_workers(reply, code):
    """Guards against treating a refused order as done or as one with an unknown outcome."""
    with pytest.raises(WorkerRefusedError) as caught:
        check_order(reply)
    assert caught.value.worker_code == code


def test_server_error_of_a_worker_is_an_unknown_outcome():
    """Guards against a second start after a server error that may have come after the first start took effect."""
    with pytest.raises(WorkerUnavailableError) as caught:
        check_order(Reply(500, b''))
    assert caught.value.may_have_run


def test_rows_of_another_form_are_skipped():
    """Guards against one malformed row that hides all others."""
    status = parse_poll(
        PollReply(
            clock_ms=1,
            running=[['odd'], ['0123456789abcdef.0.0.1', 1, '', 41, 7], [None, 1, '', 3]],
            finished=[[1, '0123456789abcdef.0.0.2', 1, 'done', ''], [2, 'x', 1, 'unknown', '']],
        )
    )
    assert [held.task.index for held in status.running] == [1]
    assert [ended.kind for ended in status.ended] == [EndKind.done]


@given(JSON_VALUES)
@settings(max_examples=200, derandomize=True)
def test_entries_of_other_writers_name_no_worker(json_value):
    """Guards against a decoder that fails on a registry entry of another writer."""
    content = msgspec.json.encode(json_value)
    with pytest.raises(MalformedMessageError):
        decode_worker('key', content)


def test_worker_entry():
    """Guards against capacity and state that are decoded wrongly."""
    content = (
        b'{"service":"s","addr":"10.0.0.1:80","zone":"a","state":"draining","remaining_ms":900,'
        b'"capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1"],"born":5,"seq":9,"new":1}'
    )
    worker = decode_worker('i-1', content)
    assert worker is not None
    assert (worker.ready, worker.cpu_m, worker.born_ms, worker.leaving_ms) == (
        False,
        16000,
        5,
        900,
    )


def test_configuration_version_never_decreases():
    """Guards against going back to an older version that is read again after log history was lost."""
    seen = []
    reader = ConfigurationReader(lambda configuration: seen.append(configuration.version))
    for version in (3, 7, 5, 7):
        content = b'{"version":%d,"routes":[]}' % version
        reader.apply(StoredRecord(0, 'config', content))
    reader.apply(StoredRecord(0, 'config', b'rubbish'))
    assert seen == [3, 7]
