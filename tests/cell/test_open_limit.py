"""Submissions that are refused because too much is open."""

import asyncio

from marigoldlift.scheduling.step_queue import waiting_limit
from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step
from tests.cell.actions import set_task_duration
from tests.cell.occurrences import submit_scheduled

ELECTION_S = 1.5
TOO_LARGE = (Step(count=1, cpu_m=64_000),)
MOST = 3 * waiting_limit(TOO_LARGE)


def test_submissions_beyond_the_limit_are_refused_before_they_are_stored(
    run_scenario, monkeypatch
):
    """Guards against LOST: what callers hand in makes the rounds of the leader, and its memory, grow without a bound."""
    monkeypatch.setattr('marigoldlift.submissions.open_limit.MAX_OPEN_STEPS', MOST)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.3)
        entry = cell.leader()
        names = [f'stuck{number}' for number in range(5)]
        answers = [await submit_scheduled(entry, name, TOO_LARGE, 1000) for name in names]
        assert set(answers[:3]) == {AcceptanceResult.done}
        assert set(answers[3:]) == {AcceptanceResult.refused}
        assert cell.accepted(names) == names[:3]
        assert await cell.submit(entry, 'job', (Step(count=1),)) is AcceptanceResult.refused
        await asyncio.sleep(0.2)
        assert len(entry.node.dispatcher.planner.waiting) == MOST

        await entry.node.acceptance.cancel(names[0], 3.0)
        await asyncio.sleep(0.5)
        assert await cell.submit(entry, 'job', (Step(count=1),)) is AcceptanceResult.done
        await cell.wait_for_outcomes(['job'], 1)

    run_scenario(scenario, workers=2)


def test_tasks_beyond_the_limit_are_refused(run_scenario, monkeypatch):
    """Guards against a leader that is killed for its memory, since each waiting task is an object."""
    monkeypatch.setattr('marigoldlift.submissions.open_limit.MAX_OPEN_TASKS', 1000)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.leader()
        for count, expected in ((900, 'done'), (101, 'refused'), (100, 'done'), (1, 'refused')):
            answer = await cell.submit(entry, f'job{count}', (Step(count=count, cpu_m=64_000),))
            assert answer is AcceptanceResult(expected)

    run_scenario(scenario, workers=2)


def test_answer_to_a_known_submission_does_not_depend_on_the_limit(run_scenario, monkeypatch):
    """Guards against LOST: a repeated request for an accepted submission is told that it was not accepted."""
    monkeypatch.setattr('marigoldlift.submissions.open_limit.MAX_OPEN_STEPS', 1)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 5)
        for _ in range(2):
            answer = await cell.submit(cell.leader(), 'job', (Step(count=1),))
            assert answer is AcceptanceResult.done

    run_scenario(scenario, workers=2)
