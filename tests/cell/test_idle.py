"""Submissions that could run but stay idle."""

import asyncio

from marigoldlift.submissions.model import AdvicePolicy, Step
from tests.cell.idle import LOST_AFTER_S, IdleWatch, set_task_duration
from tests.cell.model import ModelCell

ELECTION_S = 1.5

#: Advice for long steps in a cell of the design size: 0.6 s per call, tickets valid for 2 s.
SLOW_ADVICE = AdvicePolicy(450, 6.5, 2000)

QUICK_ADVICE = AdvicePolicy(10, 0.15, 2000)

ATTEMPTS = 3


async def wait_for_failures(cell: ModelCell, count: int) -> None:
    """Let all workers end their runs as failed until the leader has counted some failed runs."""
    for worker in cell.workers.values():
        worker.fails = True
    while sum(cell.checker.failed.values()) < count:
        await asyncio.sleep(0.02)
    for healed in cell.workers.values():
        healed.fails = False


def test_submission_starts_though_all_workers_have_failed_others(run_scenario):
    """Guards against a submission that waits while all workers are free, because each has failed two tasks in a row."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.2)
        watch = IdleWatch(cell)
        wide = (Step(count=4, cpu_m=4000),)
        await cell.submit(cell.entries[0], 'failing', wide, max_attempts=ATTEMPTS)
        await wait_for_failures(cell, 4)
        await cell.submit(cell.entries[1], 'sound', (Step(count=1, cpu_m=500),))
        await cell.wait_for_outcomes(['failing', 'sound'], 20)
        assert max(watch.longest_s.values()) < LOST_AFTER_S, watch.longest_s

    run_scenario(scenario, workers=2)


def test_failed_task_starts_again_on_the_only_worker_it_may_use(run_scenario):
    """Guards against a task that waits for the pause of its only worker to end, and then for a ticket."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.2)
        watch = IdleWatch(cell)
        cell.advice.allowed = {'w0'}
        single = (Step(count=1, cpu_m=500),)
        await cell.submit(
            cell.entries[0], 'job', single, max_attempts=ATTEMPTS, advice=SLOW_ADVICE
        )
        await wait_for_failures(cell, ATTEMPTS - 1)
        await cell.wait_for_outcomes(['job'], 20)
        assert watch.longest_s['job'] < LOST_AFTER_S

    run_scenario(scenario)


def test_failed_gang_starts_again_on_the_only_workers_it_may_use(run_scenario):
    """Guards against a gang that waits while the only workers that it may use, on which it failed, are free."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.3)
        watch = IdleWatch(cell)
        cell.advice.allowed = {'w0', 'w1'}
        gang = (Step(count=2, cpu_m=6000, gang=True),)
        await cell.submit(cell.entries[0], 'gang', gang, max_attempts=ATTEMPTS, advice=SLOW_ADVICE)
        await wait_for_failures(cell, 2 * (ATTEMPTS - 1))
        await cell.wait_for_outcomes(['gang'], 30)
        assert watch.longest_s['gang'] < LOST_AFTER_S

    run_scenario(scenario)


def test_gang_reserves_no_worker_that_it_does_not_use_itself(run_scenario):
    """Guards against a task that waits while its worker has free capacity.

    The capacity was reserved for a gang that had failed on that worker and waited for others.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.2)
        cell.advice.allowed = {'w0'}
        cell.advice.policy = QUICK_ADVICE
        gang = (Step(count=1, cpu_m=3000, gang=True),)
        await cell.submit(cell.entries[0], 'gang', gang, priority=1, advice=QUICK_ADVICE)
        await wait_for_failures(cell, 1)
        single = (Step(count=1, cpu_m=500),)
        await cell.submit(cell.entries[0], 'single', single, priority=2, advice=QUICK_ADVICE)
        await cell.wait_for_outcomes(['single'], 20)
        assert not any(
            holders for task, holders in cell.checker.running.items() if task.submission == 'gang'
        )
        assert cell.is_open('gang')

    run_scenario(scenario)
