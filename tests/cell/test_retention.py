"""Submissions that have ended, in the log and in a snapshot of it."""

import asyncio

import pytest

from marigoldlift.submissions.acceptance import RequestResult
from marigoldlift.scheduling.retention import WAIT_S
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault

ELECTION_S = 1.5

#: Time in which the log refuses, in s.
REFUSAL_S = (0.004, 0.1)

#: Time of one callback on a slow VM, in s.
SLOW_CALLBACK_S = 0.0002

COUNT = 12
MANY = 120
STEPS = (Step(count=6, cpu_m=500), Step(count=3, cpu_m=1000, after=(0,)))
ONE_TASK = (Step(count=1, cpu_m=500),)

#: Promised period that ends within a story, in s.
SHORT_KEPT_S = 4.0

#: Times of the tasks that end at once and of the one that ends later, in s.
SHORT_S = 0.1
LAST_S = (0.3, 0.6)


async def finish(cell):
    """Let some submissions end, and return their names."""
    await asyncio.sleep(ELECTION_S)
    names = [f'job{number:02}' for number in range(COUNT)]
    for name in names:
        await cell.submit(cell.entries[0], name, STEPS)
    await cell.wait_for_outcomes(names, 60)
    await asyncio.sleep(4)
    return names


def keys(cell, kind):
    """Return the keys of one kind that the log keeps."""
    return {key for key in cell.log.newest if key.startswith(f'{kind}/')}


def test_ended_submission_is_kept_as_its_outcome(run_scenario):
    """Guards against snapshots that hold all that ever ran: 9 s over 5 Mbit/s at 2,800 submissions."""

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
    """Guards against a second run: the copy is stored again after the first one's records were dropped."""

    async def scenario(cell):
        names = await finish(cell)
        for entry in cell.entries:
            entry.kill()
        await asyncio.sleep(1)
        for started in cell.entries:
            started.start()
        # An entry that has not read its snapshot stores the copy; the judge blames any start.
        answers = [await cell.submit(cell.entries[0], name, STEPS) for name in names]
        assert set(answers) == {RequestResult.done}
        await asyncio.sleep(10)
        for asked in cell.entries:
            assert not asked.node.state.jobs
            assert {asked.node.state.state_of(name) for name in names} == {Outcome.complete}

    run_scenario(scenario)


def test_outcome_is_forgotten_in_time(run_scenario):
    """Guards against a log that grows for ever, and against the return of a submission whose outcome is dropped."""

    async def scenario(cell):
        names = await finish(cell)
        cell.entries[1].node.state.finished.clear()
        copy = cell.entries[1].node.acceptance
        submission = cell.checker.submissions[names[0]]
        assert await copy.submit(submission, 3.0) is RequestResult.done
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
    """Let many submissions end at once and one a little later, and return the names of the many."""
    names = [f'job{number:02}' for number in range(MANY)]
    for short in names:
        cell.durations[only_task(short)] = SHORT_S
    cell.durations[only_task('last')] = cell.rng.uniform(*LAST_S)
    handed_in = [cell.submit(cell.entries[0], name, ONE_TASK) for name in (*names, 'last')]
    await asyncio.gather(*handed_in)
    await cell.wait_for_outcomes(names, 60)
    return names


def only_task(name):
    """Return the task of a submission that has one."""
    return TaskRef(SubmissionId(name), 0, 0, 0)


async def refuse_until_given_up(cell):
    """Let the log refuse from before a round of the retention until about when its records are given up."""
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
    """Guards against "gone" after an acceptance was dropped while its outcome was given up."""

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
    """Guards against a second run: an entry that missed the drop of a submission leads after the history was lost."""

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
