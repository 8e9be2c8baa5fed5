"""Search for histories of faults in which replicas lose, repeat or disagree."""

import asyncio
from collections import Counter

import looptime
from hypothesis import given, settings, strategies

from marigoldlift import errors
from marigoldlift.journal.messages import SnapshotChunk, decode_record
from marigoldlift.journal.snapshots import SnapshotAssembler
from marigoldlift.journal.tests.conftest import Cluster, label, labels_of, stop

FAULTS = ('refused', 'unsent', 'lost', 'late', 'twice')
REPLICAS = 2

steps = strategies.one_of(
    strategies.tuples(strategies.just('propose'), strategies.integers(0, REPLICAS - 1)),
    strategies.tuples(strategies.just('fault'), strategies.sampled_from(FAULTS)),
    strategies.tuples(strategies.just('restart'), strategies.integers(0, REPLICAS - 1)),
    strategies.tuples(strategies.just('snapshot'), strategies.integers(0, REPLICAS - 1)),
    strategies.tuples(
        strategies.sampled_from(('outage', 'heal', 'retain', 'late')), strategies.none()
    ),
    strategies.tuples(strategies.just('wait'), strategies.sampled_from((0.05, 0.3, 3))),
)


class History:
    """Takes steps, and keeps what the callers were told of each label.

    Attributes:
        told: `acknowledged`, `absent` or `in_doubt` by label.
        seen: labels and offset of each running replica at the step before.
    """

    def __init__(self):
        """Start two replicas."""
        self.cluster = Cluster()
        self.told = {}
        self.proposals = set()
        self.replicas = [self.start() for _ in range(REPLICAS)]
        self.seen = {}

    def start(self):
        """Start a replica; peers may ask it."""
        replica = self.cluster.new_replica()
        self.cluster.relay.peer = replica
        return replica, asyncio.create_task(replica.run())

    async def take(self, step, argument):
        """Take one step and check that no replica went back."""
        await getattr(self, step)(argument)
        for replica, _task in self.replicas:
            offset, labels = self.seen.get(replica, (0, []))
            assert replica.applied >= offset
            assert labels_of(replica)[: len(labels)] == labels
            self.seen[replica] = (replica.applied, list(labels_of(replica)))

    async def propose(self, index):
        """Propose the next label on one replica."""
        text = f'label-{len(self.told)}'
        self.told[text] = 'in_doubt'
        task = asyncio.create_task(self.note_outcome(self.replicas[index][0], text))
        self.proposals.add(task)

    async def note_outcome(self, replica, text):
        """Propose and keep what the caller is told."""
        try:
            await replica.propose(label(text), 1)
        except errors.AppendOutcomeUnknownError:
            return
        except errors.LogUnavailableError:
            self.told[text] = 'absent'
        else:
            self.told[text] = 'acknowledged'

    async def fault(self, kind):
        """Let a coming append fail."""
        self.cluster.log.faults.append(kind)

    async def restart(self, index):
        """Replace a replica by a new process without state."""
        await stop(self.replicas[index][1])
        self.replicas[index] = self.start()

    async def snapshot(self, index):
        """Write a snapshot half a retention later."""
        self.cluster.wall_ms += 51_000
        await self.replicas[index][0].write_snapshot_if_due(preferred=True)

    async def outage(self, _argument):
        """Take the log away."""
        self.cluster.log.reachable = False

    async def heal(self, _argument):
        """Bring the log back."""
        self.cluster.log.reachable = True

    async def retain(self, _argument):
        """Drop all records that a complete snapshot stands for."""
        assembler = SnapshotAssembler()
        for record in self.cluster.log.records:
            decoded = decode_record(record.payload)
            if isinstance(decoded, SnapshotChunk):
                assembler.add(decoded)
        if assembler.newest is not None:
            self.cluster.log.oldest = assembler.newest.as_of + 1

    async def late(self, _argument):
        """Let delayed appends take effect."""
        self.cluster.log.deliver_late()

    async def wait(self, duration_s):
        """Let time pass."""
        await asyncio.sleep(duration_s)

    async def finish(self):
        """Heal everything, and start one more replica."""
        self.cluster.log.faults.clear()
        await self.heal(None)
        await asyncio.sleep(5)
        self.cluster.log.deliver_late()
        self.replicas.append(self.start())
        await asyncio.sleep(5)
        await asyncio.gather(*self.proposals)

    def check(self):
        """Compare all replicas with each other and with what the callers were told."""
        replicas = [running[0] for running in self.replicas]
        states = [labels_of(replica) for replica in replicas]
        assert states[1:] == states[:-1]
        assert all(replica.caught_up for replica in replicas)
        counts = Counter(states[0])
        for text, told in self.told.items():
            allowed = {'acknowledged': {1}, 'absent': {0}, 'in_doubt': {0, 1}}[told]
            assert counts[text] in allowed, (text, told, counts[text])


async def run_history(history_steps):
    """Take all steps, then check."""
    history = History()
    for step, argument in history_steps:
        await history.take(step, argument)  # noqa: WPS476 the order matters
    await history.finish()
    history.check()
    for _replica, task in history.replicas:
        await stop(task)  # noqa: WPS476 each stop is short


@settings(max_examples=150)
@given(strategies.lists(steps, min_size=5, max_size=30))
def test_replicas_agree_in_any_history(history_steps):
    """Guards against lost, repeated or reverted records in any interleaving of faults."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(run_history(history_steps))
