"""Seeded fuzz of everything that decodes bytes of other processes: each either decodes them or raises its own error."""

import contextlib

import msgspec
import pytest
from aiohttp import test_utils, web
from hypothesis import given, settings, strategies

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import (
    InvalidInputError,
    MalformedMessageError,
    PlatformError,
)
from marigoldlift.platform.addresses import is_socket_address
from marigoldlift.platform.advice import reply_decoder
from marigoldlift.platform.calls import CallUnansweredError, HttpClient, Reply
from marigoldlift.platform.configuration import ConfigurationReader, configuration_decoder
from marigoldlift.platform.servers import parse_response_time
from marigoldlift.platform.store import append_decoder, decode_stored, newest_decoder, parse_append
from marigoldlift.platform.submission_parsing import parse_submission, submission_decoder
from marigoldlift.platform.tests.test_front import NAME, QUEUE
from marigoldlift.platform.workers import (
    check_order,
    decode_order,
    decode_worker,
    order_decoder,
    parse_poll,
    poll_decoder,
)
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.record_codec import StoredRecord, decode_record
from marigoldlift.submissions.records import Cancelled

DEEP = 50_000

DECODERS = {
    'order': order_decoder.decode,
    'poll': lambda body: parse_poll(poll_decoder.decode(body)),
    'worker': lambda body: decode_worker('i-1', body),
    'advice': reply_decoder.decode,
    'append': append_decoder.decode,
    'newest': newest_decoder.decode,
    'configuration': configuration_decoder.decode,
    'submission': lambda body: parse_submission(
        submission_decoder.decode(body), QUEUE, SubmissionId(NAME), ''
    ),
    'record': decode_record,
}

VALID = {
    'order': {'clock_ms': 1, 'reason': ''},
    'poll': {
        'clock_ms': 1,
        'born': 1,
        'running': [['0123456789abcdef.0.0.1', 1, '', 41, 7]],
        'finished': [[1, '0123456789abcdef.0.0.2', 1, 'done', '']],
    },
    'worker': {
        'service': 's',
        'addr': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'capacity': {'cpu': 1, 'mem_mb': 1, 'gpu': 0},
        'labels': ['a'],
        'born': 5,
    },
    'advice': {'allowed': [['i-1', 'ticket']]},
    'append': {'offset': 1, 'end': 2},
    'newest': {'items': [{'key': 'a', 'offset': 1, 'value': 'AA=='}], 'more': False, 'end': 2},
    'configuration': {
        'version': 1,
        'routes': [{'name': 'q', 'host': 'h', 'path_prefix': '/q/', 'service': 's'}],
    },
    'submission': {'spec': 'x', 'phases': [{'count': 2, 'cpu': 500, 'after': []}]},
}

ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(min_value=-(2**63), max_value=2**64 - 1),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=30),
    strategies.lists(strategies.integers(min_value=-9, max_value=9), max_size=3),
    strategies.dictionaries(strategies.text(max_size=3), strategies.integers(0, 9), max_size=2),
)


def paths_of(message, path=()):
    """Yield the path of each value in a message."""
    children = message.items() if isinstance(message, dict) else ()
    if isinstance(message, list):
        children = enumerate(message)
    for key, child in children:
        yield (*path, key)
        yield from paths_of(child, (*path, key))


def with_value(message, path, odd):
    """Return a copy of a message with another value at a path."""
    copied = msgspec.json.decode(msgspec.json.encode(message))
    holder = copied
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = odd
    return copied


def decode_or_refuse(name, body):
    """Decode a body, and ignore the errors that the callers of the decoder handle."""
    with contextlib.suppress(InvalidInputError, PlatformError):
        DECODERS[name](body)


@pytest.mark.parametrize('name', DECODERS)
@given(body=strategies.binary(max_size=200))
@settings(max_examples=100, derandomize=True)
def test_arbitrary_bytes(name, body):
    """Guards against an exception of a library that leaves the adapter."""
    decode_or_refuse(name, body)


@pytest.mark.parametrize('name', VALID)
@given(choice=strategies.integers(min_value=0), odd=ODD_VALUES, cut=strategies.integers(0, 400))
@settings(max_examples=150, derandomize=True)
def test_odd_value_in_a_valid_message(name, choice, odd, cut):
    """Guards against values of another type or range, and against truncated messages."""
    paths = list(paths_of(VALID[name]))
    body = msgspec.json.encode(with_value(VALID[name], paths[choice % len(paths)], odd))
    decode_or_refuse(name, body)
    decode_or_refuse(name, body[:cut])


@pytest.mark.parametrize('name', VALID)
@pytest.mark.parametrize(('opening', 'closing'), [(b'[', b']'), (b'{"a":', b'}')])
def test_deep_nesting(name, opening, closing):
    """Guards against `RecursionError`, also from a field that nobody reads."""
    nested = opening * DEEP + b'1' + closing * DEEP
    valid = msgspec.json.encode(VALID[name])
    for body in (nested, b'{"unread":' + nested + b',' + valid[1:]):
        with pytest.raises(MalformedMessageError):
            DECODERS[name](body)


def test_deeply_nested_record():
    """Guards against `RecursionError` from a record of the log."""
    with pytest.raises(MalformedMessageError):
        decode_record(b'\x93\xa1c\xa3job' + b'\x91' * DEEP + b'\xc0')
    assert decode_record(b'\x92\xa1c\xa3job') == Cancelled(SubmissionId('job'))


def test_large_message_is_not_decoded():
    """Guards against memory spent on a message of any size."""
    decoder = JsonDecoder(dict, 20)
    assert decoder.decode(b'{"a":1}') == {'a': 1}
    with pytest.raises(MalformedMessageError):
        decoder.decode(b'{"a":"' + b'x' * 20 + b'"}')


def test_deeply_nested_configuration_keeps_the_one_in_force():
    """Guards against an entry that ends over a configuration that cannot be read."""
    versions = []
    reader = ConfigurationReader(lambda configuration: versions.append(configuration.version))
    reader.apply(StoredRecord(0, 'config', b'{"version":1}'))
    reader.apply(
        StoredRecord(1, 'config', b'{"version":2,"a":' + b'[' * DEEP + b']' * DEEP + b'}')
    )
    reader.apply(StoredRecord(2, 'config', b'{"version":3}'))
    assert versions == [1, 3]


@pytest.mark.parametrize(
    ('text', 'valid'),
    [
        ('10.0.0.1:80', True),
        ('10.0.0.1:65535', True),
        ('10.0.0.1:65536', False),
        ('10.0.0.1:0', False),
        ('10.0.0.1:-1', False),
        ('10.0.0.1:+80', False),
        ('10.0.0.1:²', False),
        ('10.0.0.1', False),
        ('10.0.0.256:80', False),
        ('0.0.0.0:80', False),
        ('host:80', False),
        ('127.0.0.1:80@host', False),
        ('10.0.0.1:80/path', False),
        (':80', False),
        ('', False),
    ],
)
def test_addresses(text, valid):
    """Guards against addresses that a client would look up, rewrite, or raise over."""
    assert is_socket_address(text) is valid


@pytest.mark.parametrize(
    'address', ['10.0.0.1:99999', '10.0.0.1:-1', '', f'{"1" * 70_000}:80', '127.0.0.1:80@[', '[::']
)
async def test_call_to_an_impossible_address_is_unanswered(address):
    """Guards against a `ValueError` or `OverflowError` of the HTTP client that ends the caller's loop."""
    client = HttpClient()
    with pytest.raises(CallUnansweredError):
        await client.post(f'http://{address}/-/hold', b'{}', 1)
    await client.close()


@pytest.mark.parametrize('known_length', [True, False])
async def test_oversized_answer_is_unanswered(monkeypatch, known_length):
    """Guards against an answer that fills the memory of the entry."""
    monkeypatch.setattr('marigoldlift.platform.calls.MAX_BODY_BYTES', 1000)

    async def answer(request):
        response = web.StreamResponse()
        if known_length:
            response.content_length = 2000
        await response.prepare(request)
        await response.write(b'x' * 2000)
        return response

    async with test_utils.RawTestServer(answer) as server:
        client = HttpClient()
        with pytest.raises(CallUnansweredError):
            await client.post(str(server.make_url('/')), b'{}', 1)
        await client.close()


async def test_redirect_is_not_followed():
    """Guards against an order that is sent again to another address."""
    requests = []

    async def answer(request):
        requests.append(request.path)
        return web.Response(status=307, headers={'Location': '/other'})

    async with test_utils.RawTestServer(answer) as server:
        client = HttpClient()
        reply = await client.post(str(server.make_url('/order')), b'{}', 1)
        await client.close()
    assert (reply.status, requests) == (307, ['/order'])


@pytest.mark.parametrize('body', [b'', b'soon', b'\xff', b'[' * DEEP])
def test_answers_of_other_processes(body):
    """Guards against an exception of a library from the smaller answers."""
    for parse, reply in (
        (parse_append, Reply(200, body)),
        (decode_order, Reply(200, body)),
        (check_order, Reply(409, body)),
        (parse_response_time, Reply(200, body)),
    ):
        with pytest.raises(PlatformError):
            parse(reply)


@given(body=strategies.binary(max_size=120))
@settings(max_examples=200, derandomize=True)
def test_page_of_records(body):
    """Guards against an exception over a page of records with odd lengths or keys."""
    assert len(list(decode_stored(body, 0))) <= len(body)


@pytest.mark.parametrize(
    ('running', 'finished'),
    [
        ([['0123456789abcdef.0.0.1', 2**70, '', 41]], []),
        ([['0123456789abcdef.0.0.1', -1, '', 41]], []),
        ([['0123456789abcdef.0.0.1', 1, {}, 41]], []),
        ([], [[2**60, '0123456789abcdef.0.0.1', 1, 'done', '']]),
        ([], [[-1, '0123456789abcdef.0.0.1', 1, 'done', '']]),
        ([], [[1, '0123456789abcdef.0.0.1', 1, [], '']]),
        ([], [[True, '0123456789abcdef.0.0.1', 1, 'done', '']]),
    ],
)
def test_odd_rows_are_skipped(running, finished):
    """Guards against an end whose number hides all later ones, and against rows that raise."""
    body = msgspec.json.encode({'clock_ms': 1, 'running': running, 'finished': finished})
    status = parse_poll(poll_decoder.decode(body))
    assert not status.running
    assert not status.ended
    assert not status.whole


@pytest.mark.parametrize(
    'phase',
    [
        b'{"count":1000000}',
        b'{"count":1,"cpu":-5}',
        b'{"count":1,"cpu":1e40}',
        b'{"count":1,"mem_mb":-1}',
        b'{"count":1,"est_ms":-1}',
        b'{"count":1,"anti_affinity":-1}',
        b'{"count":9223372036854775808}',
    ],
)
def test_submission_out_of_range_is_refused(phase):
    """Guards against a demand below 0, which would free capacity, and against more tasks than memory can hold."""
    with pytest.raises(InvalidInputError):
        DECODERS['submission'](b'{"spec":"x","phases":[%b]}' % phase)


@pytest.mark.parametrize('repeats', [100_000, 10_001])
def test_submission_with_too_many_occurrences_is_refused(repeats):
    """Guards against more open steps than memory can hold."""
    with pytest.raises(InvalidInputError):
        DECODERS['submission'](b'{"phases":[{"count":1}],"repeat_count":%d}' % repeats)
