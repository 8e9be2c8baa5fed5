"""Checks of the stand-in workers themselves: a check that finds nothing would let every search pass."""

import asyncio

import pytest

from marigoldlift.answer_deadline import always
from marigoldlift.orders.api import EndKind, StartOrder
from marigoldlift.submissions.model import Step, Submission, SubmissionId, TaskRef
from standins.cell.kinds import UNNOTICED_S, WorkerKind
from standins.cell.workers import CallFaults
from tests.cell.model import policy

LEASE_MS = 5000
KIND = WorkerKind(cpu_m=4000, mem_mb=4000, gpus=1, labels=('small', 'rack'))


@pytest.fixture
def run_workers(run_scenario):
    """Return a function that runs a scenario with two workers of `KIND` and returns the violations."""

    def run(scenario, *steps):
        violations = []

        async def with_workers(cell):
            cell.checker.submissions['job'] = Submission(
                SubmissionId('job'), 'content', steps, policy(), ''
            )
            for worker in cell.workers.values():
                worker.kind = KIND
            for entry in cell.entries:
                entry.kill()
            await scenario(cell)
            violations.extend(cell.checker.violations)
            cell.checker.violations.clear()

        run_scenario(with_workers, workers=2)
        return violations

    return run


def start(cell, worker, index, step=0, sent_at=None):
    """Start a run of a task directly at a worker."""
    target = cell.workers[worker]
    task = TaskRef(SubmissionId('job'), 0, step, index)
    order = StartOrder(task, 1, 'content', int(target.clock_ms()) + LEASE_MS, '', '')
    sent = cell.loop.time() if sent_at is None else sent_at
    target.start(1, order, cell.checker.submissions['job'].steps[step], 1, sent)


def end_kinds(cell, worker):
    """Return how the runs of a worker have ended."""
    return [ended.kind for ended in cell.workers[worker].ends.entries]


@pytest.mark.parametrize(('resource', 'demand'), [('cpu_m', 2500), ('mem_mb', 2500), ('gpus', 1)])
def test_each_resource_is_checked(run_workers, resource, demand):
    """Guards against a search that overlooks processors, memory or accelerators."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        start(cell, 'w0', 1)

    violations = run_workers(scenario, Step(count=2, **{resource: demand}))
    assert violations == [f"LIMIT of ['{resource}']: task=job.0.0.1 worker=w0"]


def test_tasks_that_fill_count_with_their_memory_only(run_workers):
    """Guards against reporting processor time that is not counted, and against overlooking memory beside it."""

    async def scenario(cell):
        for index in range(3):
            start(cell, 'w0', index)

    violations = run_workers(scenario, Step(count=3, cpu_m=4000, mem_mb=2000, fills=True))
    assert violations == ["LIMIT of ['mem_mb']: task=job.0.0.2 worker=w0"]


def test_labels_and_the_spread_limit_are_checked(run_workers):
    """Guards against a search that overlooks ROUTE."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        start(cell, 'w0', 1)
        start(cell, 'w0', 0, step=1)
        cell.workers['w1'].change_kind(WorkerKind(cpu_m=4000, labels=('large',)))
        await asyncio.sleep(UNNOTICED_S)
        start(cell, 'w1', 1, step=1)

    steps = (Step(count=2, spread_limit=1), Step(count=2, requires='small'))
    assert run_workers(scenario, *steps) == [
        'ROUTE beside 1 of its step: task=job.0.0.1 worker=w0',
        'ROUTE without small: task=job.0.1.1 worker=w1',
    ]


def test_only_orders_for_an_earlier_kind_may_exceed_the_present_one(run_workers):
    """Guards against reporting what no leader can have known, and against excusing what is started beside it."""

    async def scenario(cell):
        await asyncio.sleep(1)
        sent_at = cell.loop.time()
        cell.workers['w0'].change_kind(WorkerKind(cpu_m=1000, labels=('tiny',)))
        await asyncio.sleep(UNNOTICED_S)
        start(cell, 'w0', 0, sent_at=sent_at)
        assert not cell.checker.violations
        start(cell, 'w0', 0, step=1)

    steps = (Step(count=1, cpu_m=4000, requires='small'), Step(count=1, cpu_m=100))
    assert run_workers(scenario, *steps) == ["LIMIT of ['cpu_m']: task=job.0.1.0 worker=w0"]


def test_changed_kind_is_listed(run_workers):
    """Guards against a list of workers that never shows the resources and labels of a new kind."""

    async def scenario(cell):
        cell.workers['w0'].change_kind(WorkerKind(1000, 200, 3, ('tiny', 'rack')))
        listed = cell.workers['w0'].describe()
        assert (listed.cpu_m, listed.mem_mb, listed.gpus) == (1000, 200, 3)
        assert listed.labels == ('tiny', 'rack')
        assert listed.born_ms == 2

    assert not run_workers(scenario, Step(count=1))


def test_members_of_a_gang_work_from_the_start_of_the_last_and_end_together(run_workers):
    """Guards against gangs whose members each end by themselves, as the workers' never do."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        await asyncio.sleep(2)
        start(cell, 'w1', 1)
        await asyncio.sleep(0.9)
        assert not end_kinds(cell, 'w0') + end_kinds(cell, 'w1')
        await asyncio.sleep(0.2)
        assert end_kinds(cell, 'w0') == end_kinds(cell, 'w1') == [EndKind.done]

    assert not run_workers(scenario, Step(count=2, gang=True))


def test_member_that_waits_too_long_ends_alone(run_workers):
    """Guards against members that wait for the others for ever."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        await asyncio.sleep(3.1)
        assert end_kinds(cell, 'w0') == [EndKind.alone]

    assert not run_workers(scenario, Step(count=2, gang=True))


@pytest.mark.parametrize('lose', ['stop', 'crash'])
def test_gang_breaks_when_a_member_ends_otherwise(run_workers, lose):
    """Guards against members that go on without one that was stopped or lost."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        start(cell, 'w1', 1)
        if lose == 'stop':
            cell.workers['w1'].stop(1, TaskRef(SubmissionId('job'), 0, 0, 1), 1)
        else:
            cell.workers['w1'].crash()
        await asyncio.sleep(0.9)
        assert end_kinds(cell, 'w0') == [EndKind.broken]

    assert not run_workers(scenario, Step(count=2, gang=True))


def test_acknowledged_end_of_a_member_stands_for_its_gang(run_workers):
    """Guards against overlooking a member that starts again after the end of another one was acknowledged."""

    async def scenario(cell):
        start(cell, 'w0', 0)
        start(cell, 'w1', 1)
        await asyncio.sleep(1.1)
        cell.workers['w0'].poll(1, 1, None)
        cell.workers['w1'].begin_incarnation()
        start(cell, 'w1', 1)

    assert run_workers(scenario, Step(count=2, gang=True)) == [
        'TWICE after done run=1: task=job.0.0.1 worker=w1'
    ]


@pytest.mark.parametrize(('is_renewed', 'starts'), [(False, 0), (True, 1)])
def test_lease_of_a_late_order_may_count_from_its_arrival(run_workers, is_renewed, starts):
    """Guards against late orders that never reach the next incarnation since its clock is ahead of their deadline."""

    async def scenario(cell):
        calls = cell.entries[0].calls
        calls.faults = CallFaults(late=1, late_s=(8, 8), is_lease_renewed=is_renewed)
        worker = cell.workers['w0']
        task = TaskRef(SubmissionId('job'), 0, 0, 0)
        order = StartOrder(task, 1, 'content', int(worker.clock_ms()) + LEASE_MS, '', '')
        sending = cell.loop.create_task(calls.start(worker.describe(), 1, order, always))
        await asyncio.wait((sending,))
        assert sending.exception() is not None
        worker.begin_incarnation()
        await asyncio.sleep(8)
        assert cell.checker.starts.total() == starts

    assert not run_workers(scenario, Step(count=1))


def test_worker_that_goes_down_executes_no_order_under_way(run_workers):
    """Guards against a TWICE that no real worker shows: a start that was under way at a crash ran on the dead worker."""

    async def scenario(cell):
        worker = cell.workers['w0']
        order = StartOrder(TaskRef(SubmissionId('job'), 0, 0, 0), 1, 'content', LEASE_MS, '', '')
        sending = asyncio.ensure_future(
            cell.entries[0].calls.start(worker.describe(), 1, order, always)
        )
        await asyncio.sleep(0)
        worker.crash()
        await asyncio.wait((sending,))
        assert sending.exception().may_have_run
        assert not worker.held

    run_workers(scenario, Step(count=1, cpu_m=1000))
