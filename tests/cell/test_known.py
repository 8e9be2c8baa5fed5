"""Seeded search for answers that contradict an acknowledgement, while the store, entries and workers fail."""

import asyncio

import pytest
from loguru import logger

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.acceptance import RequestResult
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.submissions.records import Outcome
from marigoldlift.telemetry.metric_table import Metric
from standins.cell.log import LogFault
from tests.cell.answers import AnswerChecker
from tests.cell.concurrent_faults import (
    drop_history,
    kill_all,
    kill_entry,
    pause_entry,
    restart_worker,
)

ELECTION_S = 1.5
LOADED_S = 25.0
FAULTS_S = 35.0
COUNT = 30
CANCELLED_SHARE = 0.2

#: How long a caller with a short deadline waits, in s.
SHORT_DEADLINE_S = 0.3
RECOVERY_LIMIT_S = 90.0

#: Time of one callback in s: none, and that of a slow VM.
CALLBACKS_S = (0, 0.00002, 0.0002)

#: Promised periods in s: one that ends within a story, and that of the platform.
KEPT_S = (8.0, 120.0)

QUICK_SEEDS = range(20)
LONG_SEEDS = range(20, 400)


async def fail_log(cell):
    """Let the log fail some or all entries for 1 to 10 s."""
    fault = cell.rng.choice(list(LogFault))
    struck = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    for entry in struck:
        entry.log.fault = fault
        entry.log.fault_share = cell.rng.choice((0.4, 1))
    await asyncio.sleep(cell.rng.uniform(1, 10))
    for healed in struck:
        healed.log.fault = None


async def fail_worker(cell):
    """Let all tasks of a worker end as failed for a while."""
    worker = cell.rng.choice(list(cell.workers.values()))
    worker.fails = True
    await asyncio.sleep(cell.rng.uniform(1, 6))
    worker.fails = False


FAULTS = (
    fail_log,
    fail_log,
    fail_log,
    drop_history,
    kill_entry,
    kill_all,
    pause_entry,
    restart_worker,
    fail_worker,
)


async def load(cell, watch):
    """Hand submissions in, and cancel a few."""
    for number in range(COUNT):
        await asyncio.sleep(cell.rng.expovariate(COUNT / LOADED_S))
        name = f'job{number:02}'
        submit_randomly(cell, watch, name)
        if cell.rng.random() < CANCELLED_SHARE:
            cell.loop.create_task(cancel_later(cell, watch, name))


def submit_randomly(cell, watch, name):
    """Hand a submission in at one or two entries."""
    steps = [Step(count=cell.rng.randint(1, 5), cpu_m=cell.rng.choice((500, 2000)))]
    if cell.rng.choice((True, False)):
        steps.append(Step(count=cell.rng.randint(1, 3), cpu_m=1000, after=(0,)))
    attempts = cell.rng.choice((1, 2, 5))
    for _ in range(cell.rng.choice((1, 1, 2))):
        entry = cell.rng.choice(cell.entries)
        if not entry.gate.stopped:
            entry.gate.spawn(watch.submit(entry, name, steps, max_attempts=attempts))


async def cancel_later(cell, watch, name):
    """Cancel a submission if it was acknowledged."""
    await asyncio.sleep(cell.rng.uniform(0.3, 4))
    entry = cell.rng.choice(cell.entries)
    if name in watch.acknowledged and not entry.gate.stopped:
        entry.gate.spawn(watch.cancel(entry, name))


async def inject_fault(cell):
    """Play one fault."""
    await asyncio.sleep(cell.rng.uniform(0, FAULTS_S))
    await cell.rng.choice(FAULTS)(cell)


async def scenario(cell):
    """Load the cell under faults, heal it, and ask for all submissions at the end."""
    cell.loop.callback_s = cell.rng.choice(CALLBACKS_S)
    await asyncio.sleep(ELECTION_S)
    watch = AnswerChecker(cell)
    loading = cell.loop.create_task(load(cell, watch))
    striking = [cell.loop.create_task(inject_fault(cell)) for _ in range(cell.rng.randint(2, 7))]
    await asyncio.wait((loading, *striking))
    await asyncio.sleep(8)
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        while set(watch.acknowledged) - set(watch.final):
            await asyncio.sleep(1)
    await watch.check_at_end()


async def ask(entry, name):
    """Return what an entry tells of a submission, and how long that takes."""
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    try:
        told = await entry.node.acceptance.outcome(name, SHORT_DEADLINE_S)
    except LogUnavailableError:
        told = 'not known'
    return told, loop.time() - asked_at


def test_query_is_answered_within_its_deadline(run_scenario):
    """Guards against a caller without an answer: the read that a question waits for got none for 0.8 s."""

    async def ask_in_silence(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.entries[0]
        cell.durations[TaskRef(SubmissionId('known'), 0, 0, 0)] = 10
        await cell.submit(entry, 'known', (Step(count=1, cpu_m=500),))
        await asyncio.sleep(1)
        entry.log.fault = LogFault.silent
        answers = [await ask(entry, 'known'), await ask(entry, 'unknown')]
        assert [told for told, _ in answers] == [Outcome.running, 'not known']
        assert max(took_s for _, took_s in answers) <= SHORT_DEADLINE_S + 0.001

    run_scenario(ask_in_silence)


@pytest.fixture
def lines():
    """Return the list of all log lines."""
    written = []
    sink = logger.add(written.append, format='{message}')
    yield written
    logger.remove(sink)


def test_each_gone_is_logged_and_counted(run_scenario, lines):
    """Guards against a lost submission that leaves no trace at the entry that said so."""

    async def ask_for_nothing(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.entries[0]
        assert (await ask(entry, 'never'))[0] is None
        assert await entry.node.acceptance.cancel('never', SHORT_DEADLINE_S) is RequestResult.gone
        offset = entry.node.replica.offset
        assert entry.node.parts.metrics.number(Metric.submissions_gone) == 2
        gone = [line for line in lines if line.startswith('submission gone')]
        assert gone[0] == f'submission gone: submission=never offset={offset} read_age_s=0.000\n'
        assert len(gone) == 2

    run_scenario(ask_for_nothing)


@pytest.mark.parametrize('kept_s', KEPT_S)
@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_acknowledged_submission_stays_known(run_scenario, seed, kept_s):
    """Guards against "gone" of an accepted submission, and against a final state without cause or that changes."""
    run_scenario(scenario, seed=seed, outcome_kept_s=kept_s)


@pytest.mark.fuzz
@pytest.mark.parametrize('kept_s', KEPT_S)
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_acknowledged_submission_stays_known_long(run_scenario, seed, kept_s):
    """Guards as the short search does, over more seeds."""
    run_scenario(scenario, seed=seed, outcome_kept_s=kept_s)
