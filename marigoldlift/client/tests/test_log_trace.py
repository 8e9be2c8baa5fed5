"""Timelines of single requests from the logs of several entries."""

import pytest

from marigoldlift.client.log_trace import trace_logs
from marigoldlift.cmdline import main
from marigoldlift.errors import InvalidInputError

FIRST = """{"time":"10:00:01","message":"submission accepted: submission=aa","vm_id":"e1"}
{"time":"10:00:02","message":"submission accepted: submission=bb","vm_id":"e1"}
{"time":"10:00:09","message":"leadership ends: tenure=1","vm_id":"e1"}
half a line {"time":"10:0
"""
SECOND = """  3.1 e2 {"time":"10:00:03","message":"takeover done: tenure=9","vm_id":"e2"}
  4.1 e2 {"time":"10:00:04","message":"submission closed: submission=aa","vm_id":"e2"}
"""


@pytest.fixture
def logs(tmp_path):
    """Return the paths of the log files of two entries."""
    paths = (tmp_path / 'one', tmp_path / 'two')
    paths[0].write_text(FIRST)
    paths[1].write_text(SECOND)
    return [str(path) for path in paths]


def test_timeline_is_in_order_of_time(logs):
    """Guards against a timeline that omits a takeover or includes lines of other requests."""
    timeline = trace_logs('aa', logs).splitlines()
    assert [line.split()[0] for line in timeline] == ['10:00:01', '10:00:03', '10:00:04']


def test_unknown_request_or_missing_file_is_rejected(logs):
    """Guards against an empty timeline, or a traceback for a missing file."""
    with pytest.raises(InvalidInputError):
        trace_logs('cc', logs)
    with pytest.raises(InvalidInputError):
        trace_logs('aa', ['missing'])


def test_trace_command_prints_timeline(logs, capsys):
    """Guards against a command line that does not run `trace` on log files, or hides its failure."""
    assert main(['trace', 'aa', *logs]) == 0
    assert 'takeover done' in capsys.readouterr().out
    assert main(['trace', 'cc', *logs]) != 0
