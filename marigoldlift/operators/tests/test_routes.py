"""Routes of operators against a fake daemon."""

import asyncio

import pytest

from marigoldlift import errors
from marigoldlift.operators import publishing
from marigoldlift.operators.routes import PREFIX

TRACE_ID = 'a' * 32
LONG = 'x' * 201


async def test_accepted_change_is_read_back(call, shop):
    """Guards against a reply `accepted` for something that is not in force."""
    status, reply = await call('POST', 'configuration', shop)

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


async def test_lagging_entry_is_told_after_limit(call, shop, backend, monkeypatch):
    """Guards against an apply that waits for ever, or hides an entry without the change."""
    monkeypatch.setattr(publishing, 'IN_FORCE_LIMIT_S', 0.1)
    backend.peer_applied = 0
    status, reply = await call('POST', 'configuration', shop)

    assert (status, reply['status'], reply['in_force']) == (200, 'accepted', False)
    assert [entry['in_force'] for entry in reply['entries']] == [True, False]


async def test_suspect_entry_is_not_awaited(call, shop, backend, monkeypatch):
    """Guards against each apply taking the whole limit while one entry is dead."""
    monkeypatch.setattr(publishing, 'IN_FORCE_LIMIT_S', 60)
    backend.peer_applied = 0
    backend.peer_is_suspect = True
    async with asyncio.timeout(10):
        _, reply = await call('POST', 'configuration', shop)

    assert not reply['in_force']
    assert [entry['in_force'] for entry in reply['entries']] == [True, False]


async def test_conflict_tells_the_current_version(call, shop):
    """Guards against an operator who cannot see what to base the next change on."""
    await call('POST', 'configuration', shop)
    status, reply = await call('POST', 'configuration', shop | {'change_id': 'c2'})

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
async def test_log_fault_is_told_apart(call, shop, backend, fault, http_status, status):
    """Guards against `unavailable` for a change that may still come into force."""
    backend.fault = fault
    found_status, reply = await call('POST', 'configuration', shop)

    assert (found_status, reply['status'], reply['change_id']) == (http_status, status, 'c1')
    assert reply['code'] == fault.code


async def test_change_with_unknown_outcome_can_be_asked_again(call, shop, backend):
    """Guards against a conflict with oneself after an answer was lost."""
    await call('POST', 'configuration', shop)
    spaced = shop | {'changes': [shop['changes'][0] | {'value': {'weight': 2, 'state': 'active'}}]}
    status, reply = await call('POST', 'configuration', spaced)

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
async def test_bad_change_set_is_not_appended(call, shop, backend, changed, path):
    """Guards against bad input in the log, and against a fault without its place."""
    status, reply = await call('POST', 'configuration', shop | changed)

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
    """Guards against a traceback or unbounded memory for a body that is no message."""
    async with client.post(f'{PREFIX}/configuration', data=body) as response:
        reply = await response.json()

    assert response.status == http_status
    assert set(reply) == {'code', 'reason', 'path'}
    assert not backend.calls


async def test_endless_body_is_cut(client, backend):
    """Guards against a chunked body that no content length announces."""

    async def endless():
        for _ in range(10_000):
            yield b' ' * 1024

    async with client.post(f'{PREFIX}/configuration', data=endless()) as response:
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
    """Guards against the drain of a VM that cannot exist."""
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
async def test_fault_of_backend_has_its_status(call, backend, fault, http_status):
    """Guards against a cancellation that may have happened being told as not done."""
    backend.fault = fault
    status, reply = await call('POST', 'jobs/recife-1/cancel')

    assert status == http_status
    assert 'secret' not in reply['reason']
