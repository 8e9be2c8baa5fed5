"""Submissions with many occurrences or many steps, which the leader must serve beside all others."""

import asyncio
from functools import partial

import pytest

from marigoldlift.scheduling.placement_report import explain_job
from marigoldlift.scheduling.step_queue import waiting_limit
from marigoldlift.scheduling.trial_pass import MAX_STEPS
from marigoldlift.submissions.model import AdvicePolicy, Step
from marigoldlift.submissions.record_codec import decode_record
from marigoldlift.submissions.records import Outcome
from marigoldlift.submissions.step_set import PART_STEPS
from standins.cell.kinds import WorkerKind
from tests.cell.actions import set_task_duration
from tests.cell.occurrences import calls_in_round, count_calls, submit_scheduled

ELECTION_S = 1.5
SETTLED_S = 1.0

#: Time within which a task of 0.3 s is done on idle workers, also if the advice is asked first, in s.
PROMPT_S = 0.8

FEW, MANY = 100, 1000
ADVICE = AdvicePolicy(100, 5, 2000)

#: Factor by which a round may cost more with ten times as many occurrences.
LEEWAY = 1.5

TOO_LARGE = Step(count=1, cpu_m=64_000)
SMALL = Step(count=1, cpu_m=1000)
SHAPES = {
    'cannot run': (TOO_LARGE,),
    'cannot run, in a row': (TOO_LARGE, *(Step(count=1, after=(before,)) for before in range(9))),
    'runs': (SMALL,),
    'runs, in a row': (SMALL, Step(count=1, cpu_m=1000, after=(0,))),
    'gangs that cannot run': (Step(count=3, cpu_m=64_000, gang=True),),
    'tasks that last': (Step(count=1, cpu_m=1000, long_running=True),),
}


def measure_round(run_scenario, steps, occurrences):
    """Return the calls of a round while submissions with some occurrences are open."""
    measured = []

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 1000)
        for number in range(3):
            await submit_scheduled(cell.leader(), f'job{number}', steps, occurrences)
        await asyncio.sleep(SETTLED_S)
        measured.append(calls_in_round(cell))

    run_scenario(scenario, workers=2)
    return measured[0]


@pytest.mark.parametrize('steps', SHAPES.values(), ids=SHAPES.keys())
def test_round_does_not_follow_the_number_of_occurrences(run_scenario, steps):
    """Guards against LOST: a round over all due occurrences of a submission holds up the renewal of the leadership."""
    few = measure_round(run_scenario, steps, FEW)
    assert measure_round(run_scenario, steps, MANY) <= few * LEEWAY


def test_steps_whose_turn_has_not_come_cost_nothing(run_scenario):
    """Guards against LOST: a round over all steps of a submission holds up the renewal of the leadership."""
    row = [TOO_LARGE, *(Step(count=1, after=(before,)) for before in range(MANY - 1))]
    alone = measure_round(run_scenario, row[:1], 1)
    assert measure_round(run_scenario, row, 1) <= alone * LEEWAY


def count_done(cell, name):
    """Return the number of tasks of a submission that are done."""
    return sum(task.submission == name for task in cell.checker.done)


def test_every_occurrence_runs_once_over_changes_of_the_leader(run_scenario):
    """Guards against occurrences that a new leader leaves out, or runs again after they are done."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.3)
        steps = (Step(count=1, cpu_m=100), Step(count=2, cpu_m=100, after=(0,)))
        await submit_scheduled(cell.leader(), 'job', steps, 200)
        for _ in range(3):
            await asyncio.sleep(0.7)
            leader = cell.leader()
            leader.kill()
            await asyncio.sleep(0.5)
            leader.start()
            while cell.leader() is None:
                await asyncio.sleep(0.1)
        await cell.wait_for_outcomes(['job'], 30)
        assert cell.outcome('job') is Outcome.complete
        assert count_done(cell, 'job') == 600

    run_scenario(scenario, workers=4)


def test_occurrences_overlap(run_scenario):
    """Guards against an occurrence that waits for an earlier one although there is room."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 5)
        steps = (Step(count=1, cpu_m=100),)
        limit = waiting_limit(steps)
        await submit_scheduled(cell.leader(), 'job', steps, limit * 2)
        await asyncio.sleep(2)
        assert sum(len(worker.held) for worker in cell.workers.values()) == limit * 2

    run_scenario(scenario, workers=4)


def test_occurrence_starts_when_it_is_due(run_scenario):
    """Guards against an occurrence that nobody opens once its time has come, or that is opened early."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.1)
        await submit_scheduled(cell.leader(), 'job', (SMALL,), 3, 3600, first_due_in_s=-3600)
        await asyncio.sleep(2)
        assert count_done(cell, 'job') == 2
        assert cell.outcome('job') is Outcome.running

    run_scenario(scenario, workers=2)


def test_cancelled_occurrences_end(run_scenario):
    """Guards against UNASKED: occurrences of a cancelled submission that run on, or that are opened after it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        await submit_scheduled(cell.leader(), 'job', (Step(count=1, cpu_m=300),), 1000)
        await asyncio.sleep(1)
        assert any(worker.held for worker in cell.workers.values())
        await cell.leader().node.acceptance.cancel('job', 3.0)
        await asyncio.sleep(3)
        assert not any(worker.held for worker in cell.workers.values())
        assert not cell.leader().node.dispatcher.planner.waiting

    run_scenario(scenario, workers=4)


def test_occurrences_that_wait_for_room_hold_up_no_other(run_scenario):
    """Guards against LOST: each occurrence of one step uses up a placement of the pass, although none has room."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        await cell.submit(cell.leader(), 'occupant', (Step(count=3, cpu_m=4000),))
        await asyncio.sleep(0.2)
        set_task_duration(cell, 0.3)
        large = (Step(count=1, cpu_m=6000),)
        for number in range(6):
            await submit_scheduled(cell.leader(), f'large{number}', large, MANY)
        await asyncio.sleep(0.2)
        for number in range(5):
            await cell.submit(cell.leader(), f'job{number}', (SMALL,))
            await cell.wait_for_outcomes([f'job{number}'], PROMPT_S)

    run_scenario(scenario, workers=3)


@pytest.mark.parametrize('shape', ['cannot run', 'cannot run, in a row', 'gangs that cannot run'])
@pytest.mark.parametrize('advice', [None, ADVICE], ids=['plain', 'advice'])
def test_work_that_cannot_run_holds_up_no_other(run_scenario, shape, advice):
    """Guards against LOST: steps that fit on no worker use up the placements of each pass, or the advice."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.advice.policy = advice or cell.advice.policy
        set_task_duration(cell, 0.3)
        for number in range(6):
            await submit_scheduled(
                cell.leader(), f'stuck{number}', SHAPES[shape], MANY, advice=advice
            )
        await asyncio.sleep(0.2)
        for number in range(5):
            await cell.submit(cell.leader(), f'job{number}', (SMALL,), advice=advice)
            await cell.wait_for_outcomes([f'job{number}'], PROMPT_S)
        assert not any(cell.advice.asked[step] for step in cell.advice.asked if 'stuck' in step)

    run_scenario(scenario, workers=3)


def test_work_that_could_not_run_starts_once_a_worker_can_hold_it(run_scenario):
    """Guards against LOST: work that fits on a worker which has come later is not tried again."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 0.3)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=30_000),))
        await asyncio.sleep(SETTLED_S)
        cell.workers['w0'].change_kind(WorkerKind(cpu_m=32_000))
        cell.list_workers()
        await cell.wait_for_outcomes(['job'], 3)

    run_scenario(scenario, workers=2)


def calls_of_explanation(run_scenario, occurrences):
    """Return the calls that it takes to explain a small submission beside one of which many occurrences run."""
    measured = []

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        steps = (Step(count=1, cpu_m=2),)
        await submit_scheduled(cell.leader(), 'job', steps, occurrences)
        await asyncio.sleep(4)
        await submit_scheduled(cell.leader(), 'stuck', (TOO_LARGE,), 1)
        await asyncio.sleep(0.5)
        dispatcher = cell.leader().node.dispatcher
        job = dispatcher.open_submissions.jobs['job']
        assert len(job.running) == occurrences
        measured.append(count_calls(partial(explain_job, dispatcher.planner, job, 'e0')))

    run_scenario(scenario, workers=3)
    return measured[0]


def test_explanation_does_not_follow_the_number_of_running_steps(run_scenario):
    """Guards against LOST: a question of an operator holds up the renewal of the leadership."""
    few = calls_of_explanation(run_scenario, MAX_STEPS)
    assert calls_of_explanation(run_scenario, MAX_STEPS * 10) <= few * LEEWAY


def stored_progress(cell):
    """Return the stored progress records."""
    stored = [found for key, found in cell.log.newest.items() if key.startswith('p/')]
    return [decode_record(found.content) for found in stored if found.content]


def test_progress_of_many_running_steps_is_stored_in_parts(run_scenario):
    """Guards against LOST: each change of one task writes, and lets all entries read, the progress of thousands."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        count = PART_STEPS * 3
        await submit_scheduled(cell.leader(), 'job', (Step(count=1, cpu_m=10),), count)
        await asyncio.sleep(3)
        records = stored_progress(cell)
        assert max(len(record.steps) for record in records) <= PART_STEPS
        placed = [step.occurrence for record in records for step in record.steps if step.placed]
        assert sorted(placed) == list(range(count))

        cell.leader().kill()
        await asyncio.sleep(6)
        assert len(cell.leader().node.dispatcher.open_submissions.jobs['job'].running) == count
        await cell.leader().node.acceptance.cancel('job', 3.0)
        await asyncio.sleep(6)
        assert not any(worker.held for worker in cell.workers.values())
        assert not stored_progress(cell)

    run_scenario(scenario, workers=3)
