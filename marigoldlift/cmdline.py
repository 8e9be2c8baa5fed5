"""Command line: `cell` and `entry` run a daemon, all other commands belong to the client for operators."""

import importlib
import os
import pathlib
import signal
import sys
from collections.abc import Callable, Sequence
from types import MappingProxyType
from typing import TextIO

from marigoldlift.client.exits import ExitCode
from marigoldlift.errors import MarigoldliftError, SettingsError

__all__ = ('main',)

PROGRAM = 'marigoldlift'
ENTRY_VERB = 'entry'
CELL_VERB = 'cell'
TRACE_VERB = 'trace'
ENTRY_USAGE = f'usage: {PROGRAM} {ENTRY_VERB} --settings FILE'
SETTINGS_FLAG = '--settings'
RUN_TIMES_FLAG = '--run-times'
HELP_FLAGS = frozenset(('-h', '--help'))

Runner = Callable[[Sequence[str]], int]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code.

    Args:
        arguments: command-line arguments without the program name; None for those of the process.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return select_runner(words)(words)
    except SettingsError as error:
        for fault in error.errors:
            print_error(fault)
        return ExitCode.usage
    except MarigoldliftError as error:
        print_error(f'{error.path}: {error.reason}' if error.path else error.reason)
        return ExitCode.usage


def select_runner(words: Sequence[str]) -> Runner:
    """Return the function that runs a command.

    `trace` with log files reads those files and calls no entry.
    """
    verb = words[0] if words else ''
    has_flags = any(word.startswith('--') for word in words)
    if verb == TRACE_VERB and len(words) > 2 and not has_flags:
        return run_log_trace
    return DAEMONS.get(verb, run_client)


def run_log_trace(words: Sequence[str]) -> int:
    """Print the timeline of one request from log files."""
    _, name, *paths = words
    print_result(importlib.import_module('marigoldlift.client.log_trace').trace_logs(name, paths))
    return ExitCode.done


def run_daemon(words: Sequence[str]) -> int:
    """Run an entry; does not import the client and Fire, because the memory of the daemon is limited."""
    if HELP_FLAGS.intersection(words):
        print(ENTRY_USAGE)
        return ExitCode.done
    path = settings_path(words[1:])
    if path is None:
        print_error(ENTRY_USAGE)
        return ExitCode.usage
    settings = importlib.import_module('marigoldlift.settings.loader').load_settings(path)
    run_entry = importlib.import_module('marigoldlift.entry').run_entry
    try:
        return run_entry(settings) or ExitCode.done
    except (MarigoldliftError, OSError) as fault:
        print_error(f'the entry cannot run: {fault}')
        return ExitCode.failed


def run_cell(words: Sequence[str]) -> int:
    """Run an entry on the platform, with the settings file named by an environment variable.

    SIGHUP is ignored first: it would end a process without a handler, and may arrive before the entry has
    installed its own.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    node_settings = importlib.import_module('marigoldlift.platform.node_settings')
    path = os.environ.get(node_settings.SETTINGS_VARIABLE)
    learning = run_times_switch(words[1:])
    if learning is None or not path:
        print_error(
            f'usage: {node_settings.SETTINGS_VARIABLE}=FILE {PROGRAM} {CELL_VERB} [{RUN_TIMES_FLAG}=on|off]'
        )
        return ExitCode.usage
    source = pathlib.Path(path)
    try:
        text = source.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as fault:
        print_error(f'{path}: {fault}')
        return ExitCode.usage
    settings = node_settings.parse_node_settings(text, learning)
    importlib.import_module('marigoldlift.cell').run_cell_entry(settings, source, text)
    return ExitCode.done


def run_times_switch(words: Sequence[str]) -> str | None:
    """Return the text in `--run-times=TEXT`, `off` without arguments, or None for any other arguments."""
    flag, _, text = '='.join(words).partition('=')
    if not words:
        return 'off'
    return text if flag == RUN_TIMES_FLAG and len(words) == 1 else None


def settings_path(words: Sequence[str]) -> str | None:
    """Return the path in `--settings FILE` or `--settings=FILE`, or None for any other arguments."""
    joined = '='.join(words)
    flag, _, path = joined.partition('=')
    if flag != SETTINGS_FLAG or not path or len(words) > 2:
        return None
    return path


def run_client(words: Sequence[str]) -> int:
    """Run a command of the client."""
    plans = importlib.import_module('marigoldlift.client.plans')
    verbs = importlib.import_module('marigoldlift.client.verbs')
    try:
        planned = parse_words(words, verbs.Verbs())
    except SystemExit as fire_exit:
        return int(fire_exit.code or ExitCode.done)
    if not isinstance(planned, plans.Plan):
        print_error(f'usage: {PROGRAM} VERB [ARGUMENTS]; see {PROGRAM} --help')
        return ExitCode.usage
    try:
        outcome = planned.execute()
    except KeyboardInterrupt:
        print_error('interrupted; the outcome is unknown')
        return ExitCode.unknown
    if outcome.error:
        print_error(outcome.error)
    print_result(outcome.text)
    return outcome.code


def parse_words(words: Sequence[str], verbs: object) -> object:
    """Parse the command and its arguments with Fire.

    Raises:
        SystemExit: Fire has printed help, or has found no matching command (code 2).
    """
    fire = importlib.import_module('fire')
    # Fire would show help through a pager, which is a child process.
    fire.core.Display = print_lines
    return fire.Fire(verbs, command=list(words), name=PROGRAM, serialize=discard)


def discard(planned: object) -> None:
    """Discard the plan, which Fire would print otherwise."""


def print_lines(lines: Sequence[str], out: TextIO) -> None:
    """Print lines directly, without a pager."""
    print('\n'.join(lines), file=out)


def print_error(text: str) -> None:
    """Print an error message to standard error."""
    print(text, file=sys.stderr)


def print_result(text: str) -> None:
    """Print a result to standard output; a reader that closed the pipe early is not an error."""
    if not text:
        return
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


DAEMONS = MappingProxyType({ENTRY_VERB: run_daemon, CELL_VERB: run_cell})
