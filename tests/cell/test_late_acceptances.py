"""Submissions that an entry stores long after their callers have left."""

import asyncio

import pytest

from marigoldlift.replication.log_contact import AWAY_S, RETURN_S
from marigoldlift.submissions.acceptance import AcceptanceResult
from tests.cell.test_early_cancellations import submit_at, two_followers

ELECTION_S = 1.5
SHORT_PAUSE_S = 4.0

#: Time in which a submission reaches the appender, and before the batch is sent, in s.
COLLECTED_S = 0.004


def is_stored(cell):
    """Return whether an acceptance is in the log."""
    return any(stored.key.startswith('s/') for stored in cell.log.records)


def test_submission_is_not_sent_after_its_caller_has_left(run_scenario):
    """Guards against an acceptance that is stored after a pause of its entry, though its caller's time is over."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = two_followers(cell)[0]
        submitted = submit_at(cell, entry)
        await asyncio.sleep(COLLECTED_S)
        entry.gate.pause()
        await asyncio.sleep(SHORT_PAUSE_S)
        entry.gate.resume()
        assert await submitted is AcceptanceResult.refused
        await asyncio.sleep(1)
        assert not is_stored(cell)

    run_scenario(scenario)


@pytest.mark.parametrize('seed', range(3))
def test_submission_that_waited_through_a_long_pause_is_refused(run_scenario, seed):
    """Guards against an acceptance that comes after its cancellation was dropped: its entry was paused for minutes."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = two_followers(cell)[0]
        entry.gate.pause()
        waiting = submit_at(cell, entry)
        await asyncio.sleep(2 * AWAY_S)
        entry.gate.resume()
        assert await waiting is AcceptanceResult.refused
        await asyncio.sleep(1)
        assert not is_stored(cell)
        await asyncio.sleep(RETURN_S)
        assert await submit_at(cell, entry) is AcceptanceResult.done

    run_scenario(scenario, seed=seed)
