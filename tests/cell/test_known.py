"""Seeded search for answers that contradict an acknowledgement, while the store, entries and workers fail."""

import asyncio

import pytest
from loguru import logger

from marigoldlift.errors import LogUnavailableError
from marigoldlift.submissions.acceptance import AcceptanceResult
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

#: Deadline of a caller that waits only briefly, in s.
SHORT_DEADLINE_S = 0.3
RECOVERY_LIMIT_S = 90.0

#: Duration of one callback in s: none, or up to that on a slow VM.
CALLBACKS_S = (0, 0.00002, 0.0002)

#: Periods for which outcomes are kept, in s: one that ends within a scenario, and that of the platform.
KEPT_S = (8.0, 120.0)

QUICK_SEEDS = range(20)
LONG_SEEDS = range(20, 400)


async def fail_log(cell):
    """Inject one kind of log fault at some or all entries for 1 to 10 s."""
    fault = cell.rng.choice(list(LogFault))
    affected = cell.rng.sample(cell.entries, cell.rng.randint(1, len(cell.entries)))
    for entry in affected:
        entry.log.fault = fault
        entry.log.fault_share = cell.rng.choice((0.4, 1))
    await asyncio.sleep(cell.rng.uniform(1, 10))
    for healed in affected:
        healed.log.fault = None


async def fail_worker(cell):
    """Let all tasks of a worker end as failed for 1 to 6 s."""
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


async def load(cell, answer_checker):
    """Submit submissions at random times and cancel a few of them."""
    for number in range(COUNT):
        await asyncio.sleep(cell.rng.expovariate(COUNT / LOADED_S))
        name = f'job{number:02}'
        submit_randomly(cell, answer_checker, name)
        if cell.rng.random() < CANCELLED_SHARE:
            cell.loop.create_task(cancel_later(cell, answer_checker, name))


def submit_randomly(cell, answer_checker, name):
    """Submit a random submission once, or twice at random entries."""
    steps = [Step(count=cell.rng.randint(1, 5), cpu_m=cell.rng.choice((500, 2000)))]
    if cell.rng.choice((True, False)):
        steps.append(Step(count=cell.rng.randint(1, 3), cpu_m=1000, after=(0,)))
    attempts = cell.rng.choice((1, 2, 5))
    for _ in range(cell.rng.choice((1, 1, 2))):
        entry = cell.rng.choice(cell.entries)
        if not entry.gate.stopped:
            entry.gate.spawn(answer_checker.submit(entry, name, steps, max_attempts=attempts))


async def cancel_later(cell, answer_checker, name):
    """Cancel a submission after a delay if it was acknowledged."""
    await asyncio.sleep(cell.rng.uniform(0.3, 4))
    entry = cell.rng.choice(cell.entries)
    if name in answer_checker.acknowledged and not entry.gate.stopped:
        entry.gate.spawn(answer_checker.cancel(entry, name))


async def inject_fault(cell):
    """Inject one random fault after a delay."""
    await asyncio.sleep(cell.rng.uniform(0, FAULTS_S))
    await cell.rng.choice(FAULTS)(cell)


async def scenario(cell):
    """Load the cell under faults, wait until it has recovered, and query all submissions at the end."""
    cell.loop.callback_s = cell.rng.choice(CALLBACKS_S)
    await asyncio.sleep(ELECTION_S)
    answer_checker = AnswerChecker(cell)
    loading = cell.loop.create_task(load(cell, answer_checker))
    injecting = [cell.loop.create_task(inject_fault(cell)) for _ in range(cell.rng.randint(2, 7))]
    await asyncio.wait((loading, *injecting))
    await asyncio.sleep(8)
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        while set(answer_checker.acknowledged) - set(answer_checker.final):
            await asyncio.sleep(1)
    await answer_checker.check_at_end()


async def query(entry, name):
    """Return the answer of an entry to a query for a submission, and the time that it took in s."""
    loop = asyncio.get_running_loop()
    queried_at = loop.time()
    try:
        answer = await entry.node.acceptance.outcome(name, SHORT_DEADLINE_S)
    except LogUnavailableError:
        answer = 'not known'
    return answer, loop.time() - queried_at


def test_query_is_answered_within_its_deadline(run_scenario):
    """Guards against a query that misses its deadline: it waited for a read of the log that got no answer for 0.8 s."""

    async def query_without_log(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.entries[0]
        cell.durations[TaskRef(SubmissionId('known'), 0, 0, 0)] = 10
        await cell.submit(entry, 'known', (Step(count=1, cpu_m=500),))
        await asyncio.sleep(1)
        entry.log.fault = LogFault.silent
        answers = [await query(entry, 'known'), await query(entry, 'unknown')]
        assert [answer for answer, _ in answers] == [Outcome.running, 'not known']
        assert max(took_s for _, took_s in answers) <= SHORT_DEADLINE_S + 0.001

    run_scenario(query_without_log)


@pytest.fixture
def lines():
    """Collect all log lines in a list."""
    lines_written = []
    sink = logger.add(lines_written.append, format='{message}')
    yield lines_written
    logger.remove(sink)


def test_each_answer_gone_is_logged_and_counted(run_scenario, lines):
    """Guards against an answer "gone" that leaves no log line or metric at the entry that gave it."""

    async def query_unknown(cell):
        await asyncio.sleep(ELECTION_S)
        entry = cell.entries[0]
        assert (await query(entry, 'never'))[0] is None
        offset = entry.node.replica.offset
        assert (
            await entry.node.acceptance.cancel('never', SHORT_DEADLINE_S) is AcceptanceResult.gone
        )
        assert entry.node.parts.metrics.number(Metric.submissions_gone) == 2
        gone = [line for line in lines if line.startswith('submission gone')]
        assert gone[0] == f'submission gone: submission=never offset={offset} read_age_s=0.000\n'
        assert len(gone) == 2

    run_scenario(query_unknown)


@pytest.mark.parametrize('kept_s', KEPT_S)
@pytest.mark.parametrize('seed', QUICK_SEEDS)
def test_acknowledged_submission_stays_known(run_scenario, seed, kept_s):
    """Guards against "gone" for an accepted submission, and against a final state that has no cause or changes."""
    run_scenario(scenario, seed=seed, outcome_kept_s=kept_s)


@pytest.mark.fuzz
@pytest.mark.parametrize('kept_s', KEPT_S)
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_acknowledged_submission_stays_known_long(run_scenario, seed, kept_s):
    """Guards against the same as the short search, over more seeds."""
    run_scenario(scenario, seed=seed, outcome_kept_s=kept_s)
