"""Accepted work of a workspace that has departed."""

import asyncio

import pytest

from demo.callers import publish_initial_configuration
from demo.harness import CellProcesses
from demo.layout import CellLayout
from demo.observer import observe

pytestmark = pytest.mark.integration

LAYOUT = CellLayout(
    failure_domains=('recife',),
    entries=2,
    workers=2,
    settings={
        'lease': {'ttl_ms': 1200, 'renew_ms': 300, 'task_lease_ms': 4000},
        'membership': {'heartbeat_ms': 200, 'suspect_ms': 600, 'remove_ms': 3000},
    },
)

JOB = {'kind': 'batch', 'tasks': 4, 'resources': {'cpu_milli': 1000}, 'run_ms': 3000}
BASE = '/v1/workspaces/egbolt'
CHARGE = {'key': 'permit', 'service': 'charge', 'payload': '{"answer": "issued"}'}


async def depart(cell, entry):
    """Set the workspace to departed."""
    found = await cell.get(entry.http, '/v1/operator/configuration?kind=workspace&name=egbolt')
    change = {
        'kind': 'workspace',
        'name': 'egbolt',
        'base_version': found['objects'][0]['version'],
        'value': {'state': 'departed'},
    }
    body = {'author': 'olga', 'changes': [change]}
    _, reply = await cell.post(entry.http, '/v1/operator/configuration', body)
    assert reply['in_force']


async def test_departed_workspace_gets_what_was_accepted():
    """Guards against jobs and keys that vanish with their workspace, also when an entry dies."""
    async with CellProcesses(LAYOUT) as cell:
        await cell.wait_ready()
        await publish_initial_configuration(cell)
        first, second = cell.entries.values()
        _, accepted = await cell.post(first.http, f'{BASE}/jobs', {'key': 'job', 'spec': JOB})
        _, charged = await cell.post(first.http, f'{BASE}/requests', CHARGE)
        assert (accepted['status'], charged['answer']) == ('accepted', 'issued')

        await depart(cell, first)
        status, refused = await cell.post(second.http, f'{BASE}/jobs', {'key': 'j2', 'spec': JOB})
        assert (status, refused['path']) == (400, 'workspace')
        await first.kill()
        await cell.replace_entry(first.vm_id)

        job_path = f'{BASE}/jobs/{accepted["handle"]}?token={accepted["token"]}'
        async with asyncio.timeout(40):
            while (await cell.get(second.http, job_path)).get('state') != 'succeeded':
                await asyncio.sleep(0.1)
        key = await cell.get(second.http, f'{BASE}/requests/{charged["handle"]}')
        assert (key['status'], key['answer']) == ('completed', 'issued')
        seen = await observe(cell)
        assert (seen.violations(), seen.key_starts()) == (0, 1)
