"""What clients get for each request, with faulty ones among them."""

import asyncio
import contextlib

import pytest
from aiohttp import test_utils
from hypothesis import given, settings, strategies

from marigoldlift.errors import LogUnavailableError
from marigoldlift.platform.configuration import CellConfiguration, Queue
from marigoldlift.platform.front import ClientRequestHandler, parse_submission, submission_decoder
from marigoldlift.platform.servers import listen_draining
from marigoldlift.submissions.acceptance import RequestResult
from marigoldlift.submissions.model import Policy, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.telemetry.metrics import Metrics

QUEUE = Queue('h.example', '/q1/', Policy('q1', 's', 1, 2, 2.0, 1000))
LONGER = Queue('h.example', '/q1/deep/', Policy('deep', 's', 1, 2, 2.0, 1000))
NAME = '5c0e7a21d94b36f8'
BODY = b'{"spec":"x","phases":[{"count":2,"cpu":500},{"count":1,"after":[0],"new":1}]}'


class FakeAcceptance:
    """Answers as it was told to."""

    def __init__(self):
        self.answer = RequestResult.done
        self.outcomes = {SubmissionId(NAME): Outcome.running}
        self.submitted = []

    async def submit(self, submission, patience_s):
        self.submitted.append(submission)
        return self.answer

    async def cancel(self, name, patience_s):
        return RequestResult.done if name in self.outcomes else RequestResult.gone

    async def outcome(self, name, patience_s):
        return self.outcomes.get(name)

    def pending(self, queue):
        return 12


@pytest.fixture
async def front():
    """Return the handler with a configuration."""
    handler = ClientRequestHandler(FakeAcceptance(), 'relay', bool, Metrics())
    handler.configuration = CellConfiguration(1, (LONGER, QUEUE))
    return handler


@pytest.fixture
async def client(front):
    """Return a client of the handler."""
    server = test_utils.RawTestServer(front.handle)
    async with test_utils.TestClient(server) as opened:
        yield opened


async def ask(client, method, path, **options):
    """Return status and body of one request."""
    headers = {'Host': 'h.example', **options.pop('headers', {})}
    async with client.request(method, path, headers=headers, **options) as response:
        return response.status, await response.json()


async def test_submission_is_accepted_once_stored(front, client):
    """Guards against an acceptance with the wrong steps."""
    status, _ = await ask(client, 'POST', f'/q1/{NAME}', data=BODY)
    assert status == 200
    submission = front.acceptance.submitted[0]
    assert [step.count for step in submission.steps] == [2, 1]
    assert submission.steps[1].after == (0,)


@pytest.mark.parametrize(
    ('answer', 'status'),
    [(RequestResult.refused, 503), (RequestResult.unknown, 504), (RequestResult.done, 200)],
)
async def test_unknown_outcome_is_not_reported_as_refusal(front, client, answer, status):
    """Guards against "not accepted" for a submission that may be stored."""
    front.acceptance.answer = answer
    got, body = await ask(client, 'POST', f'/q1/{NAME}', data=BODY)
    assert got == status
    assert ('retry_after_ms' in body) == (status == 503)


async def test_state_cancel_pending(client):
    """Guards against answers of one call for another."""
    assert await ask(client, 'GET', f'/q1/{NAME}') == (200, {'state': 'running'})
    assert (await ask(client, 'GET', '/q1/0000000000000000'))[0] == 410
    assert (await ask(client, 'DELETE', f'/q1/{NAME}'))[0] == 200
    assert (await ask(client, 'DELETE', '/q1/0000000000000000'))[0] == 410
    assert await ask(client, 'GET', '/q1/') == (200, {'pending': 12})


async def test_pending_is_not_told_before_the_log_is_read(front, client, monkeypatch):
    """Guards against "nothing waits" from an entry that has just started."""

    def unread(queue):
        raise LogUnavailableError('the snapshot is not read yet')

    monkeypatch.setattr(front.acceptance, 'pending', unread)
    assert (await ask(client, 'GET', '/q1/'))[0] == 503


async def test_unknown_queue(front, client):
    """Guards against 404 by an entry that has no configuration or one that may be old."""
    assert (await ask(client, 'POST', f'/other/{NAME}', data=BODY))[0] == 404
    assert (await ask(client, 'GET', f'/q1/{NAME}', headers={'Host': 'other'}))[0] == 404
    front.may_be_stale = lambda: True
    assert (await ask(client, 'POST', f'/other/{NAME}', data=BODY))[0] == 503
    front.configuration = None
    assert (await ask(client, 'POST', f'/q1/{NAME}', data=BODY))[0] == 503


async def test_longest_prefix_wins(front, client):
    """Guards against a request that is handled by a shorter prefix."""
    await ask(client, 'POST', f'/q1/deep/{NAME}', data=BODY)
    assert front.acceptance.submitted[0].policy.queue == 'deep'


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
async def test_faulty_bodies_are_refused_with_a_reason(front, client, body):
    """Guards against an accepted submission that cannot be done, or a broken connection."""
    status, answer = await ask(client, 'POST', f'/q1/{NAME}', data=body)
    assert status == 400
    assert answer['error']
    assert not front.acceptance.submitted


async def test_other_methods_and_names(client):
    """Guards against requests of another form that pass for a known one."""
    assert (await ask(client, 'PUT', f'/q1/{NAME}', data=BODY))[0] == 405
    for name in ('short', 'x' * 16, NAME + '0'):
        assert (await ask(client, 'POST', f'/q1/{name}', data=BODY))[0] == 404


async def test_leaving_entry_closes_connections(front, client):
    """Guards against connections that stay with an entry that stops."""
    front.leaving = True
    async with client.get('/q1/', headers={'Host': 'h.example'}) as response:
        assert response.headers['Connection'] == 'close'


async def test_leaving_entry_answers_all_requests_sent_at_once(front):
    """Guards against a request that was read and is dropped with the connection, as an earlier one is answered."""
    front.leaving = True
    callers = await listen_draining('127.0.0.1:0', front.handle)
    address = callers.listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer), contextlib.closing(callers.listener):
        writer.write(b'GET /q1/ HTTP/1.1\r\nHost: h.example\r\n\r\n' * 3)
        told = await reader.read()
    assert told.count(b' 200 OK') == 3
    assert told.lower().count(b'connection: close') == 1


@given(strategies.binary(max_size=200))
@settings(max_examples=300, derandomize=True)
def test_any_bytes_are_read_or_refused(body):
    """Guards against a reader that fails in another way than by its two errors."""
    try:
        parse_submission(submission_decoder.decode(body), QUEUE, SubmissionId(NAME), '')
    except ValueError:
        return
