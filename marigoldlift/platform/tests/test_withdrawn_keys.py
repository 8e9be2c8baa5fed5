"""Keys that are withdrawn while an entry is cut off from the store, paused or restarted."""

import asyncio
import random

import msgspec
import pytest

from marigoldlift.errors import LogUnavailableError
from marigoldlift.platform.callers import Gatekeeper, Refusal
from marigoldlift.platform.configuration import ConfigurationFreshness, ConfigurationReader
from marigoldlift.platform.node_settings import parse_node_settings
from marigoldlift.platform.tests.test_front import QUEUE
from marigoldlift.platform.tests.test_node_settings import GOOD
from marigoldlift.replication.api import LogPage
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.access import Caller
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime

BOUNDS = 'bounds.config_apply_ms=3000\nbounds.max_stretch_ms=6000\nbounds.revoke_ms=5000\n'
SETTINGS = parse_node_settings(GOOD + BOUNDS)
STRICT = parse_node_settings(f'{GOOD}{BOUNDS}bounds.strict_revoke=true\n')
SETTLED_S = 0.5
PAUSE_S = 12.0
ADMITTED = Caller('a')

#: Longest time after which a read that was sent before a fault is answered, in s.
READ_S = 1.5


class KeyedEntry:
    """What an entry reads and decides of keys."""

    def __init__(self, log, settings):
        """Start without a configuration."""
        clock = asyncio.get_running_loop().time
        self.log = LogClient(log, random.Random(1))
        self.configuration = None
        faults = FaultBoundary(clock, Metrics())
        reader = ConfigurationReader(lambda newer: setattr(self, 'configuration', newer))
        self.replica = Replica(self.log, reader.apply, clock, 0.1, faults)
        freshness = ConfigurationFreshness(self.replica, clock, settings)
        self.gatekeeper = Gatekeeper(freshness, Metrics())
        self.following = asyncio.create_task(self.replica.run())

    def identify(self, *keys):
        """Return who the callers with these keys are."""
        headers = [(f'Bearer {key}',) for key in keys]
        return [self.gatekeeper.identify(key, self.configuration, QUEUE) for key in headers]


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


@pytest.mark.parametrize('fault', [LogFault.silent, LogFault.refuse])
@pytest.mark.parametrize(('settings', 'bound_s'), [(SETTINGS, 9), (STRICT, 5)])
async def test_withdrawn_key(log, start_entry, fault, settings, bound_s):
    """Guards against a store that answers some entries only: the others accept a withdrawn key for ever."""
    served, cut = await start_entry(), await start_entry(settings)
    cut.log.fault = fault
    await asyncio.sleep(READ_S)
    publish(log, 2, 'kept', 'new')
    await asyncio.sleep(SETTLED_S)
    assert served.identify('old', 'kept', 'new') == [Refusal.unknown_key, ADMITTED, ADMITTED]
    await asyncio.sleep(bound_s - READ_S - SETTLED_S - 2)
    assert cut.identify('old', 'kept', 'new') == [ADMITTED, ADMITTED, Refusal.stale]
    await asyncio.sleep(2)
    assert set(cut.identify('old', 'kept', 'new')) == {Refusal.stale}
    cut.log.fault = None
    await asyncio.sleep(SETTLED_S)
    assert cut.identify('old', 'kept', 'new') == [Refusal.unknown_key, ADMITTED, ADMITTED]


@pytest.mark.parametrize(('pause_s', 'left'), [(PAUSE_S, 0), (0, 1)])
async def test_old_or_partial_answer_confirms_nothing(start_entry, monkeypatch, pause_s, left):
    """Guards against a process that wakes and finds an answer of before its pause, or is several reads behind."""
    entry = await start_entry()
    entry.following.cancel()
    answer = await entry.log.read(entry.replica.offset, 0)
    await asyncio.sleep(PAUSE_S - pause_s)

    async def read_in_socket(start, wait_ms):
        await asyncio.sleep(pause_s)
        return msgspec.structs.replace(answer, end=answer.end + left)

    monkeypatch.setattr(entry.log, 'read', read_in_socket)
    await entry.replica.read(0)
    assert entry.replica.contact.last_response_at == entry.replica.clock()
    assert set(entry.identify('old', 'kept')) == {Refusal.stale}


async def test_restarted_entry_has_no_keys_before_it_reads(log, start_entry):
    """Guards against a withdrawn key that is in use again after a restart."""
    publish(log, 2, 'kept')
    log.drop_history()
    restarted = await start_entry(fault=LogFault.refuse)
    await asyncio.sleep(PAUSE_S)
    assert restarted.configuration is None
    restarted.log.fault = None
    await asyncio.sleep(SETTLED_S)
    assert restarted.identify('old', 'kept') == [Refusal.unknown_key, ADMITTED]


async def test_entry_that_knows_of_a_newer_configuration_does_not_use_its_keys(
    start_entry, monkeypatch
):
    """Guards against a withdrawn key that is in use while a large configuration is being read."""
    entry = await start_entry()
    size = 800_000

    async def cut_off(start, wait_ms):
        return LogPage(start + 1, [], size)

    async def read_slowly(start, size_bytes):
        await asyncio.sleep(PAUSE_S)
        raise LogUnavailableError('slow')

    monkeypatch.setattr(entry.log, 'read', cut_off)
    monkeypatch.setattr(entry.log, 'read_record', read_slowly)
    while not entry.replica.is_behind():
        await asyncio.sleep(0.01)
    assert set(entry.identify('old', 'kept')) == {ADMITTED}
    await asyncio.sleep(SETTINGS.configuration_s)
    assert set(entry.identify('old', 'kept')) == {Refusal.stale}
