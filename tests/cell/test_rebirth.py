"""Workers that restart under the same id."""

import asyncio

import msgspec
import pytest

from marigoldlift.answer_deadline import always
from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.orders.runs import LATE_ORDER_S
from marigoldlift.submissions.model import AdvicePolicy, Step
from tests.cell import model
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
SETTLED_S = 10

#: Queues with and without advice, and the time in which a task on them has to be done whose start had no answer.
#: Without a ticket the start may still be executed by the worker's next incarnation, for `LATE_ORDER_S`.
QUEUES = ((AdvicePolicy(10, 1, 1500), SETTLED_S), (None, LATE_ORDER_S + SETTLED_S))


@pytest.mark.parametrize(('advice', 'settled_s'), QUEUES)
def test_starts_in_flight_over_a_worker_restart_are_ordered_again(run_scenario, advice, settled_s):
    """Guards against starts whose outcome stays unknown for ever.

    The session of the earlier incarnation continued to raise the fencing token that resolves them.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        started = leader.calls.start

        async def lose(worker, token, order, may_send):
            await asyncio.sleep(2)
            raise WorkerUnavailableError('no answer', may_have_run=True)

        leader.calls.start = lose
        cell.advice.policy = advice or cell.advice.policy
        await cell.submit(leader, 'job', (Step(count=3, cpu_m=1000),), advice=advice)
        await asyncio.sleep(0.3)
        dispatcher = leader.node.dispatcher
        placed = next(
            one for one in dispatcher.session_manager.sessions.values() if one.run_table.runs
        )
        leader.calls.unreachable.add(placed.worker.id)
        cell.workers[placed.worker.id].begin_incarnation()
        leader.calls.start = started
        await asyncio.sleep(3)
        leader.calls.unreachable.clear()
        await cell.wait_for_outcomes(['job'], settled_s)

    run_scenario(scenario)


def test_incarnation_of_an_unlisted_worker_is_learnt_from_its_status(run_scenario):
    """Guards against ends that are skipped.

    A session without a known incarnation continued with the end numbers of an earlier incarnation.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 5)
        await cell.submit(cell.entries[0], 'early', (Step(count=32, cpu_m=1000),))
        await asyncio.sleep(0.5)
        for hidden in cell.workers.values():
            cell.workers_log.store([(hidden.name, b'')])
        cell.is_listing = False
        cell.leader().kill()
        await cell.wait_for_outcomes(['early'], 20)
        set_task_duration(cell, 0.3)
        for worker in cell.workers.values():
            worker.begin_incarnation()
        cell.is_listing = True
        await asyncio.sleep(2)
        await cell.submit(cell.leader(), 'late', (Step(count=32, cpu_m=1000),))
        await cell.wait_for_outcomes(['late'], 20)

    run_scenario(scenario)


def busiest(cell):
    """Return the worker that holds the most tasks."""
    return max(cell.workers.values(), key=lambda worker: len(worker.held))


def test_runs_of_an_earlier_incarnation_start_elsewhere_at_once(run_scenario):
    """Guards against runs that count as possible for 20 s on a worker that went down right after a restart."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 4)
        await cell.submit(cell.entries[0], 'job', (Step(count=2, cpu_m=1000),))
        await asyncio.sleep(1.5)
        worker = busiest(cell)
        worker.begin_incarnation()
        cell.list_workers()
        worker.crash()
        await asyncio.sleep(2)
        assert any(other.held for other in cell.workers.values() if other.up)
        await cell.wait_for_outcomes(['job'], 20)

    run_scenario(scenario)


@pytest.mark.parametrize(('advice', 'settled_s'), QUEUES)
def test_starts_of_an_earlier_incarnation_do_not_end_the_tenure(run_scenario, advice, settled_s):
    """Guards against a takeover of the whole cell.

    Starts under way met the higher fencing token of the session of the worker's next incarnation.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        tenure = leader.node.election.tenure
        started = leader.calls.start

        async def delay(worker, token, order, may_send):
            await asyncio.sleep(1)
            return await started(worker, token, order, always)

        leader.calls.start = delay
        cell.advice.policy = advice or cell.advice.policy
        await cell.submit(leader, 'job', (Step(count=3, cpu_m=1000),), advice=advice)
        await asyncio.sleep(0.3)
        dispatcher = leader.node.dispatcher
        placed = next(
            one for one in dispatcher.session_manager.sessions.values() if one.run_table.runs
        )
        cell.workers[placed.worker.id].begin_incarnation()
        cell.list_workers()
        await asyncio.sleep(0.5)
        leader.calls.start = started
        await cell.wait_for_outcomes(['job'], settled_s)
        assert leader.node.election.tenure == tenure

    run_scenario(scenario)


def test_worker_whose_entries_lack_the_time_of_birth_gets_work_after_a_restart(
    run_scenario, monkeypatch
):
    """Guards against a worker that is never used again because none of its entries is of its present incarnation."""
    entry_of = model.registry_entry

    def without_born(worker):
        entry = msgspec.json.decode(entry_of(worker))
        entry.pop('born')
        return msgspec.json.encode(entry)

    monkeypatch.setattr(model, 'registry_entry', without_born)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.5)
        for worker in cell.workers.values():
            worker.begin_incarnation()
        await asyncio.sleep(2)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)
