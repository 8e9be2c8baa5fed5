"""Cancellations of submissions whose acceptance is stored later, or never."""

import asyncio

import pytest

from marigoldlift.errors import LogUnavailableError
from marigoldlift.replication.log_contact import AWAY_S, RETURN_S
from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.telemetry.metric_table import Metric
from standins.cell.log import LogFault
from tests.cell.model import policy

ELECTION_S = 1.5
TIMEOUT_S = 3.0
SETTLED_S = 10.0
STEPS = (Step(count=2, cpu_m=2000),)
JOB = SubmissionId('job')

#: How long an entry is paused, in s; the caller gives up and cancels meanwhile.
PAUSE_S = 4.0

#: Period for which outcomes are kept that ends within a scenario, and time until all that it kept is dropped, in s.
SHORT_KEPT_S = 3.0
DROPPED_S = 12.0

LIMIT = 'marigoldlift.submissions.acceptance.MAX_EARLY_CANCELLATIONS'
MAX_STORED = 3


def submit_at(cell, entry, name=JOB):
    """Submit a job from within an entry's process, so that a pause of the entry holds it back."""
    submission = Submission(name, 'content', STEPS, policy(), entry.name)
    cell.checker.submissions[name] = submission
    return entry.gate.spawn(entry.node.acceptance.submit(submission, TIMEOUT_S))


async def cancel_at(entry, name=JOB):
    """Cancel a submission at an entry."""
    return await entry.node.acceptance.cancel(name, TIMEOUT_S)


def two_followers(cell):
    """Return two entries that do not lead."""
    return [entry for entry in cell.entries if entry is not cell.leader()][:2]


def keys(cell):
    """Return the keys of the cancellations in the log."""
    return [key for key in cell.log.newest if key.startswith('c/')]


def test_cancellation_is_answered_within_its_callers_time(run_scenario):
    """Guards against callers that wait for a read of the log which lasts as long as its answer arrives."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = two_followers(cell)[0]

        async def read_slowly(start, wait_ms):
            await asyncio.sleep(TIMEOUT_S * 3)
            raise LogUnavailableError('slow')

        entry.log.read = read_slowly
        started_at = asyncio.get_running_loop().time()
        assert await cancel_at(entry) is AcceptanceResult.unknown
        assert asyncio.get_running_loop().time() - started_at <= TIMEOUT_S

    run_scenario(scenario)


async def restart_all(cell):
    """Kill all entries, drop the history of the log and restart them."""
    for entry in cell.entries:
        entry.kill()
    cell.log.drop_history()
    for started in cell.entries:
        started.start()
    await asyncio.sleep(2 * ELECTION_S)


def test_submission_of_a_paused_entry_stays_cancelled(run_scenario):
    """Guards against a submission that runs after its cancellation, because its entry was paused before it stored it."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        paused, other = two_followers(cell)
        paused.gate.pause()
        submit_at(cell, paused)
        assert await cancel_at(other) is AcceptanceResult.gone
        await asyncio.sleep(PAUSE_S)
        paused.gate.resume()
        await asyncio.sleep(SETTLED_S)
        assert not cell.checker.starts
        assert cell.outcome(JOB) is Outcome.cancelled

    run_scenario(scenario)


@pytest.mark.parametrize('seed', range(3))
def test_late_append_of_an_acceptance_stays_cancelled(run_scenario, seed):
    """Guards against a submission that runs after its cancellation, because the log executed its append late."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        slow, other = two_followers(cell)
        slow.log.fault = LogFault.late
        slow.log.fault_share = 1
        submitted = submit_at(cell, slow)
        await asyncio.sleep(0.1)
        assert await cancel_at(other) is AcceptanceResult.gone
        assert await submitted is AcceptanceResult.unknown
        slow.log.fault = None
        await asyncio.sleep(SETTLED_S)
        assert not cell.checker.starts
        assert cell.outcome(JOB) is Outcome.cancelled

    run_scenario(scenario, seed=seed)


@pytest.mark.parametrize('is_forwarded', [False, True])
def test_acceptance_through_a_paused_leader_stays_cancelled(run_scenario, is_forwarded):
    """Guards against a submission that runs after its cancellation, because the leader stored it on waking."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        other, forwarding = two_followers(cell)
        forwarding.node.appender.last_response_s = 1
        submit_at(cell, forwarding if is_forwarded else leader)
        await asyncio.sleep(0.002)
        leader.gate.pause()
        assert await cancel_at(other) is AcceptanceResult.gone
        await asyncio.sleep(PAUSE_S)
        leader.gate.resume()
        await asyncio.sleep(SETTLED_S)
        assert not cell.checker.starts

    run_scenario(scenario)


def test_retry_of_an_accepted_submission_at_an_entry_that_was_away(run_scenario):
    """Guards against losing, or running twice, a submission whose retry waited through a long pause of an entry."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        away, other = two_followers(cell)
        away.gate.pause()
        assert await submit_at(cell, other) is AcceptanceResult.done
        retry = submit_at(cell, away)
        await asyncio.sleep(2 * AWAY_S)
        away.gate.resume()
        assert await retry in {AcceptanceResult.done, AcceptanceResult.refused}
        await asyncio.sleep(RETURN_S)
        assert await submit_at(cell, away) is AcceptanceResult.done
        await cell.wait_for_outcomes([JOB], SETTLED_S)
        assert cell.outcome(JOB) is Outcome.complete
        assert set(cell.checker.starts.values()) == {1}

    run_scenario(scenario)


def test_cancellation_survives_its_entry_and_the_leader(run_scenario):
    """Guards against a cancellation that is lost with the entry that answered it and with the leader."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        paused, other = two_followers(cell)
        paused.gate.pause()
        submit_at(cell, paused)
        assert await cancel_at(other) is AcceptanceResult.gone
        for killed in (other, cell.leader()):
            killed.kill()
            killed.start()
        cell.log.drop_history()
        await asyncio.sleep(PAUSE_S)
        paused.gate.resume()
        await asyncio.sleep(SETTLED_S)
        assert not cell.checker.starts
        assert cell.outcome(JOB) is Outcome.cancelled

    run_scenario(scenario)


def test_cancellation_survives_a_restart_of_all_entries(run_scenario):
    """Guards against a cancellation that only the memory of the entries holds."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        assert await cancel_at(cell.entries[0]) is AcceptanceResult.gone
        await restart_all(cell)
        submit_at(cell, cell.entries[1])
        await asyncio.sleep(SETTLED_S)
        assert not cell.checker.starts
        await restart_all(cell)
        assert await cell.entries[2].node.acceptance.outcome(JOB, TIMEOUT_S) is Outcome.cancelled

    run_scenario(scenario)


def test_unknown_submission_is_gone_also_after_its_cancellation(run_scenario):
    """Guards against showing a submission that nobody has submitted, because its cancellation is stored."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        assert await cancel_at(cell.entries[0]) is AcceptanceResult.gone
        for _ in range(2):
            await asyncio.sleep(1)
            for entry in cell.entries:
                assert await entry.node.acceptance.outcome(JOB, TIMEOUT_S) is None
                assert await cancel_at(entry) is AcceptanceResult.gone
                assert not entry.node.acceptance.pending('queue')
            await restart_all(cell)

    run_scenario(scenario)


def test_repeated_cancellation_is_stored_once_and_dropped(run_scenario):
    """Guards against a log and a state that grow with each cancellation of an unknown submission."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        for entry in cell.entries:
            assert await cancel_at(entry) is AcceptanceResult.gone
        assert [stored.key for stored in cell.log.records].count(f'c/{JOB}') == 1
        await asyncio.sleep(DROPPED_S)
        assert not keys(cell)
        assert not any(entry.node.state.early_cancellations for entry in cell.entries)

    run_scenario(scenario, outcome_kept_s=SHORT_KEPT_S)


def test_cancellation_dropped_while_an_entry_was_away_is_forgotten(run_scenario):
    """Guards against an entry that keeps a cancellation which was dropped while it could not read the log."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        away, other = two_followers(cell)
        assert await cancel_at(other) is AcceptanceResult.gone
        await asyncio.sleep(1)
        assert away.node.state.early_cancellations
        away.log.fault = LogFault.silent
        await asyncio.sleep(DROPPED_S)
        cell.log.drop_history()
        away.log.fault = None
        await asyncio.sleep(3)
        assert not away.node.state.early_cancellations

    run_scenario(scenario, outcome_kept_s=SHORT_KEPT_S)


def test_cancellations_of_unknown_submissions_are_limited(run_scenario, monkeypatch):
    """Guards against a log and a state without a bound; a refused cancellation is taken again after some expired."""
    monkeypatch.setattr(LIMIT, MAX_STORED)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.entries[0]
        await cell.submit(entry, 'known', (Step(count=1, cpu_m=500, long_running=True),))
        for number in range(MAX_STORED):
            assert await cancel_at(entry, f'unknown{number}') is AcceptanceResult.gone
        await asyncio.sleep(1)
        assert await cancel_at(entry, 'one-more') is AcceptanceResult.refused
        entry.node.set_gauges()
        assert entry.node.parts.metrics.number(Metric.early_cancellations) == MAX_STORED
        assert await cancel_at(entry, 'unknown0') is AcceptanceResult.gone
        assert await cancel_at(entry, 'known') is AcceptanceResult.done
        await asyncio.sleep(DROPPED_S)
        assert await cancel_at(entry, 'one-more') is AcceptanceResult.gone

    run_scenario(scenario, outcome_kept_s=SHORT_KEPT_S)


def test_cancellation_that_is_not_stored_is_not_reported_as_gone(run_scenario):
    """Guards against telling a caller that a submission does not exist while its acceptance may still be stored."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = two_followers(cell)[0]
        append = entry.log.append

        async def append_to_a_failing_log(records, producer, sequence):
            entry.log.fault = LogFault.refuse
            try:
                return await append(records, producer, sequence)
            finally:
                entry.log.fault = None

        entry.log.append = append_to_a_failing_log
        assert await cancel_at(entry) is AcceptanceResult.refused
        entry.log.append = append
        assert await cancel_at(entry) is AcceptanceResult.gone

    run_scenario(scenario)


def test_known_submission_is_cancelled_without_a_read(run_scenario):
    """Guards against a slower cancellation of submissions that exist: one append, and no read of the log."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        entry = two_followers(cell)[0]
        await cell.submit(entry, JOB, (Step(count=1, cpu_m=500, long_running=True),))
        await asyncio.sleep(1)
        calls = []
        read = entry.log.read
        entry.log.read = lambda start, wait_ms: calls.append(wait_ms) or read(start, wait_ms)
        assert await cancel_at(entry) is AcceptanceResult.done
        assert 0 not in calls
        assert [stored.key for stored in cell.log.records].count(f'c/{JOB}') == 1

    run_scenario(scenario)
