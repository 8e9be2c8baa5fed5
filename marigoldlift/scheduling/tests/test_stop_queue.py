"""Cost and order of waiting stops."""

import asyncio
from types import SimpleNamespace

from marigoldlift.scheduling.stop_queue import MAX_STOPS, StopQueue
from tests.cell.occurrences import count_calls

RUNS = 2000

#: Function calls that the stop of one run may take until it is sent or waits.
CALLS = 30


class FakeRun:
    """A run to stop."""

    def __init__(self, task):
        """Keep the task."""
        self.task = task


class FakeSession:
    """Session with a worker that answers stops once the test allows it."""

    def __init__(self, runs, answering):
        """Hold some runs."""
        self.run_table = SimpleNamespace(runs={run.task: run for run in runs})
        self.suspected_at = None
        self.answering = answering
        self.stopped = []

    def is_heard(self):
        """Return whether the worker was heard."""
        return True

    async def stop(self, task):
        """Answer a stop."""
        await self.answering.wait()
        self.stopped.append(task)


def stop_all(queue, sessions):
    """Request the stops of all runs."""
    for session in sessions:
        for run in session.run_table.runs.values():
            queue.add(session, run)


def test_requests_for_many_stops_do_not_hold_the_loop():
    """Guards against LOST: each request for a stop goes over all workers, so that a large cancellation stops the leader."""

    async def scenario():
        queue, answering = StopQueue(), asyncio.Event()
        sessions = [
            FakeSession([FakeRun((worker, index)) for index in range(RUNS // 200)], answering)
            for worker in range(200)
        ]
        assert count_calls(lambda: stop_all(queue, sessions)) <= RUNS * CALLS
        await asyncio.sleep(0)
        assert len(queue.tasks.tasks) == MAX_STOPS
        answering.set()
        while queue.queued or queue.tasks.tasks:
            await asyncio.sleep(0)
        assert sum(len(session.stopped) for session in sessions) == RUNS

    asyncio.run(scenario())
