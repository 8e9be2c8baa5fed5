"""Tests of the JSON log lines on standard error."""

import json
import logging

import pytest
from loguru import logger

from marigoldlift.ids import Incarnation, VmId
from marigoldlift.telemetry.logs import (
    BURST,
    MAX_CALL_SITES,
    WINDOW_S,
    CallSiteLimit,
    configure_logging,
)


@pytest.fixture
def lines(capfd, monkeypatch):
    """Configure logging; return a function that reads the lines logged since its last call."""
    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', [])
    monkeypatch.setattr(root, 'level', root.level)
    monkeypatch.setattr('sys.excepthook', None)
    configure_logging('info', VmId('vm-1'), Incarnation('i-1'))
    yield lambda: [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    logger.remove()
    logging.captureWarnings(capture=False)


def test_line_carries_identity_and_bound_ids(lines):
    """Guards against log lines that cannot be attributed to an entry or a request."""
    with logger.contextualize(request_id='r-1', trace_id='t-1'):
        logger.info('took {} workers', 2)
    logger.debug('too detailed')

    line = lines()[0]
    assert line.pop('time').endswith('+00:00')
    assert line == {
        'level': 'INFO',
        'message': 'took 2 workers',
        'module': __name__,
        'vm_id': 'vm-1',
        'incarnation': 'i-1',
        'request_id': 'r-1',
        'trace_id': 't-1',
    }


def test_exception_is_one_field_without_values(lines):
    """Guards against tracebacks that span several lines or expose data of callers."""
    secret = 'card 4711'
    try:
        secret.missing()
    except AttributeError:
        logger.exception('cannot {read}')

    line = lines()[0]
    assert line['message'] == 'cannot {read}'
    assert 'AttributeError' in line['exception']
    assert 'card 4711' not in line['exception']


def test_library_messages_are_json_lines(lines):
    """Guards against plain-text messages of asyncio or aiohttp among the JSON lines.

    The message must keep its braces, which loguru would otherwise read as a format field.
    """
    logging.getLogger('asyncio').error('slow %s {task}', 'callback')

    line = lines()[0]
    assert (line['module'], line['message']) == ('asyncio', 'slow callback {task}')


def test_unserializable_value_is_logged(lines):
    """Guards against a lost line, or a plain-text error of loguru.

    Both can happen for a bound value that JSON cannot represent.
    """
    logger.bind(odd={('a', 1): b'x'}, request_id=7).info('odd \udcff')

    line = lines()[0]
    assert (line['message'], line['request_id']) == ('odd \udcff', '7')
    assert line['extra'] == {'odd': "{('a', 1): b'x'}"}


def test_repeated_warning_is_limited_and_counted(lines):
    """Guards against a flood of one warning, and against suppression that goes unnoticed."""
    for _ in range(BURST + 7):
        logger.warning('log is down')
    logger.warning('another place')

    messages = [line['message'] for line in lines()]
    assert messages.count('log is down') == BURST
    assert messages.count('another place') == 1


def test_limit_resets_and_stays_bounded():
    """Guards against a call site suppressed forever, and against unbounded memory.

    The limit is keyed by call site, so its memory would grow with their number.
    """
    times = [0]
    limit = CallSiteLimit(clock=lambda: times[-1])
    call_site = ('a.py', 1)
    decisions = [limit.admit(call_site) for _ in range(BURST + 3)]
    times.append(WINDOW_S)

    assert (decisions.count(0), decisions.count(None)) == (BURST, 3)
    assert limit.admit(call_site) == 3
    assert limit.admit(call_site) == 0
    for line in range(MAX_CALL_SITES * 2):
        limit.admit(('b.py', line))
    assert len(limit.call_sites) == MAX_CALL_SITES
