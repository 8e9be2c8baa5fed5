"""Applies the records of one stream to its state machine, each once and in order."""

from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.ids import Offset
from marigoldlift.journal.messages import Record, SnapshotChunk, decode_record
from marigoldlift.journal.sequences import BatchSequences, ProducerMark
from marigoldlift.journal.snapshots import (
    SnapshotAssembler,
    SnapshotMark,
    SnapshotSchedule,
    mark_of,
    without_body,
)
from marigoldlift.journal.state import Applied, Listener, StateMachine, StreamSnapshot, Verdict
from marigoldlift.journal.tail import RecordTail
from marigoldlift.platform.messages import LogRecord

__all__ = ('ReadBack', 'StreamApplier')

#: Called with each record that was applied, its position in its batch, and the result.
ReadBack = Callable[[LogRecord, int, Applied], None]

ACCEPTED = Verdict(accepted=True)
UNDECODABLE = Verdict(accepted=False, reason='undecodable')
FAULT = Verdict(accepted=False, reason='internal')


class ReplicaState(msgspec.Struct):
    """Body of a snapshot: the machine's dump, and what the replica itself has to remember."""

    marks: list[ProducerMark]
    newest_snapshot: SnapshotMark | None
    machine: bytes


class StreamApplier:
    """State of a replica without its I/O; it only moves forward.

    Attributes:
        applied: offset of the last record applied.
        skipped: records that did not decode or whose application failed.
    """

    def __init__(
        self,
        machine: StateMachine,
        tail: RecordTail,
        schedule: SnapshotSchedule,
        read_back: ReadBack,
        progressed: Callable[[], None],
    ) -> None:
        """Start before the first record; `progressed` is called when `applied` has moved."""
        self.machine = machine
        self.tail = tail
        self.schedule = schedule
        self.read_back = read_back
        self.progressed = progressed
        self.applied = Offset(0)
        self.skipped = 0
        self.listeners: list[Listener] = []
        self.sequences = BatchSequences()
        self.assembler = SnapshotAssembler()

    def apply_page(self, records: Iterable[LogRecord]) -> None:
        """Apply consecutive records; those that were applied before are ignored.

        Raises:
            PlatformError: a record is missing; those before it were applied.
        """
        for record in records:
            if record.offset > self.applied + 1:
                raise PlatformError(f'offset {record.offset} follows {self.applied}')
            if record.offset > self.applied:
                self.apply_record(record)
        self.progressed()

    def apply_record(self, record: LogRecord) -> None:
        """Apply the next record unless it is a duplicate."""
        position = self.sequences.admit(record)
        self.applied = record.offset
        self.tail.append(record)
        if position is not None:
            verdict = self.apply_payload(record)
            self.read_back(record, position, Applied(record.offset, verdict))

    def apply_payload(self, record: LogRecord) -> Verdict:
        """Decode a record and hand it to whom it concerns."""
        try:
            decoded = decode_record(record.payload)
        except msgspec.MsgspecError as error:
            self.skipped += 1
            logger.error('record {} does not decode: {}', record.offset, error)
            return UNDECODABLE
        if isinstance(decoded, SnapshotChunk):
            return self.note_chunk(decoded)
        verdict = self.apply_to_machine(record.offset, decoded)
        self.tell_listeners(record.offset, decoded, verdict)
        return verdict

    def note_chunk(self, chunk: SnapshotChunk) -> Verdict:
        """Look whether a snapshot is complete in the stream; its content is known already."""
        if self.assembler.add(without_body(chunk)):
            self.schedule.note(mark_of(chunk))
        return ACCEPTED

    def apply_to_machine(self, offset: Offset, record: Record) -> Verdict:
        """Apply a record to the machine; a fault in it must not stop every reader for good."""
        try:
            return self.machine.apply(offset, record)
        except Exception:
            self.skipped += 1
            logger.exception('record {} could not be applied', offset)
            return FAULT

    def tell_listeners(self, offset: Offset, record: Record, verdict: Verdict) -> None:
        """Call all listeners; a fault in one does not keep the record from the others."""
        for listener in self.listeners:
            try:
                listener(offset, record, verdict)
            except Exception:
                logger.exception('listener failed on record {}', offset)

    def snapshot(self) -> StreamSnapshot:
        """Encode the state as of the last applied record."""
        state = ReplicaState(
            self.sequences.dump(),
            self.schedule.newest,
            self.machine.dump(),
        )
        return StreamSnapshot(self.applied, msgspec.msgpack.encode(state))

    def restore(self, snapshot: StreamSnapshot) -> bool:
        """Take over a newer state; false when it is not newer or does not decode."""
        if snapshot.as_of <= self.applied:
            return False
        try:
            self.take_over(snapshot)
        except Exception:
            logger.exception('snapshot as of {} could not be restored', snapshot.as_of)
            return False
        self.applied = snapshot.as_of
        self.tail.restart(Offset(snapshot.as_of + 1))
        self.progressed()
        return True

    def take_over(self, snapshot: StreamSnapshot) -> None:
        """Replace all state by that of a snapshot.

        Raises:
            msgspec.MsgspecError: the snapshot does not decode.
        """
        state = msgspec.msgpack.decode(snapshot.body, type=ReplicaState)
        self.machine.restore(snapshot.as_of, state.machine)
        self.sequences.restore(state.marks)
        self.schedule.note(state.newest_snapshot)
