"""Tests of the command that shows where a submission would be placed."""

import json

import msgspec
import pytest

from marigoldlift.scheduling.explanation import Explanation, Place, StepExplanation

STEP = StepExplanation(
    step='trial.0.0',
    waiting=4,
    running=0,
    service_class='in_time',
    position=2,
    ready_steps=3,
    task_s=1,
    remaining_s=1,
    reason='room',
    places=[Place('w0', 'north', 3)],
    ruled_out={'cpu': 2, 'none': 1},
    to_ask=[f'w{number}' for number in range(9)],
)
FOUND = msgspec.to_builtins(Explanation('trial', 'q', 's', 'lab', '10.0.0.1:1', 3, [STEP], 2))


def test_answer_as_table_and_as_json(run, start_entry, json_file):
    """Guards against an answer whose parts are missing from the table, or a question without its parts."""
    entry = start_entry((200, FOUND))
    words = ('place', '--entry', entry.address, '--queue', 'q', '--workspace', 'lab')
    file = json_file('{"phases": []}')

    code, table, err = run(*words, '--file', file)
    assert (code, err) == (0, '')
    parts = ('2 of 3', 'w0 (north): 3', 'cpu: 2, has room: 1', 'and 3 more', '2 more steps')
    for part in parts:
        assert part in table
    asked = {'queue': 'q', 'workspace': 'lab', 'body': {'phases': []}}
    assert entry.requests == [('POST', '/placement', asked)]
    code, text, _ = run(*words, '--file', file, '--json')
    assert (code, json.loads(text)) == (0, FOUND)


@pytest.mark.parametrize(
    'options',
    [
        [],
        ['00', '--queue', 'q'],
        ['00', '--workspace', 'w'],
        ['--queue', 'q'],
        ['--queue', 'q', '--file', 'missing.json'],
    ],
)
def test_incomplete_question_is_not_sent(run, start_entry, options):
    """Guards against a question that mixes an open submission with a file, or lacks the queue or the file."""
    entry = start_entry((200, FOUND))
    code, out, err = run('place', *options, '--entry', entry.address)
    assert (code, out, bool(err), entry.requests) == (2, '', True, [])


def test_malformed_file_is_told(run, json_file):
    """Guards against a traceback for a file that is no JSON object."""
    words = ('place', '--entry', '127.0.0.1:1', '--queue', 'q', '--file', json_file('{'))
    assert run(*words)[0] == 2


@pytest.mark.parametrize(('status', 'reason'), [(404, 'unknown queue'), (503, 'no leader known')])
def test_refusal_is_told(run, start_entry, status, reason):
    """Guards against a refusal that is printed as an answer, or ends with code 0."""
    entry = start_entry((status, {'code': 'x', 'reason': reason}))
    code, out, err = run('place', '00', '--entry', entry.address)
    assert (code, out, err) == (1, '', f'x: {reason}\n')


def test_unreachable_entry_is_told(run):
    """Guards against a traceback where the entry does not answer."""
    code, _, err = run('place', '00', '--entry', '127.0.0.1:1')
    assert (code, 'no entry answered' in err) == (3, True)
