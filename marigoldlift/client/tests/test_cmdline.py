"""Tests of the commands, their exit codes and the choice of an entry."""

import subprocess
import sys
from types import MappingProxyType, SimpleNamespace

import pytest

ACCEPTED = MappingProxyType(
    {
        'status': 'accepted',
        'change_id': 'c1',
        'version': 7,
        'in_force': False,
        'entries': [
            {'vm_id': 'e1', 'failure_domain': 'recife', 'applied': 7, 'in_force': True},
            {'vm_id': 'e2', 'failure_domain': 'recife', 'applied': 6, 'in_force': False},
        ],
    }
)
REFUSED = MappingProxyType(
    {
        'status': 'refused',
        'reason': 'given 1',
        'path': 'changes[0].base_version',
        'current': [{'kind': 'drain', 'name': 'vm-1', 'version': 4}],
    }
)
TRACE_ID = '0' * 32
LOST = (None, '')


@pytest.mark.parametrize(
    'words',
    [
        [],
        ['nothing'],
        ['status', 'extra'],
        ['status', 'execute'],
        ['status', '--colour', 'red'],
        ['status', '--output', 'xml'],
        ['status', '--output'],
        ['status', '--address', 'localhost:80'],
        ['status', '--address', ''],
        ['apply'],
        ['apply', '--file', 'missing.json'],
        ['job', 'recife-1'],
        ['cancel'],
        ['submit', '--workspace', 'w', '--key', 'k', '--file', 'missing.json'],
        ['check', '--settings', 'missing.json'],
        ['entry'],
        ['entry', '--settings'],
        ['entry', '--settings', 'missing.json'],
        ['entry', '--settings', 'a', 'b'],
        ['entry', 'settings', 'a'],
    ],
)
def test_wrong_usage_sends_nothing(run, words):
    """Guards against a traceback, or a call that is sent despite a wrong argument."""
    code, out, err = run(*words)

    assert (code, out) == (2, '')
    assert err
    assert 'Traceback' not in err


@pytest.mark.parametrize('content', ['', '[]', '{', '[' * 100_000, '"x"'])
def test_broken_input_file_is_wrong_usage(run, json_file, content):
    """Guards against a traceback for a file that is not a JSON object."""
    assert run('apply', '--file', json_file(content))[0] == 2


def test_extra_argument_sends_nothing(run, start_entry):
    """Guards against cancelling a job although the command line has a surplus argument."""
    entry = start_entry((200, {}))
    code, _, _ = run('cancel', 'recife-1', 'extra', '--address', entry.address)

    assert (code, entry.requests) == (2, [])


@pytest.mark.parametrize(
    ('status', 'body', 'code'),
    [
        (200, ACCEPTED, 0),
        (400, {'code': 'invalid_input', 'reason': 'x', 'path': 'author'}, 1),
        (409, REFUSED, 1),
        (500, 'no JSON', 4),
        (502, {'status': 'unknown', 'change_id': 'c1', 'reason': 'no answer'}, 4),
        (503, {'status': 'unavailable', 'reason': 'log is down'}, 1),
        (302, '', 1),
    ],
)
def test_apply_exit_code_matches_outcome(run, start_entry, json_file, status, body, code):
    """Guards against an exit code that makes a script treat a refused or uncertain change as in force."""
    entry = start_entry((status, body))
    path = json_file({'author': 'olga', 'changes': []})
    found = run('apply', '--file', path, '--change_id', 'c1', '--address', entry.address)

    assert found[0] == code
    assert entry.requests == [
        (
            'POST',
            '/v1/operator/configuration',
            {'author': 'olga', 'changes': [], 'change_id': 'c1'},
        ),
    ]
    assert bool(found[2]) == (code != 0)


def test_refusal_shows_path_and_current_version(run, start_entry):
    """Guards against a refusal without the current version, which the next change has to be based on."""
    entry = start_entry((409, REFUSED))
    _, _, err = run('drain', 'vm-1', '--address', entry.address)

    assert 'changes[0].base_version' in err
    assert 'drain vm-1 is at version 4' in err


def test_next_entry_is_tried(run, start_entry, closed_address):
    """Guards against a command that fails because the first of several entries is down."""
    entry = start_entry((200, {'entries': []}))
    code, _, _ = run('status', '--address', f'{closed_address},{entry.address}')

    assert code == 0


def test_unsent_change_exits_as_unreachable(run, closed_address):
    """Guards against the exit code `unknown` for a change that was certainly not sent."""
    code, _, err = run('drain', 'vm-1', '--address', closed_address)

    assert code == 3
    assert closed_address in err


@pytest.mark.parametrize(
    ('words', 'code'),
    [(('cancel', 'recife-1'), 4), (('status',), 3)],
)
def test_lost_answer_is_unknown_for_changes(run, start_entry, words, code):
    """Guards against the exit code `unreachable` for a cancellation that may have taken effect."""
    entry = start_entry(LOST)

    assert run(*words, '--address', entry.address)[0] == code


def test_error_after_lost_answer_stays_unknown(run, start_entry):
    """Guards against the exit code `failed` when the previous entry may have cancelled the job."""
    first = start_entry(LOST)
    second = start_entry((503, {'code': 'log_unavailable', 'reason': 'x'}))
    addresses = f'{first.address},{second.address}'

    assert run('cancel', 'recife-1', '--address', addresses)[0] == 4


def test_submit_raises_attempt_after_lost_answer(run, start_entry, json_file):
    """Guards against the answer `not_run` for a job that the previous entry may have accepted.

    The second entry must not treat the call as the first attempt.
    """
    first = start_entry(LOST)
    second = start_entry((202, {'status': 'accepted', 'handle': 'recife-1'}))
    words = [
        'submit',
        '--workspace',
        'shop',
        '--key',
        '007',
        '--file',
        json_file({'kind': 'batch'}),
    ]
    code, out, _ = run(*words, '--address', f'{first.address},{second.address}')
    bodies = [body for _, _, body in first.requests + second.requests]

    assert code == 0
    assert 'recife-1' in out
    assert [(body['key'], body['attempt']) for body in bodies] == [('007', 1), ('007', 2)]


@pytest.mark.parametrize(
    ('words', 'expected'),
    [
        (['get', 'drain', 'vm-1'], ('GET', '/v1/operator/configuration?kind=drain&name=vm-1')),
        (['jobs', '--workspace', 'a b'], ('GET', '/v1/operator/jobs?workspace=a+b')),
        (['job', '1e5', '--workspace', 'w'], ('GET', '/v1/workspaces/w/jobs/1e5')),
        (['cancel', 'h', '--workspace', 'w'], ('DELETE', '/v1/workspaces/w/jobs/h')),
        (['cancel', 'h'], ('POST', '/v1/operator/jobs/h/cancel')),
        (['drain', 'a/b'], ('POST', '/v1/operator/drain/a%2Fb')),
        (['explain', '0x10'], ('GET', '/v1/operator/explain/0x10')),
        (['trace', TRACE_ID], ('GET', f'/v1/operator/traces/{TRACE_ID}')),
    ],
)
def test_verb_calls_its_route(run, start_entry, words, expected):
    """Guards against a handle that is altered before it is sent, such as one that looks like a number."""
    entry = start_entry((200, {}))
    code, _, _ = run(*words, '--address', entry.address)

    assert code == 0
    assert entry.requests[0][:2] == expected


def test_apply_table_names_the_lagging_entry(run, start_entry):
    """Guards against output that hides that an accepted change is not in force everywhere yet."""
    entry = start_entry((200, ACCEPTED), (200, ACCEPTED))
    _, table, _ = run('drain', 'vm-1', '--address', entry.address)
    _, text, _ = run('drain', 'vm-1', '--output', 'json', '--address', entry.address)

    assert 'NOT YET EVERYWHERE' in table
    assert table.splitlines()[-1].split() == ['e2', 'recife', '6', 'no']
    assert '"version": 7' in text


def test_trace_is_drawn_as_a_tree(run, start_entry):
    """Guards against spans that are hidden when their parent is missing or in a cycle."""
    parents = {'a': '', 'c': 'a', 'b': 'a', 'd': 'lost', 'e': 'f', 'f': 'e'}
    starts = {'a': 0, 'b': 1, 'c': 2, 'd': 3, 'e': 4, 'f': 5}
    spans = [
        {
            'trace_id': TRACE_ID,
            'span_id': span,
            'parent_id': parent,
            'name': span,
            'start_ns': starts[span],
            'end_ns': starts[span] + 1_500_000,
            'attributes': {},
        }
        for span, parent in parents.items()
    ]
    entry = start_entry((200, {'trace_id': TRACE_ID, 'spans': spans, 'missing': ['e9']}))
    _, out, _ = run('trace', TRACE_ID, '--address', entry.address)
    lines = [line.partition('  1.500')[0] for line in out.splitlines()]

    assert lines[1:5] == ['a', '  b', '  c', 'd']
    assert {line.strip() for line in lines[5:7]} == {'e', 'f'}
    assert lines[7] == 'entry e9 did not answer'


def test_entry_runs_with_checked_settings(run, json_file, monkeypatch):
    """Guards against settings that are loaded but not passed on, or an exit code that is dropped."""
    seen = []
    daemon = SimpleNamespace(run_entry=seen.append)
    monkeypatch.setitem(sys.modules, 'marigoldlift.entry', daemon)
    path = json_file(
        {
            'vm_id': 'entry-1',
            'failure_domain': 'recife',
            'region': 'northeast',
            'failure_domains': ['recife'],
            'rack': 'r1',
            'http_listen': '127.0.0.1:0',
            'grpc_listen': '127.0.0.1:0',
            'log_address': '127.0.0.1:7000',
            'vm_list_address': '127.0.0.1:7001',
        }
    )

    assert run('entry', '--settings', path)[0] == 0
    assert run('entry', f'--settings={path}')[0] == 0
    assert [settings.vm_id for settings in seen] == ['entry-1', 'entry-1']
    assert run('check', '--settings', path) == (0, 'the settings are valid\n', '')


def test_every_settings_error_is_printed(run, json_file):
    """Guards against a check that stops at the first error."""
    _, _, err = run('check', '--settings', json_file({'vm_id': 1, 'colour': 'red'}))

    assert {'vm_id', 'rack', 'colour'} <= {line.partition(':')[0] for line in err.splitlines()}


def test_help_and_version_are_printed(run):
    """Guards against help that starts a pager or exits with an error code."""
    assert run('version') == (0, '0.1.0\n', '')
    assert run('version', '--output', 'json')[1] == '{"version":"0.1.0"}\n'
    assert run('--help')[0] == 0
    assert run('entry', '--help')[0] == 0


def test_daemon_does_not_load_the_client():
    """Guards against loading Fire and the client into the daemon, whose memory is limited."""
    program = (
        'import sys; from marigoldlift.cmdline import main; main(["entry", "--settings", "none"]);'
        "print(*(name for name in ('fire', 'marigoldlift.client.verbs') if name in sys.modules))"
    )
    done = subprocess.run([sys.executable, '-c', program], capture_output=True, check=True)

    assert done.stdout.strip() == b''
