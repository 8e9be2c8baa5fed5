"""What callers get at the crest of a swing, compared with the order of deadlines alone."""

import asyncio
from collections import Counter

import pytest

from marigoldlift.scheduling import planner
from marigoldlift.submissions.model import Step

ELECTION_S = 1.5
TASK_S = 1.0

#: Submissions at the crest, with two tasks of one core each, and the pause between two of them in s.
CREST = 90
PAUSE_S = 0.04

#: Submissions that two workers of 8 cores can finish in a second, objective of each submission in s, and the part of what
#: they can finish until the last objective passes that has to be in time.
FINISHED_PER_S = 8
OBJECTIVE_S = 3
SERVED_SHARE = 0.75

#: Time after the crest within which all submissions are complete, in s.
SETTLED_S = 40


def by_deadline(step, now, wall_ms):
    """Return the sort key of the plain policy: priority, then deadline."""
    return (step.job.submission.policy.priority, step.job.since + step.job.objective_s)


async def play_crest(cell, urgent_every):
    """Submit more work than can be finished in time, and return how many submissions of each kind were in time."""
    await asyncio.sleep(ELECTION_S)
    cell.duration_of = lambda task: TASK_S
    for entry in cell.entries:
        entry.calls.duration_of = cell.duration_of
    leader = cell.leader()
    in_time = Counter()
    watching = []
    for number in range(CREST):
        kind = 'urgent' if urgent_every and number % urgent_every == 0 else 'plain'
        name = f'{kind}{number}'
        steps = (Step(count=2, cpu_m=1000, estimate_ms=TASK_S * 1000),)
        await cell.submit(leader, name, steps, priority=0 if kind == 'urgent' else 1)
        watching.append(asyncio.create_task(watch(cell, leader, name, kind, in_time)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.wait_for(asyncio.gather(*watching), SETTLED_S)
    return in_time


async def watch(cell, leader, name, kind, in_time):
    """Count a submission if it is complete within its objective."""
    submitted_at = cell.loop.time()
    job = leader.node.dispatcher.open_submissions.jobs.get(name)
    while job is None:
        await asyncio.sleep(0.01)
        job = leader.node.dispatcher.open_submissions.jobs.get(name)
    while job.outcome is None:
        await asyncio.sleep(0.01)
    if cell.loop.time() - submitted_at <= job.objective_s:
        in_time[kind] += 1


@pytest.mark.parametrize('urgent_every', [0, 10])
def test_more_callers_are_served_in_time_than_by_deadline(run_scenario, monkeypatch, urgent_every):
    """Guards against an order in which each submission waits until it is late, while urgent ones lose nothing."""
    outcomes = []

    async def scenario(cell):
        outcomes.append(await play_crest(cell, urgent_every))

    run_scenario(scenario, workers=2)
    monkeypatch.setattr(planner, 'service_rank', by_deadline)
    run_scenario(scenario, workers=2)
    ordered, plain = outcomes
    assert ordered['plain'] > plain['plain']
    assert ordered['urgent'] >= plain['urgent']
    possible = FINISHED_PER_S * (CREST * PAUSE_S + OBJECTIVE_S - TASK_S)
    assert sum(ordered.values()) >= SERVED_SHARE * possible
