"""Keys that are withdrawn while an entry is cut off from the store, paused or restarted."""

import asyncio
import random

import msgspec
import pytest

from marigoldlift.platform.callers import Gatekeeper, Refusal
from marigoldlift.platform.configuration import ConfigurationFreshness, ConfigurationReader
from marigoldlift.platform.node_settings import parse_node_settings
from marigoldlift.platform.tests.test_front import QUEUE
from marigoldlift.platform.tests.test_node_settings import GOOD
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.access import Caller
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime

BOUNDS = 'bounds.config_apply_ms=3000\nbounds.max_stretch_ms=6000\nbounds.revoke_ms=5000\n'
SETTINGS = parse_node_settings(GOOD + BOUNDS)
STRICT = parse_node_settings(f'{GOOD}{BOUNDS}bounds.strict_revoke=true\n')
READ_INTERVAL_S = 0.1
SETTLED_S = 0.5

#: Longest time after which a read that was sent before a fault is answered, in s.
READ_S = 1.5
PAUSE_S = 12.0


class KeyedEntry:
    """What an entry reads and decides of keys."""

    def __init__(self, log, settings=SETTINGS):
        """Start without a configuration."""
        clock = asyncio.get_running_loop().time
        self.log = LogClient(log, random.Random(1))
        self.configuration = None
        reader = ConfigurationReader(self.configure)
        faults = FaultBoundary(clock, Metrics())
        self.replica = Replica(self.log, reader.apply, clock, READ_INTERVAL_S, faults)
        freshness = ConfigurationFreshness(self.replica, clock, settings)
        self.gatekeeper = Gatekeeper(freshness, Metrics())
        self.following = asyncio.create_task(self.replica.run())

    def configure(self, configuration):
        """Put a configuration in force."""
        self.configuration = configuration

    def identify(self, key):
        """Return who a caller with a key is."""
        return self.gatekeeper.identify((f'Bearer {key}',), self.configuration, QUEUE)


def publish(log, version, *keys):
    """Store a configuration whose only workspace has these keys."""
    body = {'version': version, 'tenants': [{'name': 'a', 'api_keys': keys}]}
    log.store([('config', msgspec.json.encode(body))])


@pytest.fixture
async def log():
    """Return a log with a configuration of two keys."""
    opened = MemoryLog()
    publish(opened, 1, 'old', 'kept')
    return opened


@pytest.fixture
async def start_entry(log):
    """Return a function that starts an entry and lets it read the configuration."""
    started = []

    async def start(settings=SETTINGS, fault=None):
        entry = KeyedEntry(log, settings)
        entry.log.fault = fault
        started.append(entry)
        await asyncio.sleep(SETTLED_S)
        return entry

    yield start
    for entry in started:
        entry.following.cancel()


async def test_key_is_withdrawn_at_once_by_an_entry_that_reads(log, start_entry):
    """Guards against a key that stays in use until a later read."""
    entry = await start_entry()
    assert entry.identify('old') == Caller('a')
    publish(log, 2, 'kept', 'new')
    await asyncio.sleep(SETTLED_S)
    assert entry.identify('old') is Refusal.unknown_key
    assert entry.identify('new') == Caller('a')


@pytest.mark.parametrize('fault', [LogFault.silent, LogFault.refuse])
@pytest.mark.parametrize(('settings', 'bound_s'), [(SETTINGS, 9), (STRICT, 5)])
async def test_keys_expire_on_an_entry_that_is_cut_off(log, start_entry, fault, settings, bound_s):
    """Guards against a store that answers some entries only: the others accept a withdrawn key for ever."""
    served, cut = await start_entry(), await start_entry(settings)
    cut.log.fault = fault
    await asyncio.sleep(READ_S)
    publish(log, 2, 'kept')
    await asyncio.sleep(bound_s - READ_S - 2)
    assert served.identify('old') is Refusal.unknown_key
    assert cut.identify('old') == Caller('a')
    assert cut.identify('never') is Refusal.stale
    await asyncio.sleep(2)
    assert cut.identify('old') is Refusal.stale
    assert cut.identify('kept') is Refusal.stale
    assert served.identify('kept') == Caller('a')
    cut.log.fault = None
    await asyncio.sleep(SETTLED_S)
    assert cut.identify('old') is Refusal.unknown_key
    assert cut.identify('kept') == Caller('a')


async def test_old_answer_after_a_pause_confirms_nothing(log, start_entry, monkeypatch):
    """Guards against a process that wakes, reads an answer of before its pause, and accepts a withdrawn key."""
    entry = await start_entry()
    entry.following.cancel()
    answer = await entry.log.read(entry.replica.offset, 0)
    publish(log, 2, 'kept')

    async def read_in_socket(start, wait_ms):
        await asyncio.sleep(PAUSE_S)
        return answer

    monkeypatch.setattr(entry.log, 'read', read_in_socket)
    await entry.replica.read(0)
    assert entry.replica.last_response_at == entry.replica.clock()
    assert entry.identify('old') is Refusal.stale
    assert entry.identify('kept') is Refusal.stale


async def test_part_of_the_records_confirms_nothing(start_entry, monkeypatch):
    """Guards against an entry that is behind by several reads and takes each of them for the newest configuration."""
    entry = await start_entry()
    entry.following.cancel()
    confirmed_at = entry.replica.confirmed_at
    page = await entry.log.read(entry.replica.offset, 0)
    await asyncio.sleep(1)

    async def read_in_parts(start, wait_ms):
        return msgspec.structs.replace(page, end=page.end + 1)

    monkeypatch.setattr(entry.log, 'read', read_in_parts)
    await entry.replica.read(0)
    assert entry.replica.confirmed_at == confirmed_at


async def test_restarted_entry_has_no_keys_before_it_reads(log, start_entry):
    """Guards against a withdrawn key that is in use again after a restart."""
    await start_entry()
    publish(log, 2, 'kept')
    log.drop_history()
    restarted = await start_entry(fault=LogFault.refuse)
    await asyncio.sleep(PAUSE_S)
    assert restarted.configuration is None
    restarted.log.fault = None
    await asyncio.sleep(SETTLED_S)
    assert restarted.identify('old') is Refusal.unknown_key
    assert restarted.identify('kept') == Caller('a')
