"""Two entries that claim the leadership within some milliseconds of each other, after it was released."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, TaskRef
from marigoldlift.submissions.records import NEW_TENURE, Leadership
from marigoldlift.submissions.record_codec import decode_record
from tests.cell.actions import set_task_duration
from tests.cell.standstill import LOST_WORKER_IDLE_S

ELECTION_S = 1.5
LONG_TASK_S = 30.0

#: Time between the loss of the worker and the release of the leadership, in s.
RELEASE_AFTER_S = 0.3

POLL_S = 0.001

TASK = TaskRef('job', 0, 0, 0)


def newest_claimant(cell):
    """Return the name of the entry that has stored the newest leadership record, None unless it is a claim."""
    own = (stored for key, stored in cell.log.newest.items() if key.startswith('l/'))
    record = decode_record(max(own, key=lambda stored: stored.offset).content)
    assert isinstance(record, Leadership)
    return None if record.released or record.renews != NEW_TENURE else record.node


async def claim_without_reading(node):
    """Claim the leadership as an entry does that read the log before a rival's claim was stored."""
    await node.election.write(renews=None)
    await node.replica.synchronize()


async def release_with_claims(cell, rival_after_s):
    """Let the leader release the leadership, another entry claim it, and a third one soon after; return the time of the release.

    Args:
        cell: the cell.
        rival_after_s: time between the two claims, in s; None for no second claim.
    """
    leader = cell.leader()
    await asyncio.wait((leader.gate.spawn(leader.node.election.retire()),))
    released_at = cell.loop.time()
    leader.kill()
    while newest_claimant(cell) is None:
        await asyncio.sleep(POLL_S)
    if rival_after_s is not None:
        claimant = newest_claimant(cell)
        rival = next(one for one in cell.entries if one is not leader and one.name != claimant)
        await asyncio.sleep(rival_after_s - POLL_S)
        await asyncio.wait((rival.gate.spawn(claim_without_reading(rival.node)),))
        assert newest_claimant(cell) == rival.name
    return released_at


@pytest.mark.parametrize('rival_after_s', [None, 0.004, 0.012])
def test_tasks_of_a_lost_worker_wait_for_its_lease_only(run_scenario, rival_after_s):
    """Guards against tasks of a lost worker that also wait for the entry that has lost a race of claims.

    That entry was superseded some milliseconds after its tenure had begun, and says so only after the pause of its claim.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, LONG_TASK_S)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(1)
        holder = next(worker for worker in cell.workers.values() if TASK in worker.held)
        holder.crash()
        await asyncio.sleep(RELEASE_AFTER_S)
        released_at = await release_with_claims(cell, rival_after_s)
        while cell.checker.starts[TASK] == 1:
            await asyncio.sleep(POLL_S)
        assert cell.loop.time() - released_at < LOST_WORKER_IDLE_S

    run_scenario(scenario, workers=3)
