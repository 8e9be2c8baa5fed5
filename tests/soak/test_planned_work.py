"""Stops, restarts and reconfigures entries under continuous client traffic.

`SOAK_SEEDS=50 python -m pytest tests/soak` runs more seeds than the default of 2.
"""

import asyncio
import contextlib
import os
import random
import signal

import msgspec
import pytest
from loguru import logger

from marigoldlift.submissions.records import Outcome, Progress
from marigoldlift.submissions.record_codec import encode_record, record_key

from tests.soak.clients import HOST, PREFIX, Clients
from tests.soak.conftest import configuration
from tests.soak.entries import EntryProcess

pytestmark = pytest.mark.integration

#: Seeds to run; the environment variables `SOAK_FIRST` and `SOAK_SEEDS` set the first one and their number.
SEEDS = range(
    int(os.environ.get('SOAK_FIRST', '1')),
    int(os.environ.get('SOAK_FIRST', '1')) + int(os.environ.get('SOAK_SEEDS', '2')),
)

ENTRIES = 3
CLIENTS_PER_KIND = 6

#: Duration of the traffic, in s; a stop takes at least 3 s.
TRAFFIC_S = 13.0

#: Maximum pause between two maintenance steps, in s.
PAUSE_S = 0.8

#: Maximum delay that the store adds to a call while it is slow, in s.
SLOW_S = 0.5

REPORT_INTERVAL_S = 0.3

#: At the end, one in `SAMPLE` acknowledged submissions is queried, over `CONNECTIONS` connections to each entry.
SAMPLE = 5
CONNECTIONS = 20


class PlannedMaintenance:
    """Runs random maintenance steps that may overlap: stops, signals, new settings and configurations, slow store."""

    def __init__(self, rng, store, entries):
        self.rng = rng
        self.store = store
        self.entries = entries
        self.version = 1
        self.tasks = []
        self.step_counts = {}
        self.steps = (
            self.stop,
            self.stop,
            self.stop_with_signals,
            self.send_sighup,
            self.change_settings,
            self.change_settings_without_signal,
            self.configure,
            self.slow_store,
        )

    async def run(self):
        """Start random steps at random intervals, without waiting for their ends."""
        while True:
            step = self.rng.choice(self.steps)
            self.step_counts[step.__name__] = self.step_counts.get(step.__name__, 0) + 1
            self.tasks.append(asyncio.create_task(step(self.rng.choice(self.entries))))
            await asyncio.sleep(self.rng.uniform(0, PAUSE_S))

    async def stop(self, entry):
        await entry.stop()

    async def stop_with_signals(self, entry):
        """Send more signals while an entry stops."""
        stopping = asyncio.create_task(entry.stop())
        for signum in (signal.SIGHUP, signal.SIGTERM):
            await asyncio.sleep(self.rng.uniform(0, 2))
            if entry.stopping:
                entry.send(signum)
        await stopping

    async def send_sighup(self, entry):
        if await entry.is_ready():
            entry.send(signal.SIGHUP)

    async def change_settings(self, entry):
        await self.change_settings_without_signal(entry)
        await self.send_sighup(entry)

    async def change_settings_without_signal(self, entry):
        seeds = ','.join(other.peer_address for other in self.entries if other is not entry)
        changes = {'seeds': seeds, 'platform.addr': self.rng.choice(self.store.addresses)}
        entry.write_settings(changes)

    async def configure(self, _entry):
        self.version += self.rng.randint(1, 4)
        self.store.configure(configuration(self.version, self.rng.randint(1, 4)))

    async def slow_store(self, _entry):
        self.store.delay_s = SLOW_S
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        self.store.delay_s = 0


async def report_running(store, clients):
    """Store progress records that report every second submission as running, as its leader would."""
    reported = 0
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        names = clients.accepted[reported:]
        reported += len(names)
        records = [Progress(name, 0, Outcome.running) for name in names[::2]]
        if records:
            stored = [(record_key(record), encode_record(record)) for record in records]
            store.topic('keyed.work').store(stored)


async def find_unknown_ids(entry, names):
    """Query submissions at an entry; return the ids and status lines of those it does not find."""
    unknown = []
    reader, writer = await asyncio.open_connection(entry.ip, entry.front_port)
    with contextlib.closing(writer):
        for name in names:
            writer.write(f'GET {PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode())
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            body = await reader.readexactly(
                int(head.partition('content-length: ')[2].partition('\r\n')[0])
            )
            if ' 200 ' not in head or not msgspec.json.decode(body).get('state'):
                unknown.append((name, head[:20]))
    return unknown


@pytest.fixture
async def entries(store, tmp_path):
    """Provide entries that are ready."""
    started = [EntryProcess(number, tmp_path, store.addresses[0]) for number in range(ENTRIES)]
    for entry in started:
        entry.start()
    try:
        for entry in started:
            await entry.wait_ready()
        yield started
    finally:
        for entry in started:
            await entry.end()


@pytest.mark.parametrize('seed', SEEDS)
async def test_planned_maintenance_interrupts_no_request(seed, store, entries):
    """Guards against requests that a stopping entry leaves unanswered, and submissions lost in a restart."""
    rng = random.Random(seed)
    clients = Clients(random.Random(seed), entries)
    maintenance = PlannedMaintenance(rng, store, entries)
    clients.start(CLIENTS_PER_KIND)
    background = [
        asyncio.create_task(maintenance.run()),
        asyncio.create_task(report_running(store, clients)),
    ]
    await asyncio.sleep(TRAFFIC_S)
    for task in background:
        task.cancel()
    await asyncio.gather(*maintenance.tasks)
    await clients.finish()
    store.delay_s = 0
    for entry in entries:
        await entry.wait_ready()
    exit_codes = [one.unexpected_exits for one in entries]
    logger.info(
        'seed {}: {} {} cut={} ends={}',
        seed,
        maintenance.step_counts,
        clients.statuses,
        clients.unanswered,
        exit_codes,
    )
    assert not clients.unanswered
    assert not clients.lost_submissions
    assert not any(exit_codes), exit_codes
    sampled_ids = clients.accepted[::SAMPLE]
    lookups = [
        find_unknown_ids(one, sampled_ids[part::CONNECTIONS])
        for one in entries
        for part in range(CONNECTIONS)
    ]
    assert not any(await asyncio.gather(*lookups))
