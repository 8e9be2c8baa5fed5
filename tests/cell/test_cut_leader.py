"""A leader that is partitioned off together with one worker and continues to give it orders."""

import asyncio

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.model import Step
from standins.cell.log import LogFault
from tests.cell.idle import set_task_duration

ELECTION_S = 1.5
LONG_TASK_S = 25.0


def cut_off(cell, leader, worker):
    """Let a leader reach only one worker, and no other entry reach that worker."""

    async def read(start, wait_ms):
        await asyncio.sleep(1)
        raise LogUnavailableError('cut off')

    leader.log.read = read
    leader.log.fault = LogFault.silent
    leader.calls.unreachable.update(set(cell.workers) - {worker.name})
    for other in cell.entries:
        if other is not leader:
            other.calls.unreachable.add(worker.name)
    cell.is_listing = False
    cell.workers_log.store([(worker.name, b'')])


async def next_leader(cell, *earlier):
    """Wait until an entry other than the earlier leaders leads, and return it."""
    while True:
        for entry in cell.entries:
            if entry not in earlier and entry.node.election.tenure is not None:
                return entry
        await asyncio.sleep(0.05)


def test_task_of_a_leader_before_last_runs_once(run_scenario):
    """Guards against a task that runs twice while an isolated leader renews its worker's lease.

    The next leader never reached that worker, yet the third one waited only for leases of its direct predecessor.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        first = cell.leader()
        await cell.submit(first, 'job', (Step(count=2, cpu_m=3000),))
        await asyncio.sleep(1.5)
        worker = next(one for one in cell.workers.values() if one.held)
        cut_off(cell, first, worker)
        second = await next_leader(cell, first)
        await asyncio.sleep(0.5)
        await asyncio.wait((second.gate.spawn(second.node.election.retire()),))
        second.kill()
        await asyncio.sleep(14)
        assert any(one.held for one in cell.workers.values() if one is not worker)

    run_scenario(scenario, workers=3)
