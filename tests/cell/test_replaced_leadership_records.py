"""Leaders that lead again, so that the record of their earlier tenure is replaced."""

import asyncio

import pytest

from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S
from marigoldlift.orders.runs import UNLEASED_EXPIRY_S
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import ELECTION_S, set_task_duration

TASK = TaskRef(SubmissionId('job'), 0, 0, 0)
TASK_S = 90.0

#: Longest time from the loss of a leader until it leads again, in s, and a pause between two polls of it.
NEXT_LEADER_S = 4.0
POLL_S = 0.01

#: Time for the takeover, the polls and the timers of the leader beside the wait itself, in s.
MARGIN_S = 1.0


async def restart_leader(cell):
    """Kill the leader, start it again, and wait until it leads."""
    leader = cell.leader()
    leader.kill()
    leader.start()
    async with asyncio.timeout(NEXT_LEADER_S):
        while cell.leader() is None:
            await asyncio.sleep(POLL_S)


async def start_without_an_answer(cell):
    """Let a worker be lost with a start of the present leader, which gets no answer."""
    set_task_duration(cell, TASK_S)
    for entry in cell.entries:
        entry.calls.faults.lost = 1
    await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=100),))
    while not any(worker.held for worker in cell.workers.values()):
        await asyncio.sleep(POLL_S)
    lost = next(worker for worker in cell.workers.values() if worker.held)
    cell.remove_worker(lost.name)
    for healed in cell.entries:
        healed.calls.faults.lost = 0


@pytest.mark.parametrize('led_s', [2.0, 8.0, 15.0])
def test_wait_for_a_start_of_a_replaced_record_does_not_begin_anew(run_scenario, led_s):
    """Guards against a start without an answer that a restarted leader holds back as if the newest leader had sent it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        await start_without_an_answer(cell)
        await restart_leader(cell)
        bound = cell.loop.time() + LEADER_LEASE_S + UNLEASED_EXPIRY_S + MARGIN_S
        await asyncio.sleep(led_s)
        await restart_leader(cell)
        await asyncio.sleep(bound - cell.loop.time())
        assert cell.checker.starts[TASK] == 2

    run_scenario(scenario, entries=1)
