"""A worker that restarts under its id without a poll that tells its leader."""

import asyncio

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import Step
from standins.cell.workers import CALL_TIMEOUT_S

ELECTION_S = 1.5
TASK_S = 0.3
SETTLED_S = 20


async def lose_next_poll(cell):
    """Let the next poll of the leader get no answer, and return once it was sent."""
    calls = cell.leader().calls
    poll = calls.poll
    sent = asyncio.Event()

    async def lose(*fields):
        calls.poll = poll
        sent.set()
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise WorkerUnavailableError('no answer', may_have_run=True)

    calls.poll = lose
    await sent.wait()


def test_end_at_an_unnoticed_incarnation_is_not_acknowledged_unseen(run_scenario):
    """Guards against TWICE: a poll for the incarnation before acknowledges ends of the next one by their numbers.

    The start was answered by the next incarnation, and its task ended as done before the next poll.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.duration_of = lambda task: TASK_S
        for entry in cell.entries:
            entry.calls.duration_of = cell.duration_of
        await cell.submit(cell.leader(), 'before', (Step(count=4, cpu_m=1000),))
        await cell.wait_for_outcomes(['before'], SETTLED_S)
        await lose_next_poll(cell)
        cell.is_listing = False
        cell.workers['w0'].begin_incarnation()
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=1000),))
        await asyncio.sleep(CALL_TIMEOUT_S + TASK_S)
        cell.is_listing = True
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario, workers=1)
