"""Group commit: records wait in a buffer, and one batch at a time is appended."""

from collections.abc import Callable
from enum import Enum

import msgspec

from marigoldlift.errors import InvalidInputError, OverloadedError
from marigoldlift.journal.sequences import batch_sequence

__all__ = ('AppendOutcome', 'Batch', 'BatchLimits', 'GroupCommitBuffer', 'append_interval_s')

#: Appends per second that the entries of one failure domain share.
APPENDS_PER_S = 40

#: Appends beyond the first one that may follow at once after a quiet time.
BURST_APPENDS = 2


class BatchLimits(msgspec.Struct, frozen=True):
    """Bounds of the buffer.

    Attributes:
        batch_records: records of one batch; at most `sequences.MAX_BATCH_RECORDS`.
        batch_bytes: bytes of one batch, and so of one record; below the 1 MiB body that HTTP
            servers usually accept.
        total_records: records not yet read back, waiting or appended.
        total_bytes: bytes of the records that wait.
    """

    batch_records: int = 500
    batch_bytes: int = 524_288
    total_records: int = 10_000
    total_bytes: int = 4_194_304


class AppendOutcome(Enum):
    """What is known after one attempt to append a batch."""

    answered = 'answered'
    in_doubt = 'in_doubt'
    no_effect = 'no_effect'


class Batch(msgspec.Struct):
    """Records that are appended together.

    Attributes:
        tickets: numbers that the buffer gave to the records.
        in_doubt: whether an attempt ended without an answer.
    """

    sequence: int
    tickets: tuple[int, ...]
    payloads: tuple[bytes, ...]
    in_doubt: bool = False


def append_interval_s(live_entries: int) -> float:
    """Return the least time between appends of one entry, in seconds."""
    return max(1, live_entries) / APPENDS_PER_S


class GroupCommitBuffer:
    """Records that wait, and the batch in flight.

    A batch of which every attempt surely had no effect goes back to the front of the buffer and
    gets a new sequence. A batch in doubt keeps its sequence and stays in flight until an attempt
    is answered or the batch is seen in the stream.

    Attributes:
        pending: payload of each waiting record by ticket, the oldest first.
        positions: (sequence, position) of each appended record that is not yet read back.
        tickets: the reverse of `positions`.
    """

    def __init__(self, limits: BatchLimits, pace: Callable[[], float]) -> None:
        """Start empty; `pace` returns the least seconds between two appends."""
        self.limits = limits
        self.pace = pace
        self.pending: dict[int, bytes] = {}
        self.pending_bytes = 0
        self.in_flight: Batch | None = None
        self.positions: dict[int, tuple[int, int]] = {}
        self.tickets: dict[tuple[int, int], int] = {}
        self.last_ticket = 0
        self.last_number = 0
        self.next_append_s = float('-inf')

    def add(self, payload: bytes) -> int:
        """Let a record wait, and return its ticket.

        Raises:
            InvalidInputError: the record is larger than a batch.
            OverloadedError: the buffer is full.
        """
        self.check_room(len(payload))
        self.last_ticket += 1
        self.pending[self.last_ticket] = payload
        self.pending_bytes += len(payload)
        return self.last_ticket

    def withdraw(self, ticket: int) -> bool:
        """Give up a record; true only if it surely is in no append, now or later."""
        payload = self.pending.pop(ticket, None)
        if payload is not None:
            self.pending_bytes -= len(payload)
            return True
        self.forget(ticket)
        return False

    def delay_s(self, now_s: float) -> float | None:
        """Return the seconds until the next append, None when there is nothing to append."""
        if self.in_flight is None and not self.pending:
            return None
        return max(0, self.next_append_s - now_s)

    def next_batch(self, now_s: float) -> Batch:
        """Return the batch in flight, or form one of the oldest records.

        A quiet time saves up a burst of appends: the steps of one charge or job follow each other,
        and each would wait out the pace without it. The mean rate stays within the budget.
        """
        pace_s = self.pace()
        saved_up_s = now_s - BURST_APPENDS * pace_s
        self.next_append_s = max(self.next_append_s, saved_up_s) + pace_s
        if self.in_flight is None:
            self.in_flight = self.form_batch()
        return self.in_flight

    def finish_attempt(self, batch: Batch, outcome: AppendOutcome) -> None:
        """Take note of how an attempt ended, unless the batch was seen in the stream before."""
        if self.in_flight is not batch:
            return
        if outcome is AppendOutcome.in_doubt:
            batch.in_doubt = True
        elif outcome is AppendOutcome.answered:
            self.in_flight = None
        elif not batch.in_doubt:
            self.put_back(batch)

    def note_seen(self, sequence: int) -> None:
        """Take note that the batch with this sequence, or a later one, is in the stream."""
        if self.in_flight is not None and self.in_flight.sequence <= sequence:
            self.in_flight = None

    def take_ticket(self, sequence: int, position: int) -> int | None:
        """Return the ticket of a record that was read back, None when it was given up."""
        ticket = self.tickets.get((sequence, position))
        if ticket is not None:
            self.forget(ticket)
        return ticket

    def check_room(self, size: int) -> None:
        """Raise unless a record of this size may wait.

        Raises:
            InvalidInputError: the record is larger than a batch.
            OverloadedError: the buffer is full.
        """
        if size > self.limits.batch_bytes:
            raise InvalidInputError(f'record of {size} bytes is larger than a batch')
        if len(self.pending) + len(self.positions) >= self.limits.total_records:
            raise OverloadedError('too many records are not yet read back from the log')
        if self.pending_bytes + size > self.limits.total_bytes:
            raise OverloadedError('too many bytes wait for the log')

    def form_batch(self) -> Batch:
        """Move the oldest records that fit into one batch out of the buffer."""
        chosen = self.choose_tickets()
        payloads = tuple(self.pending.pop(ticket) for ticket in chosen)
        self.pending_bytes -= sum(map(len, payloads))
        self.last_number += 1
        batch = Batch(batch_sequence(self.last_number, len(chosen)), chosen, payloads)
        for position, ticket in enumerate(chosen):
            self.positions[ticket] = (batch.sequence, position)
            self.tickets[batch.sequence, position] = ticket
        return batch

    def choose_tickets(self) -> tuple[int, ...]:
        """Return the tickets of the oldest records that fit into one batch."""
        chosen: list[int] = []
        room = self.limits.batch_bytes
        for ticket, payload in self.pending.items():
            room -= len(payload)
            if room < 0 or len(chosen) == self.limits.batch_records:
                break
            chosen.append(ticket)
        return tuple(chosen)

    def put_back(self, batch: Batch) -> None:
        """Let the records of a batch wait again, except those that were given up."""
        self.in_flight = None
        kept = {
            ticket: payload
            for ticket, payload in zip(batch.tickets, batch.payloads, strict=True)
            if ticket in self.positions
        }
        for ticket in kept:
            self.forget(ticket)
        self.pending = kept | self.pending
        self.pending_bytes += sum(map(len, kept.values()))

    def forget(self, ticket: int) -> None:
        """Drop the position of an appended record."""
        position = self.positions.pop(ticket, None)
        if position is not None:
            self.tickets.pop(position)
