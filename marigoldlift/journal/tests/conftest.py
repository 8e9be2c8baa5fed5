"""A log in memory with faults, a machine that shows repeated records, and peers."""

import asyncio
import random
from collections import deque
from contextlib import asynccontextmanager

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings

from marigoldlift import errors
from marigoldlift.ids import JobId, StreamId
from marigoldlift.journal.messages import JobCancelled
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.settings import ReplicaSettings
from marigoldlift.journal.state import Verdict
from marigoldlift.platform.messages import AppendResult, LogRecord, RecordPage

STREAM = StreamId('domain-recife')
RETENTION_S = 100

hypothesis_settings.register_profile('fixed', derandomize=True, deadline=None)
hypothesis_settings.load_profile('fixed')


class FakeLog:
    """`LogService` of one stream.

    Attributes:
        faults: what happens to the next appends: `refused`, `unsent`, `lost` (answer lost after
            the effect), `late` (effect only at `deliver_late`), `twice`, or `ok`.
        reachable: false during an outage.
        delay_s: time that each append takes before its effect.
    """

    def __init__(self):
        """Start empty and without faults."""
        self.records = []
        self.oldest = 1
        self.faults = deque()
        self.late = []
        self.reachable = True
        self.delay_s = 0
        self.attempts = []

    @property
    def next(self):
        """Offset of the next record."""
        return len(self.records) + 1

    async def append(self, _stream, producer, sequence, payloads):
        """Append as the next fault wants it."""
        self.attempts.append(sequence)
        await asyncio.sleep(self.delay_s)
        fault = self.faults.popleft() if self.faults else 'ok'
        if fault == 'refused':
            raise errors.AppendRefusedError('429')
        if fault == 'unsent' or not self.reachable:
            raise errors.LogUnavailableError('connection refused')
        batch = (producer, sequence, payloads)
        if fault == 'late':
            self.late.append(batch)
        else:
            first = self.store(batch)
        if fault == 'twice':
            self.store(batch)
        if fault in {'lost', 'late'}:
            raise errors.AppendOutcomeUnknownError('timeout')
        return AppendResult(first, self.next)

    async def read(self, _stream, first, limit, wait_ms):
        """Read records; looks again every 40 ms while there is none."""
        while wait_ms > 0 and first >= self.next and self.reachable:
            await asyncio.sleep(0.04)
            wait_ms -= 40
        if not self.reachable:
            raise errors.LogUnavailableError('connection refused')
        if first < self.oldest:
            raise errors.RetentionPassedError(self.oldest)
        return RecordPage(self.oldest, self.next, self.records[first - 1 : first - 1 + limit])

    def store(self, batch):
        """Append a batch, and return its first offset."""
        producer, sequence, payloads = batch
        first = self.next
        for payload in payloads:
            self.records.append(LogRecord(self.next, producer, sequence, payload))
        return first

    def deliver_late(self):
        """Let the delayed appends take effect."""
        while self.late:
            self.store(self.late.pop(0))


class LabelMachine:
    """State machine that keeps every label it was given, repeated ones too."""

    def __init__(self):
        """Start without labels."""
        self.labels = []
        self.offset = 0

    def apply(self, offset, record):
        """Keep the label; a label `fault` fails and `no` is rejected."""
        assert offset > self.offset
        self.offset = offset
        if record.job_id == 'fault':
            raise ValueError('fault in the machine')
        if record.job_id == 'no':
            return Verdict(accepted=False, reason='rejected')
        self.labels.append(record.job_id)
        return Verdict(accepted=True)

    def dump(self):
        """Encode the labels."""
        return msgspec.msgpack.encode(self.labels)

    def restore(self, as_of, body):
        """Take over any labels, so that the replica's own check is tested."""
        self.labels = msgspec.msgpack.decode(body)
        self.offset = as_of


class FakeRelay:
    """`PeerRelay` to one replica; no answer while there is none."""

    def __init__(self):
        """Start without a peer."""
        self.peer = None

    async def read_records(self, _stream, first, limit):
        """Return the peer's tail."""
        return self.answering().tail(first, limit)

    async def read_snapshot(self, _stream):
        """Return the peer's state."""
        return self.answering().snapshot()

    def answering(self):
        """Return the peer."""
        if self.peer is None:
            raise errors.PeerUnavailableError('none', may_have_run=False)
        return self.peer


class Cluster:
    """Replicas of one stream over one log.

    Attributes:
        wall_ms: wall clock of all replicas.
    """

    def __init__(self):
        """Start with an empty log and no replica."""
        self.log = FakeLog()
        self.relay = FakeRelay()
        self.wall_ms = 1_000_000
        self.started = 0

    def new_replica(self, **changes):
        """Make a replica with its own producer name."""
        self.started += 1
        settings = ReplicaSettings(
            retention_s=RETENTION_S,
            page_records=7,
            uniform=random.Random(self.started).random,
            wall_clock=lambda: self.wall_ms,
            **changes,
        )
        return StreamReplica(
            self.log,
            STREAM,
            f'producer-{self.started}',
            LabelMachine(),
            self.relay,
            pace=lambda: 0.1,
            settings=settings,
        )

    @asynccontextmanager
    async def running(self, **changes):
        """Run a new replica."""
        replica = self.new_replica(**changes)
        task = asyncio.create_task(replica.run())
        yield replica
        await stop(task)


async def propose_all(replica, labels):
    """Propose the labels one after the other."""
    for text in labels:
        await replica.propose(label(text), 5)  # noqa: WPS476 the order matters


async def stop(task):
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait((task,))
    assert task.cancelled()


def label(text):
    """Return a record that carries a label."""
    return JobCancelled(0, JobId(text))


def labels_of(replica):
    """Return the labels that a replica has applied."""
    return replica.applier.machine.labels


@pytest.fixture
def cluster():
    """Cluster without a replica."""
    return Cluster()
