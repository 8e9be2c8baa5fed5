"""Bursts of starts at a leader that needs long to send each of them."""

import asyncio
from contextvars import Context

import pytest

from marigoldlift.answer_deadline import AnswerDeadline
from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import Step
from standins.cell.workers import CALL_TIMEOUT_S
from tests.cell.actions import set_task_duration
from tests.model.clock import spawn_outside

ELECTION_S = 1.5
TASK_S = 30

#: Processor time of a start, in s; on a VM with 0.12 cores it is about 0.012 s.
START_S = 0.01
TASKS = 300

#: Time within which all are started, in s: three times the processor time of the starts, and that of the first passes.
LIMIT_S = 3 * TASKS * START_S + 1


class SlowStarts:
    """Charges the leader for each start, and gives its answer the deadline of the HTTP client."""

    def __init__(self, cell, leader):
        """Charge a leader."""
        self.loop = cell.loop
        self.gate = leader.gate
        self.send = leader.calls.start
        leader.calls.start = self.start

    async def start(self, worker, token, order, may_send):
        """Send a start; the other callbacks of the leader wait until its time has passed."""
        try:
            async with AnswerDeadline(CALL_TIMEOUT_S):
                self.gate.pause()
                self.loop.call_later(START_S, self.gate.resume, context=Context())
                return await asyncio.shield(
                    spawn_outside(self.send(worker, token, order, may_send))
                )
        except TimeoutError as fault:
            raise WorkerUnavailableError(str(fault), may_have_run=True) from fault


@pytest.mark.parametrize('seed', range(3))
def test_burst_of_starts_leaves_time_for_renewals(run_scenario, seed):
    """Guards against a leadership that is lost because a slow VM sends as many starts at once as a fast one."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        SlowStarts(cell, leader)
        await cell.submit(cell.entries[0], 'job', (Step(count=TASKS, cpu_m=10),))
        await asyncio.sleep(LIMIT_S)
        assert sum(len(worker.held) for worker in cell.workers.values()) == TASKS
        assert cell.leader() is leader
        assert 'outcome="doubtful"' not in leader.node.parts.metrics.render()

    run_scenario(scenario, seed=seed)
