"""Ends that a leader without the log could hear, while no other entry reaches the worker."""

import asyncio

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.test_superseded_leader import lose_log
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
CUT_AT_S = 1.0
FOUND_S = 1.0

#: Task that ends 5 s after the cut, when the leader may no longer act but leases of the workers have not lapsed.
LONG_TASK_S = 6.0

#: Task that ends 3 s after the cut, when the leader may still act unless a worker has refused its token.
SHORT_TASK_S = 4.0

CHAIN = (Step(count=1, cpu_m=1000), Step(count=3, cpu_m=1000, after=(0,)))
FIRST = TaskRef(SubmissionId('job'), 0, 0, 0)
NEXT = TaskRef(SubmissionId('job'), 0, 1, 0)


async def end_during_cut(cell, task_s, shared):
    """Let a task end at a worker that only the cut leader reaches, and that leaves before the cut is over.

    Args:
        cell: the cell.
        task_s: how long the task takes, in s.
        shared: number of other workers that both sides reach.
    """
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, task_s)
    leader = cell.leader()
    await cell.submit(leader, 'job', CHAIN)
    await asyncio.sleep(CUT_AT_S)
    holder = next(worker for worker in cell.workers.values() if worker.held)
    others = sorted(cell.workers.keys() - {holder.name})
    for entry in cell.entries:
        entry.calls.unreachable.update(others[shared:] if entry is leader else {holder.name})
    restore = lose_log(leader)
    await asyncio.sleep(task_s - CUT_AT_S + 0.5)
    assert FIRST in cell.checker.ended_done
    holder.crash()
    cell.write_entry(holder.name, b'')
    cell.last_heartbeat_at.pop(holder.name)
    await asyncio.sleep(1)
    restore()
    await asyncio.sleep(FOUND_S)


def test_end_after_the_lease_of_a_cut_leader_is_heard(run_scenario):
    """Guards against a task that is done and runs again: a leader asks its workers no more 4 s after its last renewal."""

    async def scenario(cell):
        await end_during_cut(cell, LONG_TASK_S, shared=0)
        assert cell.checker.starts[NEXT] == 1
        assert cell.checker.starts[FIRST] == 1

    run_scenario(scenario, workers=6)


def test_end_after_a_refused_token_is_heard(run_scenario):
    """Guards against the same where one worker, which both sides reach, has refused the token of the cut leader."""

    async def scenario(cell):
        await end_during_cut(cell, SHORT_TASK_S, shared=1)
        assert cell.checker.starts[NEXT] == 1
        assert cell.checker.starts[FIRST] == 1

    run_scenario(scenario, workers=6)


def test_end_within_the_lease_of_a_cut_leader_is_heard(run_scenario):
    """Guards against a change of the two tests above in which the end could not be heard anyway."""

    async def scenario(cell):
        await end_during_cut(cell, SHORT_TASK_S, shared=0)
        assert cell.checker.starts[NEXT] == 1
        assert cell.checker.starts[FIRST] == 1

    run_scenario(scenario, workers=6)
