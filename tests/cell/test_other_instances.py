"""Workers at whose address another instance answers."""

import asyncio
from collections import Counter

import pytest

from marigoldlift.errors import WorkerRefusedError
from marigoldlift.submissions.model import Step
from tests.cell.actions import ELECTION_S, set_task_duration

TASKS = 4
TASK_S = 2.0
STEPS = (Step(count=TASKS, cpu_m=4000),)

#: Time within which a status poll has been refused, in s: a poll waits up to 0.7 s for an end.
POLLED_S = 1.0


class OtherInstance:
    """Refuses the orders of an entry for a worker as another instance at its address does.

    Attributes:
        refused: number of refused orders by kind.
    """

    def __init__(self, calls, name, polls_held_s):
        """Refuse from now on, status polls only after a while, in s."""
        self.calls = calls
        self.name = name
        self.polls_held_s = polls_held_s
        self.refused = Counter()
        self.start_elsewhere = calls.start
        self.poll_elsewhere = calls.poll
        calls.start = self.start
        calls.poll = self.poll

    def refuse(self, kind):
        """Count and refuse an order."""
        self.refused[kind] += 1
        raise WorkerRefusedError('instance', 'another incarnation answered')

    async def start(self, worker, token, order, may_send):
        """Refuse the start of a run."""
        if worker.id != self.name:
            return await self.start_elsewhere(worker, token, order, may_send)
        await asyncio.sleep(0.01)
        return self.refuse('start')

    async def poll(self, worker, token, last_acknowledged, until_ms, wait_ms):
        """Refuse a status poll."""
        if worker.id != self.name:
            return await self.poll_elsewhere(worker, token, last_acknowledged, until_ms, wait_ms)
        await asyncio.sleep(self.polls_held_s)
        return self.refuse('poll')


async def replace_worker(cell, polls_held_s):
    """Let another instance answer at the address of a worker, and return the refusing calls of the leader."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, TASK_S)
    replaced = next(iter(cell.workers.values()))
    other = OtherInstance(cell.leader().calls, replaced.name, polls_held_s)
    replaced.crash()
    return other


@pytest.mark.parametrize('silent_s', [0, 0.2])
def test_worker_that_refuses_polls_gets_no_starts(run_scenario, silent_s):
    """Guards against starts that are all refused for 1.3 s: a refused poll has told that another instance answers."""

    async def scenario(cell):
        other = await replace_worker(cell, polls_held_s=0.01)
        while not other.refused['poll']:
            await asyncio.sleep(0.01)
        await asyncio.sleep(silent_s)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(TASK_S / 2)
        held = [run for worker in cell.workers.values() for run in worker.held.values()]
        assert len(held) == TASKS
        assert {run.run for run in held} == {1}
        assert not other.refused['start']

    run_scenario(scenario)


def test_placed_start_is_not_sent_after_a_refused_poll(run_scenario):
    """Guards against starts that are refused since the poll that was came back between their placement and their order."""

    async def scenario(cell):
        other = await replace_worker(cell, polls_held_s=0.01)
        progress = cell.leader().node.dispatcher.progress
        store = progress.store_now

        async def store_late(step):
            is_stored = await store(step)
            while not other.refused['poll']:
                await asyncio.sleep(0.01)
            return is_stored

        progress.store_now = store_late
        await cell.submit(cell.leader(), 'job', STEPS)
        await cell.wait_for_outcomes(['job'], 3 * TASK_S)
        assert not other.refused['start']

    run_scenario(scenario)


def test_refused_start_tells_of_the_other_instance(run_scenario):
    """Guards against tasks that are sent to the same address again at once, until a status poll comes back refused."""

    async def scenario(cell):
        other = await replace_worker(cell, polls_held_s=POLLED_S)
        await cell.submit(cell.leader(), 'job', STEPS)
        await cell.wait_for_outcomes(['job'], 2 * TASK_S)
        assert other.refused['start'] <= TASKS

    run_scenario(scenario)


def test_worker_that_answers_again_gets_starts(run_scenario):
    """Guards against workers that are lost for good after a refusal, since nothing but an answered poll counts."""

    async def scenario(cell):
        other = await replace_worker(cell, polls_held_s=POLLED_S)
        replaced = cell.workers[other.name]
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(POLLED_S)
        other.name = ''
        replaced.up = True
        await cell.wait_for_outcomes(['job'], 3 * TASK_S)
        await asyncio.sleep(POLLED_S)
        await cell.submit(cell.leader(), 'later', (Step(count=2 * len(cell.workers), cpu_m=4000),))
        await asyncio.sleep(POLLED_S)
        assert replaced.held

    run_scenario(scenario)
