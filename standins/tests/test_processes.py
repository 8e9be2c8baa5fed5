"""Tests of the stand-ins as processes."""

import asyncio
import json
import signal
import sys
from types import MappingProxyType

import pytest

NAMES = tuple(f'w{number}' for number in range(24))
WORKER = MappingProxyType({'capacity': {'slots': 8}, 'connections': 64})
CONFIGS = (
    ('log', {}, {'log'}),
    ('vms', {'lag_ms': 5}, {'vms'}),
    ('workers', {'workers': [{**WORKER, 'worker_id': name} for name in NAMES]}, set(NAMES)),
    ('proxy', {'routes': {'a': {'target': '127.0.0.1:1'}}}, {'a', 'control'}),
)
IMPORTED = """
import sys, standins.__main__
print(*sorted(name for name in sys.modules if name.startswith('marigoldlift')))
"""
ALLOWED = 'marigoldlift ids platform platform.messages resources'


async def launch(*arguments):
    """Start a Python process with the arguments and piped output."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.integration
@pytest.mark.parametrize(('kind', 'config', 'names'), CONFIGS)
async def test_ready_line_and_stop(tmp_path, http, kind, config, names):
    """Guards against a process that reports ready too early, or does not exit on SIGTERM."""
    path = tmp_path / 'config.json'
    path.write_text(json.dumps(config))
    process = await launch('-m', 'standins', kind, '--config', str(path))
    try:
        ready = json.loads(await process.stdout.readline())['ready']
        address = ready[max(names)]
        async with http.get(f'http://{address}/v1/absent') as answer:
            status = answer.status
    finally:
        process.send_signal(signal.SIGTERM)
    rest, errors = await process.communicate()

    assert (set(ready), status) == (names, 404)
    assert (process.returncode, rest, errors) == (0, b'', b'')


@pytest.mark.integration
async def test_misspelt_setting_is_refused(tmp_path):
    """Guards against a setting that is silently ignored."""
    path = tmp_path / 'config.json'
    path.write_text('{"retain": 5}')
    process = await launch('-m', 'standins', 'log', '--config', str(path))

    assert b'retain' in (await process.communicate())[1]
    assert process.returncode == 1


@pytest.mark.integration
async def test_imports_only_messages_of_the_product():
    """Guards against stand-ins that import product code and so share its defects, which hides them in tests."""
    process = await launch('-c', IMPORTED)
    names = (await process.communicate())[0].decode().split()

    assert [name.removeprefix('marigoldlift.') for name in names] == ALLOWED.split()
