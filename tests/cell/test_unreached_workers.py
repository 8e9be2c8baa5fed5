"""Ends that no leader can hear: the workers leave behind a cut, together with an entry that does not lead."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.actions import set_task_duration
from tests.cell.replacement_faults import set_up_domains
from tests.cell.test_superseded_leader import lose_log

ELECTION_S = 1.5
WORKERS = 6
CUT_AT_S = 1.0

#: Task that ends 3 s after the cut, before the leases of the unreachable workers have lapsed.
TASK_S = 4.0

#: Time from the end of the tasks until their workers are gone, and from then until the cut is over, in s.
LEAVES_AFTER_S = 0.7
HEALS_AFTER_S = 1.0

#: Time left that a draining worker reports, in s.
REMAINING_S = 3.0

#: Longest time for which a submission with room may have nothing running while a task's turn has come, in s.
STANDSTILL_S = 3.0

MS_PER_S = 1000

#: One task on each worker, then a step that waits for all of them.
CHAIN = (
    Step(count=WORKERS, cpu_m=1000, spread_limit=1),
    Step(count=3, cpu_m=1000, after=(0,)),
)
FIRST = [TaskRef(SubmissionId('job'), 0, 0, index) for index in range(WORKERS)]
NEXT = TaskRef(SubmissionId('job'), 0, 1, 0)


def restart_in_domains(cell):
    """Put the entries and the workers into three domains, before any of them has written to the log."""
    set_up_domains(cell)
    for entry in cell.entries:
        entry.kill()
        entry.start()


def cut_domain(cell, domain):
    """Let the entries and workers of a domain reach only each other; return a function that ends the cut."""
    inside = {worker.name for worker in cell.workers.values() if worker.failure_domain == domain}
    cell.silent_workers.update(inside)
    restored = []
    for entry in cell.entries:
        if entry.failure_domain == domain:
            entry.calls.unreachable.update(cell.workers.keys() - inside)
            restored.append(lose_log(entry))
        else:
            entry.calls.unreachable.update(inside)

    def heal():
        cell.silent_workers.clear()
        for restore in restored:
            restore()
        for entry in cell.entries:
            entry.calls.unreachable.clear()

    return heal


async def end_behind_cut(cell, *, drains, change_leader):
    """Let tasks end in a domain without the leader, whose workers leave before its cut is over.

    Args:
        cell: the cell.
        drains: whether the workers have reported that they leave; otherwise they are lost.
        change_leader: whether another entry leads once the tasks have ended.
    """
    restart_in_domains(cell)
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    leader = cell.leader()
    await cell.submit(leader, 'job', CHAIN)
    await asyncio.sleep(CUT_AT_S)
    domain = next(
        entry.failure_domain
        for entry in cell.entries
        if entry.failure_domain != leader.failure_domain
    )
    leaving = [worker for worker in cell.workers.values() if worker.failure_domain == domain]
    assert all(worker.held for worker in leaving)
    if drains:
        for worker in leaving:
            worker.draining = True
            worker.leaving_ms = REMAINING_S * MS_PER_S
        cell.list_workers()
        await asyncio.sleep(0.5)
    heal = cut_domain(cell, domain)
    while not cell.checker.ended_done.issuperset(FIRST):
        await asyncio.sleep(0.05)
    if change_leader:
        leader.kill()
    await asyncio.sleep(LEAVES_AFTER_S)
    for worker in leaving:
        cell.remove_worker(worker.name)
    await asyncio.sleep(HEALS_AFTER_S)
    heal()
    await asyncio.sleep(STANDSTILL_S)


@pytest.mark.parametrize('change_leader', [False, True])
@pytest.mark.parametrize('drains', [True, False])
def test_end_in_a_domain_without_the_leader_is_not_lost(run_scenario, drains, change_leader):
    """Guards against a task that is done and runs again because only entries that do not lead could hear its end."""

    async def scenario(cell):
        await end_behind_cut(cell, drains=drains, change_leader=change_leader)
        assert {cell.checker.starts[task] for task in FIRST} == {1}
        assert cell.checker.starts[NEXT] == 1

    run_scenario(scenario, workers=WORKERS)


def test_end_before_the_cut_is_not_lost(run_scenario):
    """Guards against a change of the test above in which ends are lost that the leader was told of before the cut."""

    async def scenario(cell):
        restart_in_domains(cell)
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', CHAIN)
        await asyncio.sleep(TASK_S + LEAVES_AFTER_S)
        domain = next(
            entry.failure_domain
            for entry in cell.entries
            if entry.failure_domain != leader.failure_domain
        )
        heal = cut_domain(cell, domain)
        for worker in tuple(cell.workers.values()):
            if worker.failure_domain == domain:
                cell.remove_worker(worker.name)
        await asyncio.sleep(HEALS_AFTER_S)
        heal()
        await asyncio.sleep(STANDSTILL_S)
        assert {cell.checker.starts[task] for task in FIRST} == {1}
        assert cell.checker.starts[NEXT] == 1

    run_scenario(scenario, workers=WORKERS)
