"""Workers that start again under their id."""

import asyncio

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import Step

LEAD_S = 1.5


def test_starts_in_flight_over_a_rebirth_are_ordered_again(play):
    """Guards against starts in doubt for ever: the earlier life's session went on to raise the token that proves more."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        leader = cell.leader()
        started = leader.calls.start

        async def lose(worker, token, order):
            await asyncio.sleep(2)
            raise WorkerUnavailableError('no answer', may_have_run=True)

        leader.calls.start = lose
        await cell.submit(leader, 'job', (Step(count=3, cpu_m=1000),))
        await asyncio.sleep(0.3)
        dispatcher = leader.node.dispatcher
        placed = next(one for one in dispatcher.roster.sessions.values() if one.room.runs)
        leader.calls.cut.add(placed.worker.id)
        cell.workers[placed.worker.id].be_born()
        leader.calls.start = started
        await asyncio.sleep(3)
        leader.calls.cut.clear()
        await cell.settle(['job'], 10)

    play(story)
