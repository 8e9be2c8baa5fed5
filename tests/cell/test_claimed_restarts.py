"""Entries of another writer that name a later incarnation under the id of a worker."""

import asyncio

import msgspec
import pytest

from marigoldlift.submissions.model import Step
from tests.cell.actions import ELECTION_S, kill_leader, retire_leader, set_task_duration
from tests.cell.model import registry_entry

TASK_S = 8.0
STEPS = (Step(count=6, cpu_m=1000),)

#: Time between two entries of a worker of its own, in s, as on the platform.
HEARTBEAT_S = 1.5


def write_foreign_entry(cell, name, **fields):
    """Write an entry of another program under the id of a worker, which claims to have been started later."""
    entry = msgspec.json.decode(registry_entry(cell.workers[name].describe()))
    foreign = {'addr': '127.0.0.1:9', 'service': 'other', 'born': 1_000_000, **fields}
    cell.write_entry(name, msgspec.json.encode({**entry, **foreign}))


async def overwrite_entries(cell, seconds, **fields):
    """Let the entry of each worker be that of another program for a while."""
    cell.is_listing = False
    for name in cell.workers:
        write_foreign_entry(cell, name, **fields)
    await asyncio.sleep(seconds)
    cell.is_listing = True


@pytest.mark.parametrize('fields', [{}, {'service': 'service'}, {'state': 'draining'}])
@pytest.mark.parametrize('seconds', [0.1, HEARTBEAT_S])
def test_foreign_entry_with_a_later_birth_ends_no_run(run_scenario, seconds, fields):
    """Guards against TWICE: the runs of a worker are taken for ended by an entry that it has not written (review/12)."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(1)
        await overwrite_entries(cell, seconds, **fields)
        await cell.wait_for_outcomes(['job'], TASK_S + 1)
        assert set(cell.checker.starts.values()) == {1}
        await cell.submit(cell.leader(), 'later', STEPS)
        await cell.wait_for_outcomes(['later'], TASK_S + 1)

    run_scenario(scenario)


@pytest.mark.parametrize('change', [kill_leader, retire_leader])
def test_leader_that_begins_with_foreign_entries_hears_the_workers(run_scenario, change):
    """Guards against workers that are lost to a leader whose first entry under their id was that of another writer."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(1)
        cell.is_listing = False
        for name in cell.workers:
            write_foreign_entry(cell, name)
        leader = cell.leader()
        for entry in cell.entries:
            if entry is not leader:
                entry.calls.unreachable.update(cell.workers)
        await change(cell, leader)
        await asyncio.sleep(HEARTBEAT_S)
        cell.is_listing = True
        for other in cell.entries:
            other.calls.unreachable.clear()
        await cell.wait_for_outcomes(['job'], TASK_S + 4)
        assert set(cell.checker.starts.values()) == {1}
        await cell.submit(cell.leader(), 'later', STEPS)
        await cell.wait_for_outcomes(['later'], TASK_S + 1)

    run_scenario(scenario)
