"""State of one domain stream: the jobs and the keys whose home the failure domain is."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from marigoldlift.ids import JobId, KeyId, Offset
from marigoldlift.jobs.job_table import JobTable
from marigoldlift.jobs.key_table import KeyEntry, KeyTable
from marigoldlift.jobs.state import Job
from marigoldlift.journal import messages
from marigoldlift.journal.state import Verdict

__all__ = ('DomainState',)

ALREADY_APPLIED = Verdict(accepted=False, reason='already applied')
FOREIGN_RECORD = Verdict(accepted=False, reason='not a record of a failure domain')

#: Attribute of `DomainState` that a record changes.
TABLES: Mapping[type, str] = MappingProxyType(
    {
        messages.JobAccepted: 'jobs',
        messages.TasksAssigned: 'jobs',
        messages.TaskReleased: 'jobs',
        messages.TasksPreempted: 'jobs',
        messages.TaskFinished: 'jobs',
        messages.JobCancelled: 'jobs',
        messages.KeyClaimed: 'keys',
        messages.KeyClosed: 'keys',
    },
)


class DomainDump(msgspec.Struct):
    """Encoded form of the state; indexes are computed again.

    Attributes:
        newest_ms: newest writer's time that the stream has shown.
        jobs: in the order of acceptance.
        ended_jobs: ids in the order of ends.
        keys: in the order of their first records.
        closed_keys: ids in the order of ends.
    """

    newest_ms: int
    jobs: list[Job]
    ended_jobs: list[JobId]
    keys: list[KeyEntry]
    closed_keys: list[KeyId]


class DomainState:
    """State machine of a domain stream.

    Attributes:
        applied: offset of the last applied record, 0 before the first.
        jobs: table of jobs.
        keys: table of keys.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.applied = Offset(0)
        self.jobs = JobTable()
        self.keys = KeyTable()

    def apply(self, offset: Offset, record: messages.Record) -> Verdict:
        """Apply the record at an offset; one that is not newer than the last is ignored."""
        if offset <= self.applied:
            return ALREADY_APPLIED
        self.applied = offset
        name = TABLES.get(type(record))
        if name is None:
            return FOREIGN_RECORD
        self.advance(time_of(record))
        table: JobTable | KeyTable = getattr(self, name)
        return table.apply(offset, record)

    def advance(self, at_ms: int) -> None:
        """Let both tables forget what ended too long before a writer's time."""
        self.jobs.advance(at_ms)
        self.keys.advance(at_ms)

    def dump(self) -> bytes:
        """Encode the state as of the last applied offset; equal states give equal bytes."""
        store = self.jobs.store
        return encoder.encode(
            DomainDump(
                newest_ms=store.newest_ms,
                jobs=list(store.jobs.values()),
                ended_jobs=[job.job_id for job in store.ended.kept],
                keys=list(self.keys.keys.values()),
                closed_keys=[entry.key_id for entry in self.keys.closed],
            ),
        )

    def restore(self, as_of: Offset, body: bytes) -> None:
        """Replace the state by a newer one; one that is not newer is ignored.

        Raises:
            msgspec.ValidationError: the body is no state of this version; nothing is changed.
        """
        if as_of <= self.applied:
            return
        dump = decoder.decode(body)
        jobs = JobTable()
        jobs.advance(dump.newest_ms)
        jobs.store.load(dump.jobs, dump.ended_jobs)
        keys = KeyTable()
        keys.advance(dump.newest_ms)
        keys.load(dump.keys, dump.closed_keys)
        self.jobs = jobs
        self.keys = keys
        self.applied = as_of


def time_of(record: messages.Record) -> int:
    """Return the writer's time of a record in milliseconds, 0 when it has none."""
    if isinstance(record, messages.JobAccepted):
        return record.accepted_ms
    return getattr(record, 'at_ms', 0)


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(DomainDump)
