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

#: Messages that one place of the code may log in one window.
BURST = 5
WINDOW_S = 10.0

#: Places remembered at most; the one silent for longest is forgotten first.
MAX_CALL_SITES = 256

#: Levels that are limited. Less severe ones are off in production, critical ones must not be lost.
LIMITED_LEVELS = frozenset(('WARNING', 'ERROR'))

#: Bound fields that have a name of their own in the line; others are put under `extra`.
BOUND_FIELDS = ('request_id', 'trace_id')

CallSite = tuple[str, int]


class CallSiteWindow(msgspec.Struct):
    """What one place has logged in its current window; `opened_s` is monotonic."""

    opened_s: float
    logged: int = 0
    suppressed: int = 0


class CallSiteLimit:
    """Limits repeated messages of one place of the code, in bounded memory."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with no place known; `clock` gives seconds."""
        self.clock = clock
        self.call_sites: OrderedDict[CallSite, CallSiteWindow] = OrderedDict()

    def admit(self, call_site: CallSite) -> int | None:
        """Count a message.

        Returns:
            None when the message is to be suppressed, else the number of messages of the place
            that were suppressed since its last admitted one.
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
        """Return the current window of the place, a new one when the last has passed."""
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
    """Writes records as JSON lines; drops them when standard error is gone."""

    def __init__(self, vm_id: VmId, incarnation: Incarnation) -> None:
        """Keep the fields that each line carries."""
        self.identity = {'vm_id': vm_id, 'incarnation': incarnation}
        self.limit = CallSiteLimit()
        self.dropped = 0

    def write(self, message: 'Message') -> None:
        """Write one message; its text is the formatted exception, see `exception_only`."""
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
        """Encode a record; fields without content are left out."""
        bound = {name: str(held) for name, held in record['extra'].items()}
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
        # Escapes all but ASCII: a lone surrogate in a message cannot be written as UTF-8.
        return b'%b\n' % json.dumps(fields).encode('ascii')


class StandardLibraryBridge(logging.Handler):
    """Hands messages of the standard library's `logging` to loguru.

    aiohttp, asyncio and OpenTelemetry log there.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Pass on one message with the place it came from."""
        patched = logger.patch(lambda patch: self.copy_call_site(record, patch))
        patched.opt(exception=record.exc_info).log(level_of(record), '{}', record.getMessage())

    def copy_call_site(self, record: logging.LogRecord, target: 'Record') -> None:
        """Replace the bridge's own place by that of the message."""
        target['name'] = record.name
        target['line'] = record.lineno
        target['file'].path = record.pathname


def level_of(record: logging.LogRecord) -> str | int:
    """Return the level by name when loguru knows it, else by number."""
    try:
        return logger.level(record.levelname).name
    except ValueError:
        return record.levelno


def exception_only(record: 'Record') -> str:
    """Format a message as its exception alone, so that loguru does not format the rest too."""
    return '{exception}'


def log_uncaught(
    kind: type[BaseException],
    error: BaseException,
    trace: TracebackType | None,
) -> None:
    """Log an exception that ends the process."""
    if issubclass(kind, KeyboardInterrupt):
        return
    logger.opt(exception=(kind, error, trace)).critical('uncaught exception')


def configure_logging(level: str, vm_id: VmId, incarnation: Incarnation) -> None:
    """Log as JSON lines on standard error, including what libraries log.

    Bind `request_id` and `trace_id` by `logger.contextualize` to have them in each line.

    Args:
        level: least severe level that is logged: debug, info, warning, error or critical, in any
            case.
        vm_id: the entry's VM.
        incarnation: this life of the process.

    Raises:
        ValueError: the level is not known.
    """
    logger.remove()
    sink = JsonSink(vm_id, incarnation)
    logger.add(
        sink.write,
        level=level.upper(),
        format=exception_only,
        backtrace=False,
        # Values of variables in tracebacks could hold a caller's data.
        diagnose=False,
        catch=True,
    )
    logging.basicConfig(handlers=[StandardLibraryBridge()], level=level.upper(), force=True)
    logging.captureWarnings(capture=True)
    sys.excepthook = log_uncaught
