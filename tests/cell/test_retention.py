"""Submissions that have ended, in the log and in a snapshot of it."""

import asyncio

from marigoldlift.submissions.acceptance import Answer
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome

LEAD_S = 1.5
COUNT = 12
STEPS = (Step(count=6, cpu_m=500), Step(count=3, cpu_m=1000, after=(0,)))


async def finish(cell):
    """Let some submissions end, and return their names."""
    await asyncio.sleep(LEAD_S)
    names = [f'job{number:02}' for number in range(COUNT)]
    for name in names:
        await cell.submit(cell.entries[0], name, STEPS)
    await cell.settle(names, 60)
    await asyncio.sleep(4)
    return names


def keys(cell, kind):
    """Return the keys of one kind that the log keeps."""
    return {key for key in cell.log.newest if key.startswith(f'{kind}/')}


def test_ended_submission_is_kept_as_its_outcome(play):
    """Guards against snapshots that hold all that ever ran: 9 s over 5 Mbit/s at 2,800 submissions."""

    async def story(cell):
        names = await finish(cell)
        assert keys(cell, 'f') == {f'f/{name}' for name in names}
        assert not keys(cell, 's')
        assert not keys(cell, 'p')
        for entry in cell.entries:
            assert not entry.node.state.jobs
            answers = [await entry.node.acceptance.outcome(name, 3.0) for name in names]
            assert set(answers) == {Outcome.complete}

    play(story)


def test_late_copy_of_an_ended_submission_runs_nothing(play):
    """Guards against a second run: the copy is stored again after the first one's records were dropped."""

    async def story(cell):
        names = await finish(cell)
        for entry in cell.entries:
            entry.kill()
        await asyncio.sleep(1)
        for started in cell.entries:
            started.start()
        # An entry that has not read its snapshot stores the copy; the judge blames any start.
        answers = [await cell.submit(cell.entries[0], name, STEPS) for name in names]
        assert set(answers) == {Answer.done}
        await asyncio.sleep(10)
        for asked in cell.entries:
            assert not asked.node.state.jobs
            assert {asked.node.state.state_of(name) for name in names} == {Outcome.complete}

    play(story)


def test_outcome_is_forgotten_in_time(play):
    """Guards against a log that grows for ever, and against the return of a submission whose outcome is dropped."""

    async def story(cell):
        names = await finish(cell)
        cell.entries[1].node.state.finished.clear()
        copy = cell.entries[1].node.acceptance
        submission = cell.judge.submissions[names[0]]
        assert await copy.submit(submission, 3.0) is Answer.done
        assert keys(cell, 's')
        await asyncio.sleep(2 * 120 + 10)
        assert not keys(cell, 's') | keys(cell, 'f') | keys(cell, 'p')
        for entry in cell.entries:
            entry.kill()
            entry.start()
        await asyncio.sleep(5)
        assert not any(entry.node.state.jobs for entry in cell.entries)

    play(story)
