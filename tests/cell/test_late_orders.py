"""Orders without an answer that a later incarnation of their worker executes."""

import asyncio
from contextvars import Context

import pytest

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.orders.api import EndKind
from marigoldlift.submissions.model import AdvicePolicy, Step
from standins.cell.workers import CALL_TIMEOUT_S, execute_late
from tests.cell.actions import cut_off, reconnect, set_task_duration

ELECTION_S = 1.5
TASK_S = 4
SETTLED_S = 40

#: Time without a run after which a task that lasts counts as lost, in s.
LOST_S = 7


def delay_next_start(cell, delay_s):
    """Let the next start get no answer and be executed after a delay; return the names of the workers it was sent to."""
    calls = cell.leader().calls
    send = calls.start
    sent_to = []

    async def start(worker, token, order, may_send):
        calls.start = send
        sent_to.append(worker.id)
        target = cell.workers[worker.id]
        step = cell.checker.submissions[order.task.submission].steps[order.task.step]
        duration_s = cell.duration_of(order.task)
        asyncio.get_running_loop().call_later(
            delay_s,
            execute_late,
            target,
            lambda worker: worker.start(token, order, step, duration_s),
            context=Context(),
        )
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise WorkerUnavailableError('no answer', may_have_run=True)

    calls.start = start
    return sent_to


def restart_unseen(cell, name):
    """Restart a worker under its id; it is listed at once, but no entry reaches it."""
    cut_off(cell, name)
    cell.workers[name].begin_incarnation()
    cell.list_workers()


async def submit(cell, name='job'):
    """Submit one task at the leader."""
    await cell.submit(cell.leader(), name, (Step(count=1, cpu_m=1000),))


def test_start_in_doubt_is_not_repeated_while_a_restarted_worker_may_execute_it(run_scenario):
    """Guards against a task that runs on two workers, after one of them restarted with its start under way."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        sent_to = delay_next_start(cell, 5)
        await submit(cell)
        await asyncio.sleep(3.2)
        restart_unseen(cell, sent_to[0])
        await asyncio.sleep(2.5)
        reconnect(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)


def test_start_in_doubt_is_not_repeated_after_it_was_given_up_with_the_lease(run_scenario):
    """Guards against a task that runs twice: its worker was silent beyond its lease, restarted, and executed the start."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        sent_to = delay_next_start(cell, 8)
        await submit(cell)
        await asyncio.sleep(0.1)
        cut_off(cell, sent_to[0])
        await asyncio.sleep(5)
        cell.is_listing = False
        cell.workers[sent_to[0]].begin_incarnation()
        await asyncio.sleep(6)
        reconnect(cell)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)


@pytest.mark.parametrize('restarted_after_s', [0.5, 3])
def test_start_of_an_earlier_leader_is_not_repeated_while_it_may_be_executed(
    run_scenario, restarted_after_s
):
    """Guards against the same after a takeover: the next leader does not know which starts had no answer."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        sent_to = delay_next_start(cell, 6)
        await submit(cell)
        await asyncio.sleep(0.1)
        cell.leader().kill()
        await asyncio.sleep(restarted_after_s)
        restart_unseen(cell, sent_to[0])
        await asyncio.sleep(7 - restarted_after_s)
        reconnect(cell)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=2)


def test_ends_of_a_restarted_worker_are_not_acknowledged_unseen(run_scenario):
    """Guards against a done task that runs again: a status poll acknowledged its end by a number of the incarnation before."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.2)
        await cell.submit(cell.leader(), 'first', (Step(count=3, cpu_m=1000),))
        await cell.wait_for_outcomes(['first'], SETTLED_S)
        await asyncio.sleep(1)
        sent_to = delay_next_start(cell, 3)
        await submit(cell)
        await asyncio.sleep(0.1)
        cell.is_listing = False
        cut_off(cell, sent_to[0])
        worker = cell.workers[sent_to[0]]
        worker.crash()
        await asyncio.sleep(2)
        worker.begin_incarnation()
        worker.up = True
        await asyncio.sleep(2)
        reconnect(cell)
        await asyncio.sleep(1)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)


def test_start_in_doubt_keeps_its_capacity_over_a_restart(run_scenario):
    """Guards against a worker that is filled up before it executes a start of its earlier incarnation."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        sent_to = delay_next_start(cell, 5)
        await submit(cell)
        await asyncio.sleep(3)
        cell.workers[sent_to[0]].begin_incarnation()
        cell.list_workers()
        await asyncio.sleep(1)
        session = cell.leader().node.dispatcher.session_manager.sessions[sent_to[0]]
        assert session.run_table.cpu_m == session.worker.cpu_m - 1000
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize('valid_ms', [1500, 30000])
def test_start_with_a_ticket_is_repeated_without_waiting_for_late_copies(run_scenario, valid_ms):
    """Guards against waiting for a copy that no later incarnation of the worker accepts, and against one that runs."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1)
        cell.advice.policy = AdvicePolicy(10, 1, valid_ms)
        sent_to = delay_next_start(cell, 5)
        await cell.submit(
            cell.leader(), 'job', (Step(count=1, cpu_m=1000),), advice=cell.advice.policy
        )
        await cell.wait_for_outcomes(['job'], 4)
        restart_unseen(cell, sent_to[0])
        await asyncio.sleep(5)

    run_scenario(scenario, workers=2)


def test_task_whose_start_was_not_sent_is_placed_again_at_a_restart(run_scenario):
    """Guards against waiting for copies of a start that the leader was about to send as the worker restarted."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1)
        starter = cell.leader().node.dispatcher.starter
        store = starter.progress.store_now

        async def store_slowly(job):
            await asyncio.sleep(1)
            return await store(job)

        starter.progress.store_now = store_slowly
        await submit(cell)
        await asyncio.sleep(0.5)
        for worker in cell.workers.values():
            worker.begin_incarnation()
        cell.list_workers()
        starter.progress.store_now = store
        await cell.wait_for_outcomes(['job'], 5)

    run_scenario(scenario, workers=2)


def delay_next_poll(cell, delay_s):
    """Let the next status poll get no answer and be executed after a delay."""
    calls = cell.leader().calls
    send = calls.poll

    async def poll(worker, token, last_acknowledged, until_ms, wait_ms):
        calls.poll = send
        asyncio.get_running_loop().call_later(
            delay_s,
            execute_late,
            cell.workers[worker.id],
            lambda target: target.poll(token, last_acknowledged, until_ms),
            context=Context(),
        )
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise WorkerUnavailableError('no answer', may_have_run=True)

    calls.poll = poll


def test_late_poll_acknowledges_no_end_of_a_later_incarnation_unseen(run_scenario):
    """Guards against a done task that runs again: a poll that was sent before the restart is executed after it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.2)
        await cell.submit(cell.leader(), 'first', (Step(count=3, cpu_m=1000),))
        await cell.wait_for_outcomes(['first'], SETTLED_S)
        await asyncio.sleep(1)
        sent_to = delay_next_start(cell, 3)
        await submit(cell)
        delay_next_poll(cell, 4)
        await asyncio.sleep(0.75)
        cut_off(cell, sent_to[0])
        cell.is_listing = False
        cell.workers[sent_to[0]].begin_incarnation()
        await asyncio.sleep(4)
        reconnect(cell)
        await asyncio.sleep(1)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('takeover', [False, True])
def test_late_start_keeps_its_capacity_at_a_restart(run_scenario, takeover, seed):
    """Guards against filling a worker that executes a start of its earlier incarnation, also after a takeover."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        sent_to = delay_next_start(cell, 6)
        await cell.submit(cell.leader(), 'late', (Step(count=1, cpu_m=7000),))
        while not sent_to:
            await asyncio.sleep(0.001)
        sent_at = cell.loop.time()
        cell.is_listing = False
        restart = cell.workers[sent_to[0]].begin_incarnation
        cell.loop.call_at(sent_at + 5.99, restart, context=Context())
        if takeover:
            cell.leader().kill()
        await asyncio.sleep(sent_at + 5.985 - cell.loop.time())
        await cell.submit(cell.leader(), 'next', (Step(count=1, cpu_m=7000),))
        await asyncio.sleep(1)
        cell.is_listing = True
        await cell.wait_for_outcomes(['late', 'next'], SETTLED_S)

    run_scenario(scenario, workers=1, seed=seed)


def test_lasting_task_without_an_answer_runs_again_within_the_bound_of_lost(run_scenario):
    """Guards against LOST: a task that lasts, and runs nowhere for longer than the 4 s and 3 s of the rule."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1000)
        delay_next_start(cell, 15)
        steps = (Step(count=1, cpu_m=1000, long_running=True),)
        await cell.submit(cell.leader(), 'job', steps)
        await asyncio.sleep(LOST_S)
        assert any(worker.held for worker in cell.workers.values())

    run_scenario(scenario, workers=2)


def fail_runs(cell):
    """End all runs as failed."""
    for worker in cell.workers.values():
        for task in list(worker.held):
            worker.finish(task, EndKind.failed)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('trouble', ['none', 'takeover', 'failure'])
def test_lasting_task_that_was_started_again_does_not_run_twice(run_scenario, trouble, seed):
    """Guards against TWICE: a restarted worker executes the first start late, after the run was started anew elsewhere."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1000)
        sent_to = delay_next_start(cell, 6)
        steps = (Step(count=1, cpu_m=1000, long_running=True),)
        await cell.submit(cell.leader(), 'job', steps)
        await asyncio.sleep(2)
        assert cell.workers[sent_to[0]].held
        if trouble == 'takeover':
            cell.leader().kill()
        elif trouble == 'failure':
            fail_runs(cell)
        await asyncio.sleep(2)
        restart_unseen(cell, sent_to[0])
        await asyncio.sleep(3)
        reconnect(cell)
        await asyncio.sleep(SETTLED_S)
        assert any(worker.held for worker in cell.workers.values())

    run_scenario(scenario, workers=2, seed=seed)


@pytest.mark.parametrize('seed', range(4))
def test_two_late_starts_of_a_lasting_task_do_not_run_beside_each_other(run_scenario, seed):
    """Guards against TWICE: after a failure the task is ordered again at the worker to which a copy of its first start is under way.

    If that worker restarts, it executes both late, and a run with a higher number and a higher token starts beside the first.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1000)
        sent_to = delay_next_start(cell, 6)
        steps = (Step(count=1, cpu_m=1000, long_running=True),)
        await cell.submit(cell.leader(), 'job', steps)
        await asyncio.sleep(2)
        assert cell.workers[sent_to[0]].held
        delay_next_start(cell, 5)
        fail_runs(cell)
        await asyncio.sleep(0.6)
        restart_unseen(cell, sent_to[0])
        await asyncio.sleep(7)
        reconnect(cell)
        await asyncio.sleep(SETTLED_S)
        assert any(worker.held for worker in cell.workers.values())

    run_scenario(scenario, seed=seed, workers=3)
