"""Polls that a restarted worker executes late, and that acknowledge the end of a start that it executed late as well."""

import asyncio
from contextvars import Context

import pytest

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import Step, TaskRef
from standins.cell.workers import CALL_TIMEOUT_S, execute_late
from tests.cell.actions import cut_off, reconnect
from tests.cell.test_late_orders import delay_next_start

ELECTION_S = 1.5
SETTLED_S = 60

#: When the worker restarts, executes the start, executes the poll, and is reached again, in s from the start.
RESTART_S, START_S, POLL_S, REACHED_S = 2, 3, 4, 5


def delay_acknowledgement(cell, until):
    """Let the next poll that acknowledges an end get no answer and be executed at a time; return the times of sending."""
    calls = cell.leader().calls
    send = calls.poll
    sent_at = []

    async def poll(worker, token, last_acknowledged, until_ms, wait_ms):
        if not last_acknowledged:
            return await send(worker, token, last_acknowledged, until_ms, wait_ms)
        calls.poll = send
        sent_at.append(cell.loop.time())
        cell.loop.call_at(
            until,
            execute_late,
            cell.workers[worker.id],
            lambda target: target.poll(token, last_acknowledged, until_ms),
            context=Context(),
        )
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise WorkerUnavailableError('no answer', may_have_run=True)

    calls.poll = poll
    return sent_at


@pytest.mark.parametrize('start_at_s', [-0.15, 0.05, -0.8])
def test_late_poll_does_not_acknowledge_the_end_of_a_late_start(run_scenario, start_at_s):
    """Guards against TWICE: a done task runs again, since its end was acknowledged before the leader could read it.

    The start is under way when the end of another task is to be acknowledged, follows the poll that does so, or has been
    without an answer for a while.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.durations[TaskRef('first', 0, 0, 0)] = 1
        cell.durations[TaskRef('job', 0, 0, 0)] = 0.2
        await cell.submit(cell.leader(), 'first', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(1 + start_at_s)
        began = cell.loop.time()
        delay_acknowledgement(cell, began + POLL_S)
        delay_next_start(cell, START_S)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(began + RESTART_S - cell.loop.time())
        cut_off(cell, 'w0')
        cell.is_listing = False
        cell.workers['w0'].begin_incarnation()
        await asyncio.sleep(began + REACHED_S - cell.loop.time())
        reconnect(cell)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)
