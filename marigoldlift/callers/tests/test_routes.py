"""Caller routes with a fake backend."""

import json

import pytest
from aiohttp import ClientSession, web

from marigoldlift.admission.connection_limit import ConnectionLimit
from marigoldlift.callers.routes import AdmissionLimit, CallerRoutes, typed_errors
from marigoldlift.ids import Offset, StreamId
from marigoldlift.peers.messages import ExecuteReply, QueryReply, ReadToken, ReplyStatus
from marigoldlift.telemetry.tracing import Tracing

BODY_LIMIT = 2000
REQUEST = {'key': 'k', 'service': 'sizer', 'payload': 'p'}
JOB = {'key': 'k', 'spec': {'kind': 'batch', 'tasks': 1, 'resources': {}}}


class FakeBackend:
    """Backend that records the requests it receives.

    Attributes:
        received: requests, in order of arrival.
        reply: reply to the next requests.
        ready: whether the load balancer may route callers to the entry.
    """

    def __init__(self):
        self.received = []
        self.reply = ExecuteReply(ReplyStatus.completed, answer='done')
        self.ready = True

    async def execute(self, request):
        self.received.append(request)
        return self.reply

    submit = execute
    cancel = execute

    async def query(self, request):
        self.received.append(request)
        return QueryReply(view='{"kind": "job"}')

    def is_ready(self):
        return self.ready

    def render_metrics(self):
        return 'marigoldlift_requests_total 1\n'


class Client:
    """HTTP client of the routes."""

    def __init__(self, session, base, limit):
        self.session = session
        self.base = base
        self.limit = limit

    async def send(self, method, path, body=None):
        """Send a body, encoded as JSON unless it is bytes; return status and decoded response."""
        encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = f'{self.base}{path}'
        async with self.session.request(method, url, data=encoded if body else None) as response:
            return response.status, json.loads(await response.read())

    async def text(self, path):
        """Get a path; return status and text."""
        async with self.session.get(f'{self.base}{path}') as response:
            return response.status, await response.text()


@pytest.fixture
def backend():
    """Return a fake backend."""
    return FakeBackend()


@pytest.fixture
async def client(backend):
    """Yield a client of the routes, which are served on an ephemeral port."""
    limit = ConnectionLimit(limit=3, reserve=1)
    admission = AdmissionLimit(limit, '/v1/operator')
    app = web.Application(
        client_max_size=BODY_LIMIT,
        middlewares=[typed_errors, admission.admit],
    )
    CallerRoutes(backend, Tracing('e1', 10)).add_to(app)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    async with ClientSession() as session:
        yield Client(session, f'http://127.0.0.1:{runner.addresses[0][1]}', limit)
    await runner.cleanup()


@pytest.mark.parametrize(
    ('body', 'path'),
    [
        (b'', ''),
        (b'{"key": ', ''),
        (b'\xff\xfe', ''),
        (b'[' * 1900, ''),
        (b'[]', ''),
        ({**REQUEST, 'key': ''}, 'key'),
        ({**REQUEST, 'key': 'a\x00b'}, 'key'),
        ({**REQUEST, 'key': 'x' * 129}, 'key'),
        ({**REQUEST, 'attempt': 0}, 'attempt'),
        ({**REQUEST, 'deadline_ms': 0}, 'deadline_ms'),
        ({**REQUEST, 'deadlin_ms': 5}, ''),
        ({'key': 'k'}, ''),
    ],
)
async def test_invalid_body_is_refused_and_not_passed_on(client, backend, body, path):
    """Guards against running a request with malformed JSON, missing or unknown fields, or invalid values."""
    status, reply = await client.send('POST', '/v1/workspaces/bikes/requests', body or b' ')

    assert (status, reply['status'], reply.get('path', '')) == (400, 'invalid', path)
    assert reply['reason']
    assert not backend.received


@pytest.mark.parametrize('route', ['requests', 'jobs'])
async def test_oversized_body_is_refused(client, backend, route):
    """Guards against a caller that exhausts the memory with one large body."""
    body = b'x' * (BODY_LIMIT + 1)
    status, reply = await client.send('POST', f'/v1/workspaces/bikes/{route}', body)

    assert (status, reply['status'], reply['code']) == (413, 'invalid', 'http_413')
    assert not backend.received


@pytest.mark.parametrize(
    ('reply', 'status'),
    [
        (ExecuteReply(ReplyStatus.completed), 200),
        (ExecuteReply(ReplyStatus.accepted), 202),
        (ExecuteReply(ReplyStatus.failed), 500),
        (ExecuteReply(ReplyStatus.unknown, code='overloaded'), 502),
        (ExecuteReply(ReplyStatus.not_run, code='overloaded'), 429),
        (ExecuteReply(ReplyStatus.not_run, code='log_unavailable'), 503),
        (ExecuteReply(ReplyStatus.not_run, code='deadline_passed'), 504),
        (ExecuteReply(ReplyStatus.invalid, code='conflict'), 409),
        (ExecuteReply(ReplyStatus.invalid, code='not_found'), 404),
    ],
)
async def test_http_status_matches_the_reply(client, backend, reply, status):
    """Guards against an HTTP status that misleads a client, for example about whether to retry."""
    backend.reply = reply
    assert (await client.send('POST', '/v1/workspaces/bikes/requests', REQUEST))[0] == status


async def test_token_of_a_write_is_passed_on_with_a_read(client, backend):
    """Guards against a read that does not reflect the caller's own write: the token was not passed on."""
    token = ReadToken(StreamId('domain-a'), Offset(7))
    backend.reply = ExecuteReply(ReplyStatus.accepted, handle='a.j.1', token=token)
    _, reply = await client.send('POST', '/v1/workspaces/bikes/jobs', JOB)
    await client.send('GET', f'/v1/workspaces/bikes/jobs/a.j.1?token={reply["token"]}')

    assert backend.received[-1].token == token


@pytest.mark.parametrize('query', ['token=7', 'token=a:x', 'deadline_ms=0', 'deadline_ms=x'])
async def test_bad_query_is_refused(client, backend, query):
    """Guards against ignoring a mistyped token, which would silently lose read-your-writes consistency."""
    status, reply = await client.send('GET', f'/v1/workspaces/bikes/jobs/a.j.1?{query}')

    assert (status, reply['status']) == (400, 'invalid')
    assert not backend.received


async def test_internal_error_is_an_unknown_outcome_without_traceback(client, backend):
    """Guards against reporting `not_run` after an internal error, when the request may have run, and against
    leaking the text of the exception to the caller.
    """

    async def fail(request):
        raise ValueError('secret')

    backend.execute = fail
    status, reply = await client.send('POST', '/v1/workspaces/bikes/requests', REQUEST)

    assert (status, reply['status']) == (500, 'unknown')
    assert 'secret' not in json.dumps(reply)


async def test_requests_beyond_the_limit_are_refused(client, backend):
    """Guards against unbounded requests in progress, and against callers in the operators' reserve."""
    client.limit.active = 2
    status, reply = await client.send('POST', '/v1/workspaces/bikes/requests', REQUEST)

    assert (status, reply['code']) == (429, 'overloaded')
    assert not backend.received


async def test_health_readiness_and_metrics_pages(client, backend):
    """Guards against routing callers to an entry that is not ready, for example without configuration."""
    assert (await client.text('/readyz'))[0] == 200
    backend.ready = False
    assert (await client.text('/readyz'))[0] == 503
    assert (await client.text('/healthz'))[0] == 200
    assert 'marigoldlift_requests_total' in (await client.text('/metrics'))[1]
