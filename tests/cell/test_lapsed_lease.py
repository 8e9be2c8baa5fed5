"""Tasks that are placed at workers that answer again after their lease has lapsed."""

import asyncio
from collections import Counter

import pytest

from marigoldlift.submissions.model import AdvicePolicy, Step
from marigoldlift.submissions.record_codec import decode_record, progress_key
from standins.cell.log import LogFault
from tests.cell.actions import ELECTION_S, cut_off, reconnect, set_task_duration

#: How long the workers do not answer, in s: longer than a lease.
CUT_S = 6.5

#: How long after that the log does not answer either, in s. The leader may renew no lease until then, and its next polls, which
#: wait for an end, are on their way without one.
LOG_DELAY_S = 0.5

TASK_S = 1.0
SETTLED_S = 6.0
RETRY_S = 0.02
ADVICE = AdvicePolicy(10, 0.15, 2000)
STEPS = (Step(count=4, cpu_m=1000),)


def keep_storing(leader, delay_s):
    """Let the record of each placement be stored after a delay."""
    progress = leader.node.dispatcher.progress
    store = progress.store_now

    async def store_slowly(step):
        is_stored = await store(step)
        await asyncio.sleep(delay_s)
        return is_stored

    progress.store_now = store_slowly


def count_placements(leader):
    """Return the number of placements of each task that the leader makes from now on."""
    starter = leader.node.dispatcher.starter
    start = starter.start
    placements = Counter()

    def count(step, index, session, run):
        is_placed = start(step, index, session, run)
        placements[step.task(index)] += is_placed
        return is_placed

    starter.start = count
    return placements


def stored_place(cell, leader, task):
    """Return the worker at which the newest progress record of a submission places a task, None if there is none."""
    key = progress_key(task.submission, leader.node.election.tenure, 0)
    stored = cell.log.newest[key]
    record = decode_record(stored.content)
    steps = {(step.occurrence, step.step): step for step in record.steps}
    return steps[task.occurrence, task.step].placed.get(task.index)


def note_unrecorded_starts(cell, leader):
    """Return the tasks whose starts leave from now on while no stored record names their placement."""
    start = leader.calls.start
    unrecorded = []

    async def note(worker, token, order, may_send):
        if stored_place(cell, leader, order.task) != worker.id:
            unrecorded.append(order.task)
        return await start(worker, token, order, may_send)

    leader.calls.start = note
    return unrecorded


async def lose_contact(cell):
    """Let neither the workers nor the log answer for longer than a lease, then first the workers, then the log."""
    for worker in cell.workers:
        cut_off(cell, worker)
    for entry in cell.entries:
        entry.log.fault = LogFault.silent
    await asyncio.sleep(CUT_S)
    reconnect(cell)
    await asyncio.sleep(LOG_DELAY_S)
    for healed in cell.entries:
        healed.log.fault = None


async def submit_until_accepted(cell, entry, name, advice):
    """Hand in a submission again and again until it is accepted."""
    while True:
        answer = await cell.submit(entry, name, STEPS, advice=advice)
        if name in cell.accepted([name]):
            return answer
        await asyncio.sleep(RETRY_S)


async def submit_after_outage(cell, delay_s, advice):
    """Hand in submissions as soon as the log answers after an outage, wait for their ends, and return the leader's placements."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    cell.advice.policy = ADVICE
    leader = cell.leader()
    if delay_s:
        keep_storing(leader, delay_s)
    placements = count_placements(leader)
    unrecorded = note_unrecorded_starts(cell, leader)
    await lose_contact(cell)
    names = [f'job{number}' for number in range(5)]
    await asyncio.gather(*(submit_until_accepted(cell, leader, name, advice) for name in names))
    await cell.wait_for_outcomes(names, SETTLED_S)
    assert cell.leader() is leader
    assert not unrecorded
    return placements


@pytest.mark.parametrize('advice', [None, ADVICE])
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('delay_s', [0.03, 0.1, 0.3])
def test_task_placed_after_an_outage_runs_once(run_scenario, delay_s, seed, advice):
    """Guards against TWICE and LIMIT: the start of a run that was given up is sent beside that of the next run."""

    async def scenario(cell):
        await submit_after_outage(cell, delay_s, advice)

    run_scenario(scenario, seed=seed)


@pytest.mark.parametrize('advice', [None, ADVICE])
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('delay_s', [0.03, 0.1, 0.3])
def test_task_placed_after_an_outage_is_placed_once(run_scenario, delay_s, seed, advice):
    """Guards against late starts: a placed run is given up with the lapsed lease of a worker that answers again."""

    async def scenario(cell):
        placements = await submit_after_outage(cell, delay_s, advice)
        assert set(placements.values()) == {1}

    run_scenario(scenario, seed=seed)


@pytest.mark.parametrize('answer_s', [0.004, 0.03])
def test_order_leaves_after_its_placement_is_stored(run_scenario, answer_s):
    """Guards against TWICE after a takeover: a start of which no record tells where it may run."""

    async def scenario(cell):
        for entry in cell.entries:
            entry.log.answer_s = answer_s
        await submit_after_outage(cell, 0, None)

    run_scenario(scenario)
