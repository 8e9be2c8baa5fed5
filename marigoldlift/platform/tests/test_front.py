"""Answers to the requests of clients, valid and invalid ones."""

import asyncio
import contextlib

import pytest
from aiohttp import test_utils
from hypothesis import given, settings, strategies

from marigoldlift.errors import InvalidInputError, LogUnavailableError, ShareExceededError
from marigoldlift.platform.configuration import CellConfiguration, Queue
from marigoldlift.platform.front import ClientRequestHandler
from marigoldlift.platform.servers import listen_draining
from marigoldlift.platform.submission_parsing import parse_submission, submission_decoder
from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Policy, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.telemetry.metrics import Metrics

QUEUE = Queue('h.example', '/q1/', Policy('q1', 's', 1, 2, 2.0, 1000))
LONGER = Queue('h.example', '/q1/deep/', Policy('deep', 's', 1, 2, 2.0, 1000))
NAME = '5c0e7a21d94b36f8'
BODY = b'{"spec":"x","phases":[{"count":2,"cpu":500},{"count":1,"after":[0],"new":1}]}'


class FakeAcceptance:
    """Acceptance whose answers a test chooses."""

    def __init__(self):
        self.answer = AcceptanceResult.done
        self.outcomes = {SubmissionId(NAME): Outcome.running}
        self.submitted = []
        self.callers = []

    async def submit(self, submission, timeout_s, caller):
        self.submitted.append(submission)
        self.callers.append(caller)
        return self.answer

    async def cancel(self, name, timeout_s, caller):
        return AcceptanceResult.done if name in self.outcomes else AcceptanceResult.gone

    async def outcome(self, name, timeout_s, caller):
        return self.outcomes.get(name)

    def pending(self, queue):
        return 12


class FakeFreshness:
    """Age of the configuration that a test chooses."""

    def __init__(self):
        self.stale = False
        self.expired = False
        self.outdated = False

    def is_outdated(self):
        return self.outdated

    def may_be_stale(self):
        return self.stale

    def are_keys_expired(self):
        return self.expired


@pytest.fixture
async def front():
    """Request handler with a configuration."""
    handler = ClientRequestHandler(FakeAcceptance(), 'relay', FakeFreshness(), Metrics())
    handler.configuration = CellConfiguration(1, (LONGER, QUEUE))
    return handler


@pytest.fixture
async def client(front):
    """Client of the request handler."""
    server = test_utils.RawTestServer(front.handle)
    async with test_utils.TestClient(server) as opened:
        yield opened


async def send_request(client, method, path, **options):
    """Send one request, and return the status and the body of its answer."""
    headers = {'Host': 'h.example', **options.pop('headers', {})}
    async with client.request(method, path, headers=headers, **options) as response:
        return response.status, await response.json()


async def test_submission_is_accepted_once_stored(front, client):
    """Guards against steps that are parsed wrongly."""
    status, _ = await send_request(client, 'POST', f'/q1/{NAME}', data=BODY)
    assert status == 200
    submission = front.acceptance.submitted[0]
    assert [step.count for step in submission.steps] == [2, 1]
    assert submission.steps[1].after == (0,)


async def test_outdated_configuration_serves_nobody(front, client):
    """Guards against callers that are served as a configuration allows that is known to be replaced."""
    front.freshness.outdated = True
    assert (await send_request(client, 'POST', f'/q1/{NAME}', data=BODY))[0] == 503
    assert (await send_request(client, 'GET', '/q1/'))[0] == 503


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (AcceptanceResult.refused, 503),
        (AcceptanceResult.unknown, 504),
        (AcceptanceResult.done, 200),
    ],
)
async def test_unknown_outcome_is_not_reported_as_refusal(front, client, answer, status):
    """Guards against reporting a submission as refused when it may be stored."""
    front.acceptance.answer = answer
    got, body = await send_request(client, 'POST', f'/q1/{NAME}', data=BODY)
    assert got == status
    assert ('retry_after_ms' in body) == (status == 503)


async def test_state_cancel_and_pending_count(client):
    """Guards against requests that are dispatched to the wrong call."""
    assert await send_request(client, 'GET', f'/q1/{NAME}') == (200, {'state': 'running'})
    assert (await send_request(client, 'GET', '/q1/0000000000000000'))[0] == 410
    assert (await send_request(client, 'DELETE', f'/q1/{NAME}'))[0] == 200
    assert (await send_request(client, 'DELETE', '/q1/0000000000000000'))[0] == 410
    assert await send_request(client, 'GET', '/q1/') == (200, {'pending': 12})


async def test_pending_count_is_unavailable_before_the_log_is_read(front, client, monkeypatch):
    """Guards against a pending count of 0 from an entry that has just started."""

    def log_not_read(queue):
        raise LogUnavailableError('the snapshot is not read yet')

    monkeypatch.setattr(front.acceptance, 'pending', log_not_read)
    assert (await send_request(client, 'GET', '/q1/'))[0] == 503


async def test_unknown_queue(front, client):
    """Guards against 404 from an entry that has no configuration or one that may be stale."""
    assert (await send_request(client, 'POST', f'/other/{NAME}', data=BODY))[0] == 404
    assert (await send_request(client, 'GET', f'/q1/{NAME}', headers={'Host': 'other'}))[0] == 404
    front.freshness.stale = True
    assert (await send_request(client, 'POST', f'/other/{NAME}', data=BODY))[0] == 503
    front.configuration = None
    assert (await send_request(client, 'POST', f'/q1/{NAME}', data=BODY))[0] == 503


async def test_longest_prefix_wins(front, client):
    """Guards against a request that is matched to a queue with a shorter prefix."""
    await send_request(client, 'POST', f'/q1/deep/{NAME}', data=BODY)
    assert front.acceptance.submitted[0].policy.queue == 'deep'


def test_queue_is_found_among_many():
    """Guards against a lookup that takes the time of a scan through all queues of a large configuration."""
    many = [
        Queue(f'h{number % 7}.example', f'/{number:x}/', QUEUE.policy) for number in range(3000)
    ]
    configuration = CellConfiguration(1, (QUEUE, LONGER, *many))
    assert configuration.queue_of('h.example', f'/q1/deep/{NAME}') is LONGER
    assert configuration.queue_of('h.example', f'/q1/other/{NAME}') is QUEUE
    assert configuration.queue_of('h.example', '/q1') is None
    assert configuration.queue_of('h3.example', f'/{10:x}/{NAME}') is many[10]
    assert max(map(len, configuration.prefix_lengths.values())) <= 4


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{"phases":[]}',
        b'{"phases":[{"count":0}]}',
        b'{"phases":[{"count":1,"after":[0]}]}',
        b'{"phases":[{"count":"many"}]}',
        b'{"spec":5,"phases":[{"count":1}]}',
        b'{"spec":"%s","phases":[{"count":1}]}' % (b'x' * 4001),
    ],
)
async def test_invalid_bodies_are_refused_with_a_reason(front, client, body):
    """Guards against accepting a submission that cannot run, and against an exception that breaks the connection."""
    status, answer = await send_request(client, 'POST', f'/q1/{NAME}', data=body)
    assert status == 400
    assert answer['error']
    assert not front.acceptance.submitted


async def test_other_methods_and_malformed_ids_are_refused(client):
    """Guards against handling requests with an unknown method or a malformed submission id."""
    assert (await send_request(client, 'PUT', f'/q1/{NAME}', data=BODY))[0] == 405
    for name in ('short', 'x' * 16, NAME + '0'):
        assert (await send_request(client, 'POST', f'/q1/{name}', data=BODY))[0] == 404


async def test_leaving_entry_closes_connections(front, client):
    """Guards against clients that keep their connections to an entry that is stopping."""
    front.leaving = True
    async with client.get('/q1/', headers={'Host': 'h.example'}) as response:
        assert response.headers['Connection'] == 'close'


async def test_leaving_entry_answers_all_pipelined_requests(front):
    """Guards against dropping a pipelined request because the connection is closed after an earlier answer."""
    front.leaving = True
    draining_server = await listen_draining('127.0.0.1:0', front.handle)
    address = draining_server.listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer), contextlib.closing(draining_server.listener):
        writer.write(b'GET /q1/ HTTP/1.1\r\nHost: h.example\r\n\r\n' * 3)
        received = await reader.read()
    assert received.count(b' 200 OK') == 3
    assert received.lower().count(b'connection: close') == 1


@given(strategies.binary(max_size=200))
@settings(max_examples=300, derandomize=True)
def test_arbitrary_bytes_are_parsed_or_refused(body):
    """Guards against a parser that raises another exception than `InvalidInputError`."""
    try:
        parse_submission(submission_decoder.decode(body), QUEUE, SubmissionId(NAME), '')
    except InvalidInputError:
        return


async def test_refused_caller_is_told_when_to_come_back(front, client, monkeypatch):
    """Guards against a refusal without a pause, or with one in parts of a second, which the header cannot express."""

    async def refuse(submission, timeout_s, caller):
        raise ShareExceededError('beyond its share', 1.234)

    monkeypatch.setattr(front.acceptance, 'submit', refuse)
    headers = {'Host': 'h.example'}
    async with client.post(f'/q1/{NAME}', data=BODY, headers=headers) as response:
        assert (response.status, response.headers['Retry-After']) == (503, '2')
        assert await response.json() == {'retry_after_ms': 1234}
