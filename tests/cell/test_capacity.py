"""Capacity of workers whose entries lack it, or that restart with another one."""

import asyncio

import msgspec
import pytest

from marigoldlift.orders.api import HeldRun
from marigoldlift.scheduling.placement import fitting_tasks
from marigoldlift.submissions.model import AdvicePolicy, Step, SubmissionId, TaskRef
from tests.cell.actions import cut_off, reconnect, set_task_duration
from tests.cell.model import registry_entry

ELECTION_S = 1.5
TASK_S = 3
SETTLED_S = 40


def entry_with(worker, **fields):
    """Return a worker's registry entry with fields replaced, or left out if they are None."""
    entry = msgspec.json.decode(registry_entry(worker.describe())) | fields
    return msgspec.json.encode({name: found for name, found in entry.items() if found is not None})


@pytest.mark.parametrize('capacity', [None, {}, {'cpu': 8000}, {'mem_mb': 1}, 'much', [8000, 1]])
def test_entry_without_capacity_leads_to_no_overallocation(run_scenario, capacity):
    """Guards against a worker whose capacity is counted twice after one entry without it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        names = []
        for number in range(4):
            for worker in cell.workers.values():
                cell.workers_log.store([(worker.name, entry_with(worker, capacity=capacity))])
            await asyncio.sleep(0.3)
            cell.list_workers()
            names.append(f'job{number}')
            await cell.submit(cell.leader(), names[-1], (Step(count=8, cpu_m=2000),))
            await asyncio.sleep(0.3)
        await cell.wait_for_outcomes(names, SETTLED_S)

    run_scenario(scenario, workers=2)


def test_worker_that_restarts_as_a_smaller_kind_is_not_overallocated(run_scenario):
    """Guards against filling a new incarnation to the capacity of the one before."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        cell.is_listing = False
        for worker in cell.workers.values():
            worker.cpu_m = 3000
            worker.begin_incarnation()
        await asyncio.sleep(1)
        await cell.submit(cell.leader(), 'job', (Step(count=8, cpu_m=2000),))
        await asyncio.sleep(2)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)


def test_worker_that_restarts_as_a_larger_kind_gets_what_only_it_can_hold(run_scenario):
    """Guards against a task that is never run because a worker counts with the capacity of its earlier incarnation."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        cell.is_listing = False
        worker = cell.workers['w0']
        worker.cpu_m = 16000
        worker.begin_incarnation()
        await asyncio.sleep(2)
        cell.is_listing = True
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=12000),))
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)


def test_worker_that_restarts_with_other_labels_gets_no_task_that_requires_the_old_ones(
    run_scenario,
):
    """Guards against ROUTE: a ticket was requested while the worker counted with the labels of its earlier incarnation."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        cell.advice.policy = AdvicePolicy(1000, 1, 4000)
        worker = cell.workers['w0']
        worker.kind = msgspec.structs.replace(worker.kind, labels=('large',))
        cell.list_workers()
        await asyncio.sleep(0.5)
        cut_off(cell, worker.name)
        worker.change_kind(msgspec.structs.replace(worker.kind, labels=('small',)))
        steps = (Step(count=1, cpu_m=1000, requires='large'),)
        await cell.submit(cell.leader(), 'job', steps, advice=cell.advice.policy)
        reconnect(cell)
        await asyncio.sleep(3)
        worker.change_kind(msgspec.structs.replace(worker.kind, labels=('large',)))
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)


def test_run_of_unknown_demand_occupies_a_worker_whose_capacity_is_learnt_later(run_scenario):
    """Guards against overallocation by a run that was found before the worker's capacity was known."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        dispatcher = cell.leader().node.dispatcher
        session = dispatcher.session_manager.sessions['w0']
        entry = session.worker
        dispatcher.session_manager.update(
            session, msgspec.structs.replace(entry, cpu_m=0, mem_mb=0, gpus=0)
        )
        session.reports.adopt_run(HeldRun(task_ref('unknown'), 1, '', 0), 0, 0)
        dispatcher.session_manager.update(session, entry)
        assert not fitting_tasks(session, Step(count=1, cpu_m=1))
        assert not fitting_tasks(session, Step(count=1, mem_mb=1))

    run_scenario(scenario, workers=1)


def task_ref(submission):
    """Return the reference to the first task of a submission."""
    return TaskRef(SubmissionId(submission), 0, 0, 0)
