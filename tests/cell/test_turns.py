"""Turns of waiting steps at a leader whose passes end early, while further steps arrive all the time."""

import asyncio

import msgspec
import pytest

from marigoldlift.submissions.model import Step, TaskRef
from tests.cell.idle import LOST_AFTER_S
from tests.cell.test_slow_rounds import SlowAttempts
from tests.cell.test_slow_starts import SlowStarts

ELECTION_S = 1.5
TASK_S = 0.2
CPU_M = 8000

#: Time between two submissions, in s: more than the leader can try at 5 ms each besides its pauses, or start at `START_S` each.
INTERVAL_S = 0.01
START_S = 0.02

#: Time for which the worker that the judged step needs is full, in s; the step has had a turn by then.
FULL_S = 3.0


def set_durations(cell):
    """Let the task that fills the last worker run for `FULL_S`, those that keep wide steps off for longer; others are short."""
    durations = {'filler': FULL_S, 'holder': 10 * FULL_S}

    def duration_of(task):
        return durations.get(task.submission, TASK_S)

    for entry in cell.entries:
        entry.calls.duration_of = duration_of


def label_workers(cell):
    """Label the workers, so that small tasks leave the last one alone."""
    *others, last = cell.workers.values()
    for worker in others:
        worker.kind = msgspec.structs.replace(worker.kind, labels=('kind', 'small'))
    last.kind = msgspec.structs.replace(last.kind, labels=('kind', 'last'))
    cell.list_workers()


async def submit_small(cell):
    """Hand in small submissions one after the other; none of them may use the last worker."""
    for number in range(round((FULL_S + LOST_AFTER_S) / INTERVAL_S)):
        steps = (Step(count=1, cpu_m=20, requires='small'),)
        cell.loop.create_task(cell.submit(cell.entries[0], f'small{number}', steps))
        await asyncio.sleep(INTERVAL_S)


@pytest.mark.parametrize('charge', [SlowAttempts, SlowStarts])
@pytest.mark.parametrize('wide_steps', [0, 4])
def test_step_that_found_no_room_has_another_turn_while_others_arrive(
    run_scenario, monkeypatch, charge, wide_steps
):
    """Guards against LOST: a step that was tried once waits behind all that arrive later, though a worker has room for it.

    It is late by then. Passes end early by their time limit, or at the limit of the starts in flight; with `wide_steps` there are
    as many more urgent steps without room as each pass tries in any case.
    """

    monkeypatch.setattr('tests.cell.test_slow_starts.START_S', START_S)

    async def scenario(cell):
        label_workers(cell)
        set_durations(cell)
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        filler = Step(count=1, cpu_m=CPU_M, requires='last')
        await cell.submit(cell.entries[0], 'filler', (filler,))
        holder = Step(count=len(cell.workers) - 1, cpu_m=1000, requires='small', spread_limit=1)
        await cell.submit(cell.entries[0], 'holder', (holder,))
        await asyncio.sleep(0.5)
        tenure = leader.node.election.tenure
        charge(cell, leader)
        for number in range(wide_steps):
            wide = (Step(count=1, cpu_m=CPU_M, requires='small'),)
            await cell.submit(cell.entries[0], f'wide{number}', wide, priority=0)
        await cell.submit(cell.entries[0], 'job', (Step(count=1, cpu_m=1000, requires='last'),))
        submitting = cell.loop.create_task(submit_small(cell))
        await asyncio.sleep(FULL_S + LOST_AFTER_S)
        assert not cell.checker.running.get(TaskRef('filler', 0, 0, 0))
        assert leader.node.election.tenure == tenure
        assert cell.checker.starts[TaskRef('job', 0, 0, 0)] == 1
        await submitting

    run_scenario(scenario)
