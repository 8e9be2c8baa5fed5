"""Workers that start again under their id."""

import asyncio

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.submissions.model import Step

LEAD_S = 1.5


def slow_tasks(cell, duration_s):
    """Let each task take a while."""
    cell.duration_of = lambda task: duration_s
    for entry in cell.entries:
        entry.calls.duration_of = cell.duration_of


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


def test_life_of_an_unlisted_worker_is_learnt_from_its_looks(play):
    """Guards against ends that are passed over: a session that knew no life went on with the numbers of an earlier one."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        slow_tasks(cell, 5)
        await cell.submit(cell.entries[0], 'early', (Step(count=32, cpu_m=1000),))
        await asyncio.sleep(0.5)
        for hidden in cell.workers.values():
            cell.workers_log.store([(hidden.name, b'')])
        cell.is_listing = False
        cell.leader().kill()
        await cell.settle(['early'], 20)
        slow_tasks(cell, 0.3)
        for worker in cell.workers.values():
            worker.be_born()
        cell.is_listing = True
        await asyncio.sleep(2)
        await cell.submit(cell.leader(), 'late', (Step(count=32, cpu_m=1000),))
        await cell.settle(['late'], 20)

    play(story)


def busiest(cell):
    """Return the worker that holds the most tasks."""
    return max(cell.workers.values(), key=lambda worker: len(worker.held))


def test_runs_of_an_earlier_life_start_elsewhere_at_once(play):
    """Guards against runs that count as possible for 20 s on a worker that went down right after it was reborn."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        slow_tasks(cell, 4)
        await cell.submit(cell.entries[0], 'job', (Step(count=2, cpu_m=1000),))
        await asyncio.sleep(1.5)
        worker = busiest(cell)
        worker.be_born()
        cell.list_workers()
        worker.crash()
        await asyncio.sleep(2)
        assert any(other.held for other in cell.workers.values() if other.up)
        await cell.settle(['job'], 20)

    play(story)


def test_starts_of_an_earlier_life_do_not_end_the_tenure(play):
    """Guards against a takeover of the whole cell since starts under way met the token of the worker's next session."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        leader = cell.leader()
        tenure = leader.node.election.tenure
        started = leader.calls.start

        async def delay(worker, token, order):
            await asyncio.sleep(1)
            return await started(worker, token, order)

        leader.calls.start = delay
        await cell.submit(leader, 'job', (Step(count=3, cpu_m=1000),))
        await asyncio.sleep(0.3)
        dispatcher = leader.node.dispatcher
        placed = next(one for one in dispatcher.roster.sessions.values() if one.room.runs)
        cell.workers[placed.worker.id].be_born()
        cell.list_workers()
        await asyncio.sleep(0.5)
        leader.calls.start = started
        await cell.settle(['job'], 10)
        assert leader.node.election.tenure == tenure

    play(story)
