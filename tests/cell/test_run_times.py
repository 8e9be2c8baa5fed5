"""What learned run times and speeds change for callers, and what a new leader knows of them."""

import asyncio
from collections import Counter

import msgspec
import pytest

from marigoldlift.runtimes.api import WorkKey
from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
SETTLED_S = 60
WORK = WorkKey('queue', 0)

#: Estimates of urgent tasks, which are late on a slow worker, and of others, which are in time on any, in s.
URGENT_S = 2
PLAIN_S = 0.5
SLOWNESS = 3

WARM_UP = 60
SUBMISSIONS = 120


def learn(cell):
    """Let all entries learn run times; to be called before one of them leads."""
    for entry in cell.entries:
        entry.node.limits = msgspec.structs.replace(entry.node.limits, learns_run_times=True)


async def submit_many(cell, count, pause_s, estimate_s):
    """Submit tasks one after the other and wait until all are done; return the time of each one, in s."""
    took = {}

    async def follow(number):
        name = f'job{cell.loop.time()}'
        submitted_at = cell.loop.time()
        is_urgent = not number % 3
        step = Step(count=1, cpu_m=2000, estimate_ms=1000 * estimate_s(number))
        await cell.submit(cell.leader(), name, (step,), priority=int(not is_urgent))
        await cell.wait_for_outcomes([name], SETTLED_S)
        took[number] = cell.loop.time() - submitted_at

    following = []
    for started in range(count):
        following.append(asyncio.create_task(follow(started)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*following)
    return took


def estimate_of(number):
    """Return the estimate of a submission in a mix with every third one urgent, in s."""
    return PLAIN_S if number % 3 else URGENT_S


async def play_uneven_workers(cell, in_time):
    """Count the submissions in time on workers of which half are slow."""
    for worker in list(cell.workers.values())[::2]:
        worker.slowness = SLOWNESS
    await asyncio.sleep(ELECTION_S)
    jobs = cell.leader().node.dispatcher.open_submissions.state.jobs

    def duration_of(task):
        return jobs[task.submission].submission.steps[0].estimate_ms / 1000

    for entry in cell.entries:
        entry.calls.duration_of = duration_of
    await submit_many(cell, WARM_UP, 0.1, estimate_of)
    took = await submit_many(cell, SUBMISSIONS, 0.1, estimate_of)
    for number, seconds in took.items():
        in_time['plain' if number % 3 else 'urgent'] += seconds <= 2 * estimate_of(number) + 1


def test_urgent_submissions_are_in_time_on_uneven_workers(run_scenario):
    """Guards against urgent tasks on slow workers, which nobody has announced, while others take the fast ones."""
    learned, plain = Counter(), Counter()

    async def with_learning(cell):
        learn(cell)
        await play_uneven_workers(cell, learned)

    run_scenario(with_learning, workers=6)
    run_scenario(lambda cell: play_uneven_workers(cell, plain), workers=6)
    assert learned['urgent'] > plain['urgent']
    assert learned['plain'] >= plain['plain']
    assert learned['urgent'] >= 0.9 * SUBMISSIONS / 3


@pytest.mark.parametrize('factor', [0.1, 10])
def test_new_leader_knows_what_the_old_one_has_learned(run_scenario, factor):
    """Guards against a new leader that believes estimates which its predecessor has seen to be wrong."""

    async def scenario(cell):
        learn(cell)
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.4)
        await submit_many(cell, 100, 0.1, lambda number: 0.4 / factor)
        old = cell.leader()
        learned = old.node.dispatcher.planner.placer.times.ratios(WORK).quantile(0.5)
        old.kill()
        await asyncio.sleep(15)
        times = cell.leader().node.dispatcher.planner.placer.times
        assert learned == pytest.approx(factor, rel=0.25)
        assert times.ratios(WORK).quantile(0.5) == pytest.approx(learned, rel=0.1)

    run_scenario(scenario)
