"""Merging of the log lines about one request, from the logs of several entries, into one timeline."""

import re
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import msgspec

from marigoldlift.errors import InvalidInputError

__all__ = ('trace_logs',)

#: Log lines about changes of the leader, which every timeline includes: they show which entry was leading.
CELL_LINES = re.compile('^(leadership|takeover|stop requested)')


class LogLine(msgspec.Struct):
    """Fields of a log line that a timeline shows; other fields are ignored."""

    time: str
    message: str
    level: str = ''
    vm_id: str = ''


decoder = msgspec.json.Decoder(LogLine)


def trace_logs(name: str, paths: Sequence[str]) -> str:
    """Return the timeline of a request: the log lines that name it and the changes of the leader meanwhile.

    The lines are sorted by time.

    Args:
        name: id of the request.
        paths: log files of the entries.

    Raises:
        InvalidInputError: a file cannot be read, or no line names the request.
    """
    lines = sorted(
        (line for path in paths for line in read_lines(path)), key=lambda line: line.time
    )
    pattern = re.compile(rf'\b{re.escape(name)}\b')
    matching = [line for line in lines if pattern.search(line.message)]
    if not matching:
        raise InvalidInputError(f'no line names {name}')
    return '\n'.join(map(format_line, select_lines(lines, matching)))


def format_line(line: LogLine) -> str:
    """Format a log line for the timeline."""
    return ' '.join((line.time, line.vm_id, line.level, line.message))


def select_lines(lines: Iterable[LogLine], matching: Sequence[LogLine]) -> Iterator[LogLine]:
    """Yield the matching lines, and the changes of the leader between the first and the last of them."""
    first = matching[0].time
    last = matching[-1].time
    for line in lines:
        is_meanwhile = first <= line.time <= last
        if line in matching or (is_meanwhile and CELL_LINES.match(line.message)):
            yield line


def read_lines(path: str) -> Iterator[LogLine]:
    """Yield the JSON log lines of a file.

    Text before the JSON object, such as a timestamp, is skipped; lines without a JSON object are ignored.
    """
    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as fault:
        raise InvalidInputError(str(fault.strerror), path) from fault
    for line in text.splitlines():
        start = line.find('{"time"')
        if start >= 0:
            yield from decode_line(line[start:])


def decode_line(line: str) -> Iterator[LogLine]:
    """Yield the decoded line, or nothing if it is not complete JSON, such as a line that was cut short."""
    try:
        yield decoder.decode(line)
    except msgspec.DecodeError:
        return
