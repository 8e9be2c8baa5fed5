"""JSON lines on standard error, one per log message."""

import json
import logging
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from datetime import UTC
from types import TracebackType
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from marigoldlift.ids import Incarnation, VmId

if TYPE_CHECKING:
    from loguru import Message, Record

__all__ = ('CallSiteLimit', 'configure_logging')

#: Messages that one call site may log per window.
BURST = 5
WINDOW_S = 10.0

#: Maximum call sites tracked; the least recently used one is dropped first.
MAX_CALL_SITES = 256

#: Rate-limited levels. Lower levels are disabled in production; critical ones must not be lost.
LIMITED_LEVELS = frozenset(('WARNING', 'ERROR'))

#: Bound fields written at the top level of a line; all others are put under `extra`.
BOUND_FIELDS = ('request_id', 'trace_id')

CallSite = tuple[str, int]


class CallSiteWindow(msgspec.Struct):
    """Messages of one call site in its current window.

    Attributes:
        opened_s: start of the window on the monotonic clock in seconds.
        logged: messages admitted in the window.
        suppressed: messages suppressed since the last admitted one.
    """

    opened_s: float
    logged: int = 0
    suppressed: int = 0


class CallSiteLimit:
    """Rate limit of the messages of each call site, in bounded memory."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without call sites; `clock` returns monotonic seconds."""
        self.clock = clock
        self.call_sites: OrderedDict[CallSite, CallSiteWindow] = OrderedDict()

    def admit(self, call_site: CallSite) -> int | None:
        """Count a message.

        Returns:
            None when the message is to be suppressed, else the number of messages of the call
            site that were suppressed since its last admitted one.
        """
        window = self.window_of(call_site)
        if window.logged >= BURST:
            window.suppressed += 1
            return None
        window.logged += 1
        suppressed = window.suppressed
        window.suppressed = 0
        return suppressed

    def window_of(self, call_site: CallSite) -> CallSiteWindow:
        """Return the window of the call site, restarted if it has expired."""
        now_s = self.clock()
        window = self.call_sites.setdefault(call_site, CallSiteWindow(now_s))
        self.call_sites.move_to_end(call_site)
        if len(self.call_sites) > MAX_CALL_SITES:
            self.call_sites.popitem(last=False)
        if now_s - window.opened_s >= WINDOW_S:
            window.opened_s = now_s
            window.logged = 0
        return window


class JsonSink:
    """Writes log records to standard error as JSON lines; drops them if standard error is closed.

    Attributes:
        identity: fields of each line that identify the process.
        limit: rate limit of repeated messages.
        dropped: number of lines that could not be written.
    """

    def __init__(self, vm_id: VmId, incarnation: Incarnation) -> None:
        """Store the fields that each line contains."""
        self.identity = {'vm_id': vm_id, 'incarnation': incarnation}
        self.limit = CallSiteLimit()
        self.dropped = 0

    def write(self, message: 'Message') -> None:
        """Write one message, whose text is only the formatted exception; see `exception_only`."""
        record = message.record
        suppressed = 0
        if record['level'].name in LIMITED_LEVELS:
            admitted = self.limit.admit((record['file'].path, record['line']))
            if admitted is None:
                return
            suppressed = admitted
        line = self.line_of(record, str(message).strip(), suppressed)
        try:
            sys.stderr.buffer.write(line)
            sys.stderr.flush()
        except (OSError, ValueError):
            self.dropped += 1

    def line_of(self, record: 'Record', exception: str, suppressed: int) -> bytes:
        """Encode a record; optional fields that are empty are omitted."""
        bound = {name: str(field) for name, field in record['extra'].items()}
        fields: dict[str, object] = {
            'time': record['time'].astimezone(UTC).isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'message': record['message'],
            'module': record['name'],
            **self.identity,
            **{name: bound.pop(name) for name in BOUND_FIELDS if name in bound},
        }
        optional = {'extra': bound, 'exception': exception, 'suppressed': suppressed}
        fields.update({name: content for name, content in optional.items() if content})
        # Non-ASCII characters stay escaped: a lone surrogate cannot be encoded as UTF-8.
        return b'%b\n' % json.dumps(fields).encode('ascii')


class StandardLibraryBridge(logging.Handler):
    """Forwards messages of the standard library's `logging` to loguru.

    aiohttp, asyncio and OpenTelemetry use `logging`.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one message with its original call site."""
        patched = logger.patch(lambda patched_record: self.copy_call_site(record, patched_record))
        patched.opt(exception=record.exc_info).log(level_of(record), '{}', record.getMessage())

    def copy_call_site(self, record: logging.LogRecord, target: 'Record') -> None:
        """Set the call site of a loguru record to that of the original message."""
        target['name'] = record.name
        target['line'] = record.lineno
        target['file'].path = record.pathname


def level_of(record: logging.LogRecord) -> str | int:
    """Return the name of the level if loguru defines it, else its number."""
    try:
        return logger.level(record.levelname).name
    except ValueError:
        return record.levelno


def exception_only(record: 'Record') -> str:
    """Return a loguru format with only the exception, as `JsonSink` encodes the other fields."""
    return '{exception}'


def log_uncaught(
    kind: type[BaseException],
    error: BaseException,
    trace: TracebackType | None,
) -> None:
    """Log an uncaught exception, except KeyboardInterrupt; installed as `sys.excepthook`."""
    if issubclass(kind, KeyboardInterrupt):
        return
    logger.opt(exception=(kind, error, trace)).critical('uncaught exception')


def configure_logging(level: str, vm_id: VmId, incarnation: Incarnation) -> None:
    """Log as JSON lines on standard error, including the messages of libraries.

    Bind `request_id` and `trace_id` with `logger.contextualize` to include them in each line.

    Args:
        level: minimum level: debug, info, warning, error or critical, in any letter case.
        vm_id: VM of the entry.
        incarnation: incarnation of this process.

    Raises:
        ValueError: the level does not exist.
    """
    logger.remove()
    sink = JsonSink(vm_id, incarnation)
    logger.add(
        sink.write,
        level=level.upper(),
        format=exception_only,
        backtrace=False,
        # Variable values in tracebacks could expose data of callers.
        diagnose=False,
        catch=True,
    )
    logging.basicConfig(handlers=[StandardLibraryBridge()], level=level.upper(), force=True)
    logging.captureWarnings(capture=True)
    sys.excepthook = log_uncaught
