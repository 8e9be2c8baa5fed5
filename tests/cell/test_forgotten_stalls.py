"""Tasks that take minutes, without an estimate, after the leader has learned how long their percents take."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5

#: Time of a task, in s: a percent takes longer than a first run is allowed, and less than a second one.
TASK_S = 300

#: Time after which all tasks run for the second time, and time for which they are watched then, in s.
LEARNED_S = 20
WATCHED_S = 20

#: Time within which all tasks end, in s.
LIMIT_S = TASK_S + LEARNED_S

#: Tasks whose stalls are remembered here.
REMEMBERED = 20


def test_long_run_is_not_stopped_by_the_next_leader(run_scenario):
    """Guards against minutes of work that are lost with each change of the leader, and tasks that never end between two."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        first = cell.leader()
        await cell.submit(first, 'job', (Step(count=2, cpu_m=1000),))
        await asyncio.sleep(LEARNED_S)
        starts = dict(cell.checker.starts)
        first.kill()
        await asyncio.sleep(WATCHED_S)
        assert cell.leader() not in {None, first}
        assert dict(cell.checker.starts) == starts

    run_scenario(scenario)


@pytest.mark.parametrize('tasks', [REMEMBERED, REMEMBERED + 1])
def test_more_long_tasks_than_are_remembered_end(run_scenario, monkeypatch, tasks):
    """Guards against LOST: the stall of one task makes the leader forget that of another one, whose healthy run it then stops."""
    # Only a leader that forgets tasks has this limit.
    monkeypatch.setattr('marigoldlift.scheduling.stalls.MAX_TASKS', REMEMBERED, raising=False)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        await cell.submit(cell.leader(), 'job', (Step(count=tasks, cpu_m=500),))
        await cell.wait_for_outcomes(['job'], LIMIT_S)

    run_scenario(scenario)
