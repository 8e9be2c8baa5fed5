"""Answers where a submission would go, compared with what then happens."""

import asyncio
from collections import Counter

import pytest

from marigoldlift.scheduling.explanation import Ruling, StepReason
from marigoldlift.scheduling.placement_report import explain_job, trial_job
from marigoldlift.submissions.model import AdvicePolicy, Step, Submission, SubmissionId
from marigoldlift.workspaces.model import NO_WORKSPACE
from tests.cell.actions import cut_off, set_task_duration
from tests.cell.model import policy
from tests.cell.worker_load import KINDS, Load

SETTLED_S = 2.0
LONG_TASK_S = 60
ADVICE = AdvicePolicy(450, 6.5, 2000)


def change_kinds(cell):
    """Give six workers the labels and resources that random steps need."""
    for worker, kind in zip(cell.workers.values(), KINDS * 2, strict=True):
        worker.change_kind(kind)


def planner_of(cell):
    """Return the planner of the leader."""
    return cell.leader().node.dispatcher.planner


def explain(cell, steps, workspace=NO_WORKSPACE, **policy_fields):
    """Return the answer for a submission that is not handed in."""
    planned = Submission(
        SubmissionId('trial'), '', steps, policy(**policy_fields), 'e0', workspace=workspace
    )
    planner = planner_of(cell)
    return explain_job(planner, trial_job(planned, planner.clock()), 'e0').steps


def explained_places(step):
    """Return the number of tasks by worker in an answer."""
    return Counter({place.worker: place.tasks for place in step.places})


def step_number(told):
    """Return the number of the step that an answer is about."""
    return int(told.step.rpartition('.')[2])


def watch_first_pass(planner, name):
    """Return a dict that gets the places and reasons of the steps of a submission after the first pass with it."""
    seen = {}
    run_pass = planner.run_pass

    def watched():
        steps = [step for step in planner.waiting if step.job.id == name]
        run_pass()
        for step in [] if seen else steps:
            active = Counter(place.session.worker.id for place in step.active.values())
            reason = planner.pending.reasons.get(step)
            seen[step.number] = (active, reason)

    planner.run_pass = watched
    return seen


@pytest.mark.parametrize('seed', range(12))
def test_answer_is_what_then_happens(run_scenario, seed):
    """Guards against an answer that differs from the decision: workers, number of tasks, reason of what waits."""

    async def scenario(cell):
        change_kinds(cell)
        cell.set_cap('lab', cpu_m=9000)
        await asyncio.sleep(SETTLED_S)
        set_task_duration(cell, LONG_TASK_S)
        load = Load(cell)
        for number in range(14):
            steps = tuple(load.steps())
            workspace = cell.rng.choice(('lab', NO_WORKSPACE))
            priority = cell.rng.randint(0, 2)
            name = f'job{number}'
            answer = explain(cell, steps, workspace, priority=priority)
            seen = watch_first_pass(planner_of(cell), name)
            await cell.submit(cell.leader(), name, steps, workspace, priority=priority)
            await asyncio.sleep(0.3)
            assert [told.step for told in answer] == [
                f'trial.0.{number}' for number, _ in enumerate(steps)
            ]
            for told in answer:
                places, reason = seen.get(step_number(told), (Counter(), None))
                assert explained_places(told) == places, (number, told)
                if step_number(told) not in seen:
                    assert told.reason == StepReason.predecessors.value
                elif told.reason not in {kind.value for kind in StepReason}:
                    assert told.reason == reason.value
            job = cell.leader().node.dispatcher.open_submissions.jobs[name]
            assert not any(step.places for step in explain_job(planner_of(cell), job, 'e0').steps)

    run_scenario(scenario, seed, workers=6)


def compare_pass(dispatcher, compared):
    """Run a pass, and compare the answers for all open submissions right before it with what it does."""
    planner = dispatcher.planner
    jobs = list(dispatcher.open_submissions.jobs.values())
    told = [explain_job(planner, job, 'e0').steps for job in jobs]
    before = {step: dict(step.active) for job in jobs for step in job.steps.values()}
    asking = {step for step in before if step.is_asking}
    type(planner).run_pass(planner)
    for job, answers in zip(jobs, told, strict=True):
        assert len(answers) == len(job.submission.steps)
        for answer in answers:
            compared[answer.reason] += 1
            step = job.steps.get((0, step_number(answer)))
            if step is None:
                assert answer.reason in {'predecessors', 'nothing_waits'}
                assert not answer.places
                assert not answer.to_ask
                continue
            started = step.active.items() - before.get(step, {}).items()
            places = Counter(place.session.worker.id for _, place in started)
            assert explained_places(answer) == places, answer
            assert bool(answer.to_ask) == (step.is_asking and step not in asking), answer
            reason = planner.pending.reasons.get(step)
            if reason and not answer.to_ask:
                assert answer.reason == reason.value


@pytest.mark.parametrize('seed', range(3))
def test_answers_for_waiting_work_are_what_the_next_pass_does(run_scenario, seed):
    """Guards against answers that leave out tickets, reservations, labels, health, or what more urgent steps take."""
    compared = Counter()

    async def scenario(cell):
        change_kinds(cell)
        await asyncio.sleep(SETTLED_S)
        dispatcher = cell.leader().node.dispatcher
        dispatcher.planner.run_pass = lambda: compare_pass(dispatcher, compared)
        cell.workers['w1'].fails = True
        load = Load(cell)
        await load.run(8)
        cell.workers['w1'].fails = False
        await cell.wait_for_outcomes(sorted(set(load.stored()) - load.cancelled), 90)
        assert cell.leader().node.dispatcher is dispatcher

    run_scenario(scenario, seed, workers=6)
    expected = ('placed', 'needs_advice', 'advice_call', 'room', 'predecessors', 'reserved')
    assert not set(expected) - compared.keys()


def state_of(cell):
    """Return what a pass would change: runs, steps, tickets, reservations, limits, bookings, counts and the log."""
    node = cell.leader().node
    dispatcher = node.dispatcher
    planner = dispatcher.planner
    sessions = planner.session_manager.sessions
    steps = [
        step for job in dispatcher.open_submissions.jobs.values() for step in job.steps.values()
    ]
    tables = [session.run_table for session in sessions.values()]
    kept = (
        [(table.changes, list(map(fields_of, table.runs.values()))) for table in tables],
        [(step.name, fields_of(step)) for step in steps],
        [fields_of(step.job) for step in steps],
        [fields_of(step.job.queue) for step in steps],
        [step.job.complete.mask for step in steps],
        planner.waiting,
        planner.reserved,
        planner.pending.reasons,
        [(step.name, fields_of(span)) for step, span in planner.pending.spans.items()],
        planner.caps.reserved,
        planner.caps.refused,
        fields_of(planner.placer),
        planner.session_manager.held_tasks.holders,
        list(map(fields_of, planner.session_manager.health_records.values())),
        planner.starter.limits.counts,
        planner.starter.tasks.tasks,
        list(map(fields_of, node.broker.relays.values())),
        list(map(fields_of, node.acceptance.admission.shares.usages.values())),
        dispatcher.progress.changed,
        cell.advice.asked,
        cell.log.records,
        node.parts.metrics.render(),
    )
    return list(map(repr, kept))


def fields_of(target):
    """Return the fields of an object, with slots or without."""
    names = getattr(target, '__slots__', None) or target.__dict__
    return {name: getattr(target, name) for name in names}


def test_answer_changes_nothing(run_scenario):
    """Guards against runs, tickets, questions, reservations, counts or records that an answer leaves behind."""

    async def scenario(cell):
        await asyncio.sleep(SETTLED_S)
        set_task_duration(cell, LONG_TASK_S)
        cell.set_cap('lab', cpu_m=6000)
        steps = (Step(count=5, cpu_m=3000), Step(count=3, cpu_m=6000, gang=True))
        await cell.submit(cell.leader(), 'lab', steps, 'lab')
        await cell.submit(cell.leader(), 'gang', steps, advice=ADVICE)
        await asyncio.sleep(1)
        before = state_of(cell)
        for workspace in ('lab', NO_WORKSPACE):
            for advice in (ADVICE, None):
                explain(cell, steps, workspace, priority=0, advice=advice)
        for job in cell.leader().node.dispatcher.open_submissions.jobs.values():
            explain_job(planner_of(cell), job, 'e0')
        assert state_of(cell) == before
        await asyncio.sleep(1)
        assert not any('trial' in stored.key for stored in cell.log.records)
        assert not any('trial' in step for step in cell.advice.asked)

    run_scenario(scenario)


def test_advice_is_named_instead_of_asked(run_scenario):
    """Guards against an answer that names workers without a ticket, or that uses up calls to the advice."""

    async def scenario(cell):
        await asyncio.sleep(SETTLED_S)
        told = explain(cell, (Step(count=2, cpu_m=1000),), advice=ADVICE)[0]
        assert (told.reason, told.places) == (StepReason.needs_advice.value, [])
        assert set(told.to_ask) == set(cell.workers)
        assert told.ruled_out == {Ruling.no_ticket.value: 4}
        assert not cell.advice.asked

    run_scenario(scenario)


def test_each_ruled_out_worker_is_counted_once(run_scenario):
    """Guards against workers that are missing from the answer, or are counted under the wrong cause."""

    async def scenario(cell):
        await asyncio.sleep(SETTLED_S)
        set_task_duration(cell, LONG_TASK_S)
        await cell.submit(cell.leader(), 'filler', (Step(count=1, cpu_m=8000),), priority=0)
        await asyncio.sleep(0.5)
        cut_off(cell, 'w3')
        await asyncio.sleep(1.6)
        first, second = explain(
            cell, (Step(count=3, cpu_m=1000, spread_limit=1), Step(count=1, after=(0,)))
        )
        assert (first.position, first.service_class) == (1, 'in_time')
        counted = Counter(first.ruled_out)
        assert counted.total() + len(first.places) == len(cell.workers)
        assert counted[Ruling.not_answering.value] == 1
        assert counted[Ruling.cpu.value] == 1
        assert (second.reason, second.position) == (StepReason.predecessors.value, 0)
        labelled = explain(cell, (Step(count=1, cpu_m=1000, requires='none'),))[0]
        assert labelled.ruled_out == {Ruling.not_answering.value: 1, Ruling.label.value: 3}

    run_scenario(scenario)
