"""SIGHUP before an entry has set up its handlers."""

import asyncio
import os
import subprocess
import sys

import pytest

from marigoldlift.platform.node_settings import SETTINGS_VARIABLE
from marigoldlift.platform.settings_watch import SettingsWatch

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


@pytest.fixture
def path(tmp_path):
    """Return a file with settings."""
    file = tmp_path / 'local.conf'
    file.write_text(GOOD, encoding='utf-8')
    return file


def test_starting_entry_survives_a_hangup(path):
    """Guards against a process that ends, and is started again, since its settings change as it starts."""
    ended = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        check=False,
    )
    assert ended.returncode == 0


@pytest.mark.looptime
async def test_settings_changed_during_the_start_are_read_at_once(path):
    """Guards against a change whose signal came before the handlers, and which is read only with the next look."""
    found = []
    watch = SettingsWatch(path, GOOD, found.append)
    path.write_text(GOOD.replace('edge-a-1', 'edge-a-2'), encoding='utf-8')
    following = asyncio.create_task(watch.run())
    await asyncio.sleep(0.1)
    following.cancel()
    assert [settings.node for settings in found] == ['edge-a-2']
