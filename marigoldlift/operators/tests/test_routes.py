"""Tests of the routes for operators with a fake daemon."""

import asyncio

import pytest

from marigoldlift import errors
from marigoldlift.operators import publishing
from marigoldlift.operators.routes import PREFIX

TRACE_ID = 'a' * 32
LONG = 'x' * 201


async def test_accepted_change_is_read_back(call, change_set):
    """Guards against the reply `accepted` for a change that is not in force."""
    status, reply = await call('POST', 'configuration', change_set)

    assert (status, reply['status'], reply['version']) == (200, 'accepted', 1)
    assert reply['in_force']
    assert reply['entries'][1] == {
        'vm_id': 'e2',
        'failure_domain': 'salvador',
        'applied': 1,
        'in_force': True,
    }
    status, reply = await call('GET', 'configuration?kind=workspace&name=shop')
    assert reply['objects'][0]['value']['weight'] == 2


async def test_lagging_entry_is_reported_after_limit(call, change_set, backend, monkeypatch):
    """Guards against an apply that waits forever, or hides that an entry has not applied the change."""
    monkeypatch.setattr(publishing, 'IN_FORCE_LIMIT_S', 0.1)
    backend.peer_applied = 0
    status, reply = await call('POST', 'configuration', change_set)

    assert (status, reply['status'], reply['in_force']) == (200, 'accepted', False)
    assert [entry['in_force'] for entry in reply['entries']] == [True, False]


async def test_suspect_entry_is_not_awaited(call, change_set, backend, monkeypatch):
    """Guards against each apply waiting for the whole time limit while one entry is down."""
    monkeypatch.setattr(publishing, 'IN_FORCE_LIMIT_S', 60)
    backend.peer_applied = 0
    backend.peer_is_suspect = True
    async with asyncio.timeout(10):
        _, reply = await call('POST', 'configuration', change_set)

    assert not reply['in_force']
    assert [entry['in_force'] for entry in reply['entries']] == [True, False]


async def test_conflict_reply_has_the_current_version(call, change_set):
    """Guards against a conflict reply without the version on which the next change has to be based."""
    await call('POST', 'configuration', change_set)
    status, reply = await call('POST', 'configuration', change_set | {'change_id': 'c2'})

    assert (status, reply['status'], reply['code']) == (409, 'refused', 'conflict')
    assert reply['path'] == 'changes[0].base_version'
    assert reply['current'] == [{'kind': 'workspace', 'name': 'shop', 'version': 1}]


@pytest.mark.parametrize(
    ('fault', 'http_status', 'status'),
    [
        (errors.AppendOutcomeUnknownError('no answer'), 502, 'unknown'),
        (errors.LogUnavailableError('log is down'), 503, 'unavailable'),
    ],
)
async def test_log_errors_have_distinct_statuses(
    call, change_set, backend, fault, http_status, status
):
    """Guards against the status `unavailable` for a change that may still come into force."""
    backend.fault = fault
    found_status, reply = await call('POST', 'configuration', change_set)

    assert (found_status, reply['status'], reply['change_id']) == (http_status, status, 'c1')
    assert reply['code'] == fault.code


async def test_change_with_unknown_outcome_can_be_submitted_again(call, change_set, backend):
    """Guards against a conflict when an operator repeats a change set whose reply was lost.

    The repeated text may differ in form, such as default values that are written out.
    """
    await call('POST', 'configuration', change_set)
    repeated = change_set | {
        'changes': [change_set['changes'][0] | {'value': {'weight': 2, 'state': 'active'}}]
    }
    status, reply = await call('POST', 'configuration', repeated)

    assert (status, reply['version']) == (200, 1)
    assert backend.state.version == 1


@pytest.mark.parametrize(
    ('changed', 'path'),
    [
        ({'author': ''}, 'author'),
        ({'author': 5}, 'author'),
        ({'changes': []}, 'changes'),
        ({'changes': {}}, 'changes'),
        ({'colour': 1}, ''),
        ({'changes': [{'kind': 'worker'}]}, 'changes[0].kind'),
        ({'changes': [{'kind': 'drain', 'name': 'x', 'base_version': 0}]}, 'changes[0]'),
        (
            {'changes': [{'kind': 'drain', 'name': '/', 'base_version': 0, 'value': {}}]},
            'changes[0].name',
        ),
        (
            {
                'changes': [
                    {'kind': 'service', 'name': 'x', 'base_version': 0, 'value': {'slots': 0}}
                ]
            },
            'changes[0].value.slots',
        ),
    ],
)
async def test_bad_change_set_is_not_appended(call, change_set, backend, changed, path):
    """Guards against invalid input in the log, and against an error without its location."""
    status, reply = await call('POST', 'configuration', change_set | changed)

    assert (status, reply['code'], reply['path']) == (400, 'invalid_input', path)
    assert not backend.calls


@pytest.mark.parametrize(
    ('body', 'http_status'),
    [
        (b'', 400),
        (b'{', 400),
        (b'\xff', 400),
        (b'[' * 4000, 400),
        (
            b'{"author":"a","changes":[{"kind":"drain","name":"x","base_version":0,"value":\xff}]}',
            400,
        ),
        (b' ' * 4097, 413),
    ],
)
async def test_bad_body_is_refused(client, backend, body, http_status):
    """Guards against a traceback or unbounded memory use for an invalid body."""
    async with client.post(f'{PREFIX}/configuration', data=body) as response:
        reply = await response.json()

    assert response.status == http_status
    assert set(reply) == {'code', 'reason', 'path'}
    assert not backend.calls


async def test_oversized_chunked_body_is_refused(client, backend):
    """Guards against unbounded memory use for a chunked body, which has no content length."""

    async def chunks():
        for _ in range(10_000):
            yield b' ' * 1024

    async with client.post(f'{PREFIX}/configuration', data=chunks()) as response:
        assert response.status == 413
    assert not backend.calls


@pytest.mark.parametrize(
    ('method', 'path', 'http_status', 'place'),
    [
        ('GET', 'configuration?kind=worker', 400, 'query.kind'),
        ('GET', 'configuration?name=shop', 400, 'query.kind'),
        ('GET', 'configuration?kind=drain&kind=drain', 400, 'query.kind'),
        ('GET', 'configuration?kind=drain&name=none', 404, 'query.name'),
        ('GET', 'status?verbose=1', 400, 'query.verbose'),
        ('GET', 'jobs?state=lost', 400, 'query.state'),
        ('GET', 'traces/xyz', 400, 'trace_id'),
        ('GET', 'explain/none', 404, 'handle'),
        ('POST', 'jobs/' + LONG + '/cancel', 400, 'handle'),
        ('GET', 'nothing', 404, ''),
        ('PUT', 'status', 405, ''),
    ],
)
async def test_bad_request_has_a_typed_reply(call, method, path, http_status, place):
    """Guards against an HTML error page, or an internal error for a wrong parameter."""
    status, reply = await call(method, path)

    assert (status, reply['path']) == (http_status, place)
    assert reply['code']
    assert reply['reason']


async def test_reads_reach_the_backend(call, backend):
    """Guards against a parameter that is dropped between the query and the daemon."""
    _, jobs = await call('GET', 'jobs?workspace=shop&state=running')
    _, cancelled = await call('POST', 'jobs/recife-1/cancel')
    _, explained = await call('GET', 'explain/recife-1')
    _, traced = await call('GET', f'traces/{TRACE_ID}')
    _, status = await call('GET', 'status')
    job_filter = backend.calls[0][1]

    assert (job_filter.workspace, job_filter.state.value) == ('shop', 'running')
    assert jobs['jobs'][0]['handle'] == 'recife-1'
    assert cancelled['state'] == 'cancelled'
    assert explained['reason'] == 'no free accelerator'
    assert len(traced['spans']) == 1
    assert [entry['vm_id'] for entry in status['entries']] == ['e1', 'e2']


async def test_drain_is_published_once(call, backend):
    """Guards against a conflict when a VM is drained again."""
    body = {'author': 'olga', 'reason': 'disk'}
    first, _ = await call('POST', 'drain/vm-1', body)
    second, reply = await call('POST', 'drain/vm-1', body)

    assert (first, second, reply['version']) == (200, 200, 1)
    assert backend.calls == [('propose', 'made-up')]
    assert backend.state.is_draining('vm-1')


@pytest.mark.parametrize(
    ('body', 'vm_id', 'path'),
    [
        ({'author': 'olga'}, 'vm 1', 'vm_id'),
        ({'author': 'olga', 'reason': 'x' * 201}, 'vm-1', 'reason'),
        ({}, 'vm-1', ''),
    ],
)
async def test_bad_drain_is_not_appended(call, backend, body, vm_id, path):
    """Guards against an invalid drain request in the log, such as one with an invalid VM id."""
    status, reply = await call('POST', f'drain/{vm_id}', body)

    assert (status, reply['path']) == (400, path)
    assert not backend.calls


@pytest.mark.parametrize(
    ('fault', 'http_status'),
    [
        (errors.AppendOutcomeUnknownError('x'), 502),
        (errors.LogUnavailableError('x'), 503),
        (errors.PeerUnavailableError('x', may_have_run=True), 502),
        (errors.PeerUnavailableError('x', may_have_run=False), 503),
        (errors.OverloadedError('x'), 429),
        (errors.ConflictError('x'), 409),
        (ValueError('secret detail'), 500),
    ],
)
async def test_backend_error_has_its_http_status(call, backend, fault, http_status):
    """Guards against a status that reports a cancellation as failed although it may have taken effect.

    Details of unexpected errors must not appear in the reply.
    """
    backend.fault = fault
    status, reply = await call('POST', 'jobs/recife-1/cancel')

    assert status == http_status
    assert 'secret' not in reply['reason']
