"""Merges the log lines of several entries that name one request into one story."""

import re
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import msgspec

from marigoldlift.errors import InvalidInputError

__all__ = ('trace_logs',)

#: Lines of the cell as a whole that belong to each story: they say who gave orders.
CELL_LINES = re.compile('^(leadership|takeover|stop requested)')


class LogLine(msgspec.Struct):
    """Fields of a log line that a story shows; unknown ones are ignored."""

    time: str
    message: str
    level: str = ''
    vm_id: str = ''


decoder = msgspec.json.Decoder(LogLine)


def trace_logs(name: str, paths: Sequence[str]) -> str:
    """Return the lines that name a request, and the changes of the leader meanwhile, in order of time.

    Args:
        name: id of the request.
        paths: log files of the entries.

    Raises:
        InvalidInputError: a file cannot be read, or no line names the request.
    """
    lines = sorted(
        (line for path in paths for line in read_lines(path)), key=lambda line: line.time
    )
    names = re.compile(rf'\b{re.escape(name)}\b')
    own = [line for line in lines if names.search(line.message)]
    if not own:
        raise InvalidInputError(f'no line names {name}')
    return '\n'.join(map(format_line, select_lines(lines, own)))


def format_line(line: LogLine) -> str:
    """Return a line as a story shows it."""
    return ' '.join((line.time, line.vm_id, line.level, line.message))


def select_lines(lines: Iterable[LogLine], own: Sequence[LogLine]) -> Iterator[LogLine]:
    """Yield the request's lines, and those of the cell between the first and the last of them."""
    first = own[0].time
    last = own[-1].time
    for line in lines:
        is_meanwhile = first <= line.time <= last
        if line in own or (is_meanwhile and CELL_LINES.match(line.message)):
            yield line


def read_lines(path: str) -> Iterator[LogLine]:
    """Yield the JSON lines of a file; a line may begin with other text, such as a time."""
    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as fault:
        raise InvalidInputError(str(fault.strerror), path) from fault
    for line in text.splitlines():
        start = line.find('{"time"')
        if start >= 0:
            yield from decode_line(line[start:])


def decode_line(line: str) -> Iterator[LogLine]:
    """Yield the line, unless it was cut short."""
    try:
        yield decoder.decode(line)
    except msgspec.DecodeError:
        return
