"""Fake daemon without network access, for tests of the routes for operators."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import NotFoundError
from marigoldlift.journal.messages import JobKind
from marigoldlift.operators import messages
from marigoldlift.operators.routes import PREFIX, operator_app
from marigoldlift.peers.messages import MemberState, SpanRecord

BODY_LIMIT = 4096


class FakeBackend:
    """Backend that applies each proposal at the next offset; raises `fault` instead if it is set.

    Attributes:
        peer_applied: configuration offset that the other entry has applied; None for that of this entry.
        peer_is_suspect: whether the other entry is suspect.
        calls: name and argument of each call.
    """

    def __init__(self):
        """Create a backend with two entries and no configuration."""
        self.state = ConfigurationState()
        self.fault = None
        self.peer_applied = None
        self.peer_is_suspect = False
        self.calls = []

    def configuration(self):
        """Return the state."""
        return self.state

    async def propose(self, record, timeout_s):
        """Apply the record."""
        self.record_call('propose', record.change_id)
        offset = self.state.applied + 1
        return messages.ProposalOutcome(offset, self.state.apply(offset, record))

    def entries(self):
        """Return this entry and a peer, which has applied the same offset unless `peer_applied` is set."""
        own = self.state.applied
        peer = own if self.peer_applied is None else self.peer_applied
        return [
            messages.EntryStatus(
                'e1', 'recife', MemberState.ready, applied={'configuration': own}
            ),
            messages.EntryStatus(
                'e2',
                'salvador',
                MemberState.ready,
                suspect=self.peer_is_suspect,
                applied={'configuration': peer},
            ),
        ]

    async def list_jobs(self, job_filter):
        """Return one job."""
        self.record_call('list_jobs', job_filter)
        summary = messages.JobSummary(
            'recife-1', 'shop', 'recife', JobKind.batch, messages.JobState.running, 1, 2
        )
        return messages.JobsReply([summary])

    async def explain(self, handle):
        """Explain the job `recife-1`; no other handle exists."""
        self.record_call('explain', handle)
        if handle != 'recife-1':
            raise NotFoundError(f'no job {handle!r}', 'handle')
        return messages.ExplainReply(handle, 'shop', 'waiting', 'no free accelerator')

    async def trace(self, trace_id):
        """Return one span."""
        self.record_call('trace', trace_id)
        return messages.TraceReply(trace_id, [SpanRecord(trace_id, 'a', '', 'x', 0, 1, {})])

    async def cancel(self, handle):
        """Return that the job is cancelled, for any handle."""
        self.record_call('cancel', handle)
        return messages.CancelReply(handle, messages.JobState.cancelled)

    def record_call(self, *call):
        """Record a call, then raise `fault` if it is set."""
        self.calls.append(call)
        if self.fault:
            raise self.fault


@pytest.fixture
def backend():
    """Return the fake daemon."""
    return FakeBackend()


@pytest.fixture
async def client(backend):
    """Return a client of the routes, which are served on a port chosen by the system."""
    app = web.Application()
    app.add_subapp(PREFIX, operator_app(backend, BODY_LIMIT, lambda: 'made-up'))
    async with TestClient(TestServer(app)) as test_client:
        yield test_client


@pytest.fixture
def call(client):
    """Return a function that calls a route and returns the HTTP status and the decoded reply."""

    async def run(method, path, body=None):
        async with client.request(method, f'{PREFIX}/{path}', json=body) as response:
            return response.status, await response.json()

    return run


@pytest.fixture
def change_set():
    """Return a change set that creates a workspace."""
    change = {'kind': 'workspace', 'name': 'shop', 'base_version': 0, 'value': {'weight': 2}}
    return {'author': 'olga', 'change_id': 'c1', 'changes': [change]}
