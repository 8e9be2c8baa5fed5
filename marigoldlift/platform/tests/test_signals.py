"""Signals before an entry has installed its handlers, and after its event loop has closed."""

import asyncio
import os
import re
import subprocess
import sys

import pytest

from marigoldlift.platform.node_settings import SETTINGS_VARIABLE
from marigoldlift.platform.settings_watch import SettingsWatcher

from marigoldlift.platform.tests.test_node_settings import GOOD

#: Runs the command `cell` with an entry that receives SIGHUP before it has done anything.
PROGRAM = """
import os, signal, sys, types
from marigoldlift import cmdline
entry = types.ModuleType('marigoldlift.cell')
entry.run_cell_entry = lambda *_: os.kill(os.getpid(), signal.SIGHUP)
sys.modules['marigoldlift.cell'] = entry
sys.exit(cmdline.main(['cell']))
"""

#: Runs an entry that receives SIGTERM right after its start, and more signals while the interpreter exits.
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
    """Path of a valid settings file."""
    file = tmp_path / 'local.conf'
    file.write_text(GOOD, encoding='utf-8')
    return file


def test_starting_entry_survives_sighup(path):
    """Guards against a process that a SIGHUP for changed settings kills during its start, so that it is restarted."""
    assert exit_code(PROGRAM, path) == 0


@pytest.mark.integration
def test_exiting_entry_survives_signals(path):
    """Guards against a regular stop that is reported as killed by a signal, because settings change during the exit."""
    ip = f'127.{os.getpid() // 256 % 250 + 2}.{os.getpid() % 256}.1'
    local = re.sub(r'^ip=.*$', f'ip={ip}', GOOD, flags=re.MULTILINE)
    local = re.sub(r'10\.1\.0\.13:\d+', f'{ip}:0', local)
    local = re.sub(r'10\.200\.1\.[79]:\d+', f'{ip}:1', local)
    path.write_text(local.replace('grace_s=6', 'grace_s=0.5'), encoding='utf-8')
    assert exit_code(STOPPING_PROGRAM, path) == 0


def exit_code(program, path):
    """Run a program with a settings file and return its exit code."""
    environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
    return subprocess.run([sys.executable, '-c', program], env=environment, check=False).returncode


@pytest.mark.looptime
async def test_settings_changed_during_the_start_are_read_at_once(path):
    """Guards against a change that is read only at the next check, because its signal came before the handlers."""
    changes = []
    watcher = SettingsWatcher(path, GOOD, changes.append)
    path.write_text(GOOD.replace('edge-a-1', 'edge-a-2'), encoding='utf-8')
    watching = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.1)
    watching.cancel()
    assert [settings.node for settings in changes] == ['edge-a-2']
