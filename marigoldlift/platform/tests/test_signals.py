"""Signals before an entry has set up its handlers, and after its loop has closed."""

import asyncio
import os
import re
import subprocess
import sys

import pytest

from marigoldlift.platform.node_settings import SETTINGS_VARIABLE
from marigoldlift.platform.settings_watch import SettingsWatcher

from marigoldlift.platform.tests.test_node_settings import GOOD

#: Runs the verb with an entry that gets SIGHUP before it has done anything.
PROGRAM = """
import os, signal, sys, types
from marigoldlift import cmdline
entry = types.ModuleType('marigoldlift.cell')
entry.run_cell_entry = lambda *_: os.kill(os.getpid(), signal.SIGHUP)
sys.modules['marigoldlift.cell'] = entry
sys.exit(cmdline.main(['cell']))
"""

#: Runs an entry that is asked to stop at once, and gets more signals while the interpreter ends.
STOPPING_PROGRAM = """
import atexit, os, signal, sys
from marigoldlift import cell, cmdline
follow = cell.Entry.follow_signals
def follow_and_stop(entry):
    follow(entry)
    os.kill(os.getpid(), signal.SIGTERM)
cell.Entry.follow_signals = follow_and_stop
for signum in (signal.SIGHUP, signal.SIGTERM):
    atexit.register(os.kill, os.getpid(), signum)
sys.exit(cmdline.main(['cell']))
"""


@pytest.fixture
def path(tmp_path):
    """Return a file with settings."""
    file = tmp_path / 'local.conf'
    file.write_text(GOOD, encoding='utf-8')
    return file


def test_starting_entry_survives_a_hangup(path):
    """Guards against a process that ends, and is started again, since its settings change as it starts."""
    assert exit_code(PROGRAM, path) == 0


@pytest.mark.integration
def test_ending_entry_survives_signals(path):
    """Guards against a stop that counts as an end by a signal, since settings change as it ends."""
    ip = f'127.{os.getpid() // 256 % 250 + 2}.{os.getpid() % 256}.1'
    local = re.sub(r'^ip=.*$', f'ip={ip}', GOOD, flags=re.MULTILINE)
    local = re.sub(r'10\.1\.0\.13:\d+', f'{ip}:0', local)
    local = re.sub(r'10\.200\.1\.[79]:\d+', f'{ip}:1', local)
    path.write_text(local.replace('grace_s=6', 'grace_s=0.5'), encoding='utf-8')
    assert exit_code(STOPPING_PROGRAM, path) == 0


def exit_code(program, path):
    """Return the exit code of a program with settings."""
    environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
    return subprocess.run([sys.executable, '-c', program], env=environment, check=False).returncode


@pytest.mark.looptime
async def test_settings_changed_during_the_start_are_read_at_once(path):
    """Guards against a change whose signal came before the handlers, and which is read only with the next look."""
    found = []
    watch = SettingsWatcher(path, GOOD, found.append)
    path.write_text(GOOD.replace('edge-a-1', 'edge-a-2'), encoding='utf-8')
    following = asyncio.create_task(watch.run())
    await asyncio.sleep(0.1)
    following.cancel()
    assert [settings.node for settings in found] == ['edge-a-2']
