"""A leader that is held up in the middle of its periodic checks, and leads on."""

import asyncio
from contextvars import Context

import pytest

from marigoldlift.submissions.model import Step, TaskRef
from tests.cell.actions import set_task_duration
from tests.cell.standstill import LOST_WORKER_IDLE_S
from tests.cell.test_draining_workers import REMAINING_S, drain, holders, start_long_task

ELECTION_S = 1.5
TASK_S = 60
TASK = TaskRef('job', 0, 0, 0)

#: Time of each round of checks on a leader that is short of processor, in s, and their number in a test, at most.
SLOW_CHECKS_S = 0.15
ROUNDS = 1000

#: When the worker drains after the leader has become slow, in tenths of a second: at any time between two checks.
OFFSETS = range(0, 20, 2)
TENTH_S = 0.1
SLOW_FOR_S = 3


class HeldUpChecks:
    """Holds up a leader while it runs its periodic checks.

    Attributes:
        times: how often it is still held up.
        held_up_s: time by which the clock of the leader has advanced in the present round, in s.
    """

    def __init__(self, cell, leader, duration_s, times):
        """Hold up the next checks of a leader."""
        self.loop = cell.loop
        self.gate = leader.gate
        self.dispatcher = leader.node.dispatcher
        self.duration_s = duration_s
        self.times = times
        self.held_up_s = 0
        self.run_checks = self.dispatcher.run_checks
        self.dispatcher.run_checks = self.hold_up
        self.dispatcher.clock = self.now

    def now(self):
        """Return the time within a round, in s."""
        return self.loop.time() + self.held_up_s

    def hold_up(self):
        """Run the checks; the other callbacks of the leader wait until their time has passed."""
        self.run_checks()
        if self.times:
            self.times -= 1
            self.held_up_s = self.duration_s
            self.gate.pause()
            self.loop.call_later(self.duration_s, self.resume, context=Context())

    def resume(self):
        """Let the leader run on."""
        self.held_up_s = 0
        self.gate.resume()


@pytest.mark.parametrize('held_up_s', [0.5, 3.0, 5.0])
def test_lost_run_is_placed_again_after_the_leader_was_held_up(run_scenario, held_up_s):
    """Guards against LOST: the checks give up the runs of a lost worker, and pause for a multiple of the longest round."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(0.5)
        HeldUpChecks(cell, leader, held_up_s, times=1)
        await asyncio.sleep(held_up_s + 0.3)
        assert leader.node.election.may_act()
        cell.remove_worker(holders(cell)[0])
        await asyncio.sleep(LOST_WORKER_IDLE_S)
        assert cell.checker.starts[TASK] == 2

    run_scenario(scenario, entries=1, workers=2)


@pytest.mark.parametrize('offset', OFFSETS)
def test_runs_leave_a_draining_worker_in_time_though_checks_are_slow(run_scenario, offset):
    """Guards against a run that is lost with a worker that had reported its exit: the stop was sent too late for it."""

    async def scenario(cell):
        worker = await start_long_task(cell)
        HeldUpChecks(cell, cell.leader(), SLOW_CHECKS_S, ROUNDS)
        await asyncio.sleep(SLOW_FOR_S + offset * TENTH_S)
        drain(cell, worker)
        await asyncio.sleep(REMAINING_S - TENTH_S)
        assert worker.name not in holders(cell)

    run_scenario(scenario, workers=3)
