"""Many waiting steps at a leader that needs long for each of them."""

import asyncio
from contextvars import Context

import pytest

from marigoldlift.scheduling.placement_report import explain_job, trial_job
from marigoldlift.submissions.model import AdvicePolicy, Step, Submission, SubmissionId
from tests.cell.actions import set_task_duration
from tests.cell.model import policy

ELECTION_S = 1.5
ADVICE = AdvicePolicy(10, 0.15, 2000)
TASK_S = 0.2

#: Processor time of an attempt to place a step, in s; on a VM with 0.12 cores, 500 waiting steps took up to 0.8 s.
ATTEMPT_S = 0.005
SUBMISSIONS = 300
STEPS = 30
TASKS = 3

#: Time between two submissions, in s: about one and a half times as many as the leader can place.
INTERVAL_S = 0.02

#: Submissions that are done per second of overload, at least: half of those for which a third of the leader's time suffices, with two
#: attempts each.
MIN_RATE = 1 / (3 * 2 * ATTEMPT_S) / 2

#: Time within which all are done, in s: two attempts each, and twice that time for other work, take 9 s.
LIMIT_S = 30


class SlowAttempts:
    """Charges the leader for each attempt to place a step.

    Attributes:
        used_s: processor time of the present round, in s.
    """

    def __init__(self, cell, leader):
        """Charge a leader."""
        self.loop = cell.loop
        self.gate = leader.gate
        self.used_s = 0
        self.dispatcher = leader.node.dispatcher
        planner = self.dispatcher.planner
        self.place = planner.place
        planner.place = self.charge
        self.run_once = self.dispatcher.run_once
        self.dispatcher.run_once = self.run_round
        for timed in (planner, planner.tickets, self.dispatcher):
            timed.clock = self.now

    def now(self):
        """Return the time within a round, in s."""
        return self.loop.time() + self.used_s

    def charge(self, step):
        """Try to place a step."""
        self.used_s += ATTEMPT_S
        self.place(step)

    def run_round(self):
        """Run a round; the other callbacks of the leader wait until its time has passed."""
        self.run_once()
        if self.used_s:
            self.gate.pause()
            self.loop.call_later(self.used_s, self.resume, context=Context())

    def resume(self):
        """Let the leader run on."""
        self.used_s = 0
        self.gate.resume()


class PassingTime:
    """Clock on which each reading takes as long as an attempt to place a step."""

    def __init__(self, cell):
        """Start at the time of the cell."""
        self.loop = cell.loop
        self.used_s = 0

    def __call__(self):
        """Return the time in s."""
        self.used_s += ATTEMPT_S
        return self.loop.time() + self.used_s


def test_explanation_reaches_each_step_and_task(run_scenario):
    """Guards against an answer that names no place, only because the pass on copies had no time for the step."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        planner = cell.leader().node.dispatcher.planner
        steps = (Step(count=TASKS, cpu_m=50),) * STEPS
        wide = Submission(SubmissionId('trial'), '', steps, policy(), 'e0')
        planner.clock = PassingTime(cell)
        told = explain_job(planner, trial_job(wide, planner.clock()), 'e0').steps
        assert len(told) == STEPS
        assert {sum(place.tasks for place in step.places) for step in told} == {TASKS}

    run_scenario(scenario)


async def submit_all(cell, names, interval_s):
    """Hand in submissions of one step each, one after the other."""
    for name in names:
        steps = (Step(count=2, cpu_m=50),)
        cell.loop.create_task(cell.submit(cell.entries[0], name, steps, advice=ADVICE))
        await asyncio.sleep(interval_s)


@pytest.mark.parametrize('interval_s', [0, INTERVAL_S])
@pytest.mark.parametrize('seed', range(3))
def test_many_waiting_steps_hold_up_neither_renewals_nor_each_other(
    run_scenario, seed, interval_s
):
    """Guards against LOST: long passes cost the leadership, and tickets ran out before the step's next turn came."""

    async def scenario(cell):
        set_task_duration(cell, TASK_S)
        cell.advice.policy = ADVICE
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        SlowAttempts(cell, leader)
        names = [f'job{number}' for number in range(SUBMISSIONS)]
        await submit_all(cell, names, interval_s)
        done = sum(not cell.is_open(name) for name in names)
        assert done >= MIN_RATE * SUBMISSIONS * interval_s
        await cell.wait_for_outcomes(names, LIMIT_S)
        assert cell.leader() is leader

    run_scenario(scenario, seed=seed)
