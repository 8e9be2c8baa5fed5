"""Ends that a leader reads at the same time as the claim of its successor."""

import asyncio

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 2.0

#: Time within which another entry leads and has started the next step, in s.
TAKEOVER_S = 4.0

CHAIN = (Step(count=1, cpu_m=1000), Step(count=1, cpu_m=1000, after=(0,)))
FIRST = TaskRef(SubmissionId('job'), 0, 0, 0)
NEXT = TaskRef(SubmissionId('job'), 0, 1, 0)


def hold_ends(entry, holder):
    """Hold back the answers of a worker that list ends; return the event that lets them arrive."""
    usual_poll = entry.calls.poll
    arrival = asyncio.Event()

    async def poll(worker, *details):
        status = await usual_poll(worker, *details)
        if worker.id == holder.name and status.ended:
            await arrival.wait()
        return status

    entry.calls.poll = poll
    return arrival


def test_end_that_is_read_with_the_claim_of_a_successor_is_not_lost(run_scenario):
    """Guards against a task that is done and runs again: its end was handled after the ends to store were collected."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', CHAIN)
        await asyncio.sleep(TASK_S / 2)
        holder = next(worker for worker in cell.workers.values() if worker.held)
        arrival = hold_ends(leader, holder)
        await asyncio.sleep(TASK_S)
        assert FIRST in cell.checker.ended_done
        arrival.set()
        leader.node.election.end_tenure('another entry')
        cell.remove_worker(holder.name)
        await asyncio.sleep(TAKEOVER_S)
        assert cell.checker.starts[NEXT] == 1
        assert cell.checker.starts[FIRST] == 1

    run_scenario(scenario, workers=4)
