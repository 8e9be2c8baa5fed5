"""Seeded search over injected log faults: outcomes of appends reported to callers, and content of a replica."""

import asyncio
import random

import pytest

from marigoldlift.errors import AppendOutcomeUnknownError, AppendRefusedError, LogUnavailableError
from marigoldlift.replication.api import Producer
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import Cancelled
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.supervision import FaultBoundary
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime

#: How long faults are injected, and how long late appends may still arrive after that, in s.
FAULTS_S = 20
SETTLED_S = 15

FAULTS = (None, *LogFault)
SEEDS = range(20)
APPENDS = 60
KEYS = 40

#: Share of records that drop a key, and of records after which the history is dropped, in percent.
DROPPED_PERCENT = 20
FORGOTTEN_PERCENT = 3


async def inject_faults(client, rng):
    """Switch between faults of the log at random."""
    until = asyncio.get_running_loop().time() + FAULTS_S
    while asyncio.get_running_loop().time() < until:
        client.fault = rng.choice(FAULTS)
        client.fault_share = rng.choice((0.4, 1))
        client.answer_s = rng.uniform(0.004, 0.3)
        await asyncio.sleep(rng.uniform(0.05, 4))
    client.fault = None


async def append_later(appender, rng, number, reported):
    """Append a group of records after a random delay, and store the outcome reported to the caller."""
    await asyncio.sleep(rng.uniform(0, FAULTS_S))
    group = [Cancelled(SubmissionId(f'{number}-{part}')) for part in range(rng.randint(1, 3))]
    keys = tuple(f'c/{record.submission}' for record in group)
    try:
        reported[keys] = await appender.append_all(group, rng.uniform(0.01, 3))
    except AppendOutcomeUnknownError:
        reported[keys] = None
    except AppendRefusedError:
        reported[keys] = 'refused'


@pytest.mark.parametrize('seed', SEEDS)
async def test_callers_get_the_outcome_of_their_records(seed):
    """Guards against reporting "stored" or "refused" wrongly, and against storing a group in part."""
    rng = random.Random(seed)
    client = LogClient(MemoryLog(), rng)
    appender = Appender(client, Producer('e', 1), asyncio.get_running_loop().time, Metrics())
    running = asyncio.create_task(appender.run())
    reported = {}
    callers = [append_later(appender, rng, number, reported) for number in range(APPENDS)]
    await asyncio.gather(inject_faults(client, rng), *callers)
    await asyncio.sleep(SETTLED_S)
    running.cancel()
    stored = [found.key for found in client.log.records]
    assert len(stored) == len(set(stored))
    for keys, answer in reported.items():
        present = [key for key in keys if key in stored]
        assert len(present) in {0, len(keys)}
        if answer == 'refused':
            assert not present
        elif answer is not None:
            assert tuple(stored[answer : answer + len(keys)]) == keys
    assert not appender.fenced


class Content:
    """Newest content of each key, built by applying all records."""

    def __init__(self):
        """Start empty."""
        self.newest = {}

    def apply(self, stored):
        """Apply one record."""
        self.newest[stored.key] = stored.content


async def write(log, rng):
    """Write to random keys, drop some of them, and drop the history from time to time."""
    for number in range(int(FAULTS_S / 0.02)):
        await asyncio.sleep(0.02)
        content = b'' if rng.randrange(100) < DROPPED_PERCENT else b'%d' % number
        log.store([(f'k{rng.randrange(KEYS):02}', content)])
        if rng.randrange(100) < FORGOTTEN_PERCENT:
            log.drop_history()


@pytest.mark.parametrize('seed', SEEDS)
async def test_synchronized_replica_holds_all_earlier_records(seed):
    """Guards against "no such submission" after a snapshot whose pages were read at different times."""
    rng = random.Random(seed)
    client = LogClient(MemoryLog(), rng)
    client.page = rng.choice((1, 3, KEYS))
    client.answer_s = rng.choice((0.004, 0.03))
    content = Content()
    clock = asyncio.get_running_loop().time
    replica = Replica(client, content.apply, clock, 0.05, FaultBoundary(clock, Metrics()))
    running = asyncio.create_task(replica.run())
    writing = asyncio.create_task(write(client.log, rng))
    answered = 0
    while not writing.done():
        await asyncio.sleep(rng.uniform(0, 0.1))
        before = {key: stored.offset for key, stored in client.log.newest.items()}
        try:
            await replica.synchronize()
        except LogUnavailableError:
            continue
        answered += 1
        unchanged = {key for key, offset in before.items() if is_newest(client.log, key, offset)}
        assert all(content.newest.get(key) == client.log.newest[key].content for key in unchanged)
    running.cancel()
    assert answered


def is_newest(log, key, offset):
    """Return whether the record at an offset is still the newest of its key."""
    return key in log.newest and log.newest[key].offset == offset
