"""Retention of ended submissions in the log and its snapshots."""

import asyncio

import pytest

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.scheduling.retention import WAIT_S
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault

ELECTION_S = 1.5

#: Bounds of the time after which the log answers with a refusal, in s.
REFUSAL_S = (0.004, 0.1)

#: Duration of one callback on a slow VM, in s.
SLOW_CALLBACK_S = 0.0002

COUNT = 12
MANY = 120
STEPS = (Step(count=6, cpu_m=500), Step(count=3, cpu_m=1000, after=(0,)))
ONE_TASK = (Step(count=1, cpu_m=500),)

#: Period for which outcomes are kept that ends within a scenario, in s.
SHORT_KEPT_S = 4.0

#: Run time of the tasks that end together, and bounds of that of the one that ends later, in s.
SHORT_S = 0.1
LAST_S = (0.3, 0.6)


async def finish(cell):
    """Run some submissions to their end and return their names."""
    await asyncio.sleep(ELECTION_S)
    names = [f'job{number:02}' for number in range(COUNT)]
    for name in names:
        await cell.submit(cell.entries[0], name, STEPS)
    await cell.wait_for_outcomes(names, 60)
    await asyncio.sleep(4)
    return names


def keys(cell, kind):
    """Return the keys of one kind whose newest record is in the log."""
    return {key for key in cell.log.newest if key.startswith(f'{kind}/')}


def test_ended_submission_is_kept_as_its_outcome(run_scenario):
    """Guards against snapshots that hold all submissions ever run: 2,800 took 9 s to read over 5 Mbit/s."""

    async def scenario(cell):
        names = await finish(cell)
        assert keys(cell, 'f') == {f'f/{name}' for name in names}
        assert not keys(cell, 's')
        assert not keys(cell, 'p')
        for entry in cell.entries:
            assert not entry.node.state.jobs
            answers = [await entry.node.acceptance.outcome(name, 3.0) for name in names]
            assert set(answers) == {Outcome.complete}

    run_scenario(scenario)


def test_late_copy_of_an_ended_submission_runs_nothing(run_scenario):
    """Guards against a second run: a late copy is stored after the records of the first one were dropped."""

    async def scenario(cell):
        names = await finish(cell)
        for entry in cell.entries:
            entry.kill()
        await asyncio.sleep(1)
        for started in cell.entries:
            started.start()
        # An entry that has not read its snapshot stores the copy; the checker records any start as a violation.
        answers = [await cell.submit(cell.entries[0], name, STEPS) for name in names]
        assert set(answers) == {AcceptanceResult.done}
        await asyncio.sleep(10)
        for asked in cell.entries:
            assert not asked.node.state.jobs
            assert {asked.node.state.state_of(name) for name in names} == {Outcome.complete}

    run_scenario(scenario)


def test_outcome_is_forgotten_in_time(run_scenario):
    """Guards against a log that grows for ever, and a submission that reappears after its outcome was dropped."""

    async def scenario(cell):
        names = await finish(cell)
        cell.entries[1].node.state.finished.clear()
        copy = cell.entries[1].node.acceptance
        submission = cell.checker.submissions[names[0]]
        assert await copy.submit(submission, 3.0) is AcceptanceResult.done
        assert keys(cell, 's')
        await asyncio.sleep(2 * 120 + 10)
        assert not keys(cell, 's') | keys(cell, 'f') | keys(cell, 'p')
        for entry in cell.entries:
            entry.kill()
            entry.start()
        await asyncio.sleep(5)
        assert not any(entry.node.state.jobs for entry in cell.entries)

    run_scenario(scenario)


async def finish_at_once(cell):
    """Run `MANY` submissions that end together and one that ends a little later; return the names of the former."""
    names = [f'job{number:02}' for number in range(MANY)]
    for short in names:
        cell.durations[only_task(short)] = SHORT_S
    cell.durations[only_task('last')] = cell.rng.uniform(*LAST_S)
    submitting = [cell.submit(cell.entries[0], name, ONE_TASK) for name in (*names, 'last')]
    await asyncio.gather(*submitting)
    await cell.wait_for_outcomes(names, 60)
    return names


def only_task(name):
    """Return the task of a submission that has only one."""
    return TaskRef(SubmissionId(name), 0, 0, 0)


async def refuse_until_given_up(cell):
    """Let the log refuse calls from before a retention round until about the time when its append is given up."""
    retention = cell.leader().node.dispatcher.retention
    answer_s = cell.rng.uniform(*REFUSAL_S)
    for refused in cell.entries:
        refused.log.fault = LogFault.refuse
        refused.log.answer_s = answer_s
    await asyncio.sleep(1.5)
    given_up_at = retention.round_at + WAIT_S
    await asyncio.sleep(given_up_at - cell.rng.uniform(0, 0.3) - cell.loop.time())
    for served in cell.entries:
        served.log.fault = None


@pytest.mark.parametrize('seed', range(30))
def test_outcome_survives_a_log_that_refuses(run_scenario, seed):
    """Guards against "gone": the acceptance was dropped although the append of the outcome was given up."""

    async def scenario(cell):
        cell.loop.callback_s = SLOW_CALLBACK_S
        await asyncio.sleep(ELECTION_S)
        names = await finish_at_once(cell)
        await refuse_until_given_up(cell)
        await asyncio.sleep(10)
        for asked in cell.entries:
            answers = [await asked.node.acceptance.outcome(name, 3.0) for name in names]
            assert set(answers) == {Outcome.complete}

    run_scenario(scenario, seed=seed)


def test_forgotten_submission_is_not_run_again_by_an_entry_that_was_away(run_scenario):
    """Guards against a second run: an entry that missed the removal of a submission leads after history was dropped."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        away = next(entry for entry in cell.entries if entry is not leader)
        await cell.submit(leader, 'job', ONE_TASK)
        assert await away.node.acceptance.outcome('job', 1.0) is Outcome.queued
        away.log.fault = LogFault.silent
        await cell.wait_for_outcomes(['job'], 30)
        await asyncio.sleep(SHORT_KEPT_S * 2 + 10)
        assert not keys(cell, 's') | keys(cell, 'f')
        cell.log.drop_history()
        away.log.fault = None
        await asyncio.sleep(3)
        for killed in cell.entries:
            if killed is not away:
                killed.kill()
        await asyncio.sleep(15)
        assert cell.leader() is away

    run_scenario(scenario, outcome_kept_s=SHORT_KEPT_S)
