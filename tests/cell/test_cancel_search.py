"""Seeded search for tasks that start after the cancellation of their submission was acknowledged."""

import asyncio

import pytest

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from tests.cell.concurrent_faults import drop_history, kill_all, kill_entry, pause_entry
from tests.cell.model import policy
from tests.cell.test_known import fail_log

ELECTION_S = 1.5
LOADED_S = 15.0
FAULTS_S = 18.0
COUNT = 30
TIMEOUT_S = 3.0
SETTLED_S = 25.0

#: Time from the acknowledgement of a cancellation after which no task of its submission starts, in s.
CANCEL_S = 3.0

#: Earliest and latest time of a cancellation, relative to the first attempt to submit, in s.
CANCEL_AFTER_S = (-0.2, 4.0)

FAULTS = (fail_log, fail_log, pause_entry, pause_entry, kill_entry, kill_all, drop_history)
ACKNOWLEDGED = frozenset((AcceptanceResult.done, AcceptanceResult.gone))

QUICK_SEEDS = range(20)
LONG_SEEDS = range(20, 400)


class Callers:
    """Callers that submit once or twice, and cancel at any entry.

    Attributes:
        cancelled_at: time of the first acknowledgement of a cancellation by submission, in s.
        late: starts later than `CANCEL_S` after that.
    """

    def __init__(self, cell):
        """Observe all starts of the cell."""
        self.cell = cell
        self.cancelled_at = {}
        self.late = []
        self.begin = cell.checker.begin
        cell.checker.begin = self.observe_start

    def observe_start(self, task, run, worker, free):
        """Record a start that comes after the cancellation of its submission."""
        now = self.cell.loop.time()
        if now - self.cancelled_at.get(task.submission, now) > CANCEL_S:
            self.late.append((task.name, run, worker, now))
        self.begin(task, run, worker, free)

    async def call(self, number):
        """Submit a job, unless nobody does, and cancel it at another time."""
        rng = self.cell.rng
        name = SubmissionId(f'job{number:02}')
        await asyncio.sleep(rng.uniform(0, LOADED_S))
        cancel_after_s = rng.uniform(*CANCEL_AFTER_S)
        attempts = rng.choice((0, 1, 1, 2))
        delays_s = [
            max(0, -cancel_after_s) + rng.uniform(0, 2) * again for again in range(attempts)
        ]
        calls = [self.cell.loop.create_task(self.submit(name, delay_s)) for delay_s in delays_s]
        await asyncio.sleep(max(0, cancel_after_s))
        calls.append(self.cell.loop.create_task(self.cancel(name)))
        return None if attempts else name

    async def submit(self, name, delay_s):
        """Submit a job at a random entry, which may be paused."""
        await asyncio.sleep(delay_s)
        entry = self.cell.rng.choice(self.cell.entries)
        steps = (Step(count=2, cpu_m=1000), Step(count=2, cpu_m=1000, after=(0,)))
        submission = Submission(name, 'content', steps, policy(), entry.name)
        self.cell.checker.submissions[name] = submission
        if not entry.gate.dead:
            entry.gate.spawn(entry.node.acceptance.submit(submission, TIMEOUT_S))

    async def cancel(self, name):
        """Cancel a job at running entries until one acknowledges it."""
        while name not in self.cancelled_at:
            entry = self.cell.rng.choice(self.cell.entries)
            if not entry.gate.stopped:
                await asyncio.wait(
                    [entry.gate.spawn(self.cancel_at(entry, name))], timeout=TIMEOUT_S
                )
            await asyncio.sleep(0.2)

    async def cancel_at(self, entry, name):
        """Cancel a job at an entry."""
        answer = await entry.node.acceptance.cancel(name, TIMEOUT_S)
        if answer in ACKNOWLEDGED:
            self.cancelled_at.setdefault(name, self.cell.loop.time())


async def inject_fault(cell):
    """Inject one random fault after a delay."""
    await asyncio.sleep(cell.rng.uniform(0, FAULTS_S))
    await cell.rng.choice(FAULTS)(cell)


async def scenario(cell):
    """Submit and cancel under faults, then check starts, and what entries say of jobs that nobody has submitted."""
    await asyncio.sleep(ELECTION_S)
    callers = Callers(cell)
    injecting = [cell.loop.create_task(inject_fault(cell)) for _ in range(cell.rng.randint(1, 5))]
    unsubmitted = await asyncio.gather(*(callers.call(number) for number in range(COUNT)))
    await asyncio.wait(injecting)
    await asyncio.sleep(SETTLED_S)
    assert not callers.late, callers.late[:3]
    for name in filter(None, unsubmitted):
        for entry in cell.entries:
            assert await entry.node.acceptance.outcome(name, TIMEOUT_S) is None
    assert set(callers.cancelled_at) == {f'job{number:02}' for number in range(COUNT)}
    for entry in cell.entries:
        assert not entry.node.acceptance.pending('queue')


@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_no_task_starts_after_its_cancellation(run_scenario, seed):
    """Guards against UNASKED where a cancellation overtakes the acceptance of its submission, under any mix of faults."""
    run_scenario(scenario, seed=seed)


@pytest.mark.fuzz
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_no_task_starts_after_its_cancellation_long(run_scenario, seed):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(scenario, seed=seed)
