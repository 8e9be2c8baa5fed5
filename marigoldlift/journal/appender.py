"""Appends proposed records in batches and matches them with what is read back."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack

from loguru import logger

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    LogUnavailableError,
    PlatformError,
)
from marigoldlift.ids import StreamId
from marigoldlift.journal.batching import AppendOutcome, Batch, GroupCommitBuffer
from marigoldlift.journal.settings import ReplicaSettings
from marigoldlift.journal.state import Applied
from marigoldlift.platform.api import LogService
from marigoldlift.platform.messages import LogRecord
from marigoldlift.util import loop_now

__all__ = ('BatchAppender',)

# A timer may fire this much early; sleeping again for the rest would only spin.
TIMER_SLACK_S = 0.001

#: Outcomes by the type of the error, the most special first; any other error leaves doubt.
OUTCOMES = (
    (AppendOutcomeUnknownError, AppendOutcome.in_doubt),
    (LogUnavailableError, AppendOutcome.no_effect),
    (AppendRefusedError, AppendOutcome.no_effect),
    (PlatformError, AppendOutcome.in_doubt),
)


class BatchAppender:
    """Writer of one stream; has one append in progress at a time.

    Attributes:
        waiting: future of each proposal by the buffer's ticket.
    """

    def __init__(
        self,
        log: LogService,
        stream: StreamId,
        producer: str,
        pace: Callable[[], float],
        settings: ReplicaSettings,
    ) -> None:
        """Write to `stream` as `producer`, which no other process ever was or will be."""
        self.log = log
        self.stream = stream
        self.producer = producer
        self.buffer = GroupCommitBuffer(settings.limits, pace)
        self.backoff = settings.new_backoff()
        self.waiting: dict[int, asyncio.Future[Applied]] = {}
        self.added = asyncio.Event()

    async def propose(self, payload: bytes, timeout_s: float) -> Applied:
        """Append a record and wait until it was read back and applied.

        Raises:
            InvalidInputError: the record is larger than a batch.
            OverloadedError: the buffer is full.
            LogUnavailableError: the record is not and never will be in the stream.
            AppendOutcomeUnknownError: the record may be in the stream, or appear there later.
        """
        ticket = self.buffer.add(payload)
        applied: asyncio.Future[Applied] = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = applied
        self.added.set()
        with ExitStack() as cleanup:
            cleanup.callback(self.give_up, ticket)
            await asyncio.wait((applied,), timeout=timeout_s)
            if applied.done():
                return applied.result()
            raise timeout_error(self.buffer.withdraw(ticket), timeout_s)

    def give_up(self, ticket: int) -> None:
        """Forget a proposal that was resolved, timed out or was cancelled."""
        self.waiting.pop(ticket)
        self.buffer.withdraw(ticket)

    async def run(self) -> None:
        """Append for ever."""
        while True:
            delay_s = self.buffer.delay_s(loop_now())
            if delay_s is None:
                self.added.clear()
                await self.added.wait()
            elif delay_s > TIMER_SLACK_S:
                await asyncio.sleep(delay_s)
            else:
                await self.append_once()

    async def append_once(self) -> None:
        """Try once to append the batch that is due; pause after a failure."""
        batch = self.buffer.next_batch(loop_now())
        outcome = await self.attempt(batch)
        self.buffer.finish_attempt(batch, outcome)
        if outcome is AppendOutcome.answered:
            self.backoff.reset()
        else:
            await asyncio.sleep(self.backoff.next_delay_s())

    async def attempt(self, batch: Batch) -> AppendOutcome:
        """Send a batch and tell what is known afterwards."""
        try:
            await self.log.append(self.stream, self.producer, batch.sequence, batch.payloads)
        except PlatformError as error:
            logger.warning('append to {} failed: {} {}', self.stream, error.code, error.reason)
            return outcome_of(error)
        return AppendOutcome.answered

    def note_read_back(self, record: LogRecord, position: int, applied: Applied) -> None:
        """Resolve the proposal of a record that was applied, if it is one of this writer."""
        if record.producer != self.producer:
            return
        self.buffer.note_seen(record.sequence)
        ticket = self.buffer.take_ticket(record.sequence, position)
        future = None if ticket is None else self.waiting.get(ticket)
        if future is not None:
            future.set_result(applied)


def outcome_of(error: PlatformError) -> AppendOutcome:
    """Return what is known after an append that failed."""
    return next(outcome for kind, outcome in OUTCOMES if isinstance(error, kind))


def timeout_error(withdrawn: bool, timeout_s: float) -> LogUnavailableError:
    """Return the error for a proposal that was not read back in time."""
    if withdrawn:
        return LogUnavailableError(f'record was not appended within {timeout_s} s')
    return AppendOutcomeUnknownError(f'record was not read back within {timeout_s} s')
