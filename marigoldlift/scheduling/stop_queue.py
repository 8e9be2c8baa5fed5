"""Stop orders that wait to be sent, and limits of those that are not answered yet.

A cancelled submission may have thousands of runs. Sent all at once, the stops hold up all else that the leader does, and get
no answer in time themselves.
"""

from collections import Counter, deque

from marigoldlift.orders.runs import Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.supervision import TaskSet

__all__ = ('StopQueue',)

#: Stops in flight above which no further one is sent, in total and at one worker.
MAX_STOPS = 64
MAX_STOPS_AT_WORKER = 16


class StopQueue:
    """Sends stop orders in turn for each worker, as many at once as the limits allow.

    Attributes:
        waiting: runs to stop by session, which come in turn.
        queued: runs that wait.
        in_flight: number of stops in flight by session; sessions without any are left out.
        counted: stops in flight that count towards the total.
        tasks: stops in flight.
    """

    def __init__(self) -> None:
        """Start without stops."""
        self.waiting: dict[WorkerSession, deque[Run]] = {}
        self.queued: set[Run] = set()
        self.in_flight: Counter[WorkerSession] = Counter()
        self.counted = 0
        self.tasks = TaskSet()

    def cancel(self) -> None:
        """Send no more stops, and cancel those in flight."""
        self.waiting.clear()
        self.queued.clear()
        self.tasks.cancel()

    def add(self, session: WorkerSession, known: Run) -> None:
        """Send the stop of a run as soon as the limits allow, unless it waits already."""
        if known in self.queued:
            return
        self.queued.add(known)
        self.waiting.setdefault(session, deque()).append(known)
        if self.may_send(session):
            self.send_next(session)

    def send_waiting(self) -> None:
        """Send stops until a limit is reached, one for each worker in turn."""
        for session in tuple(self.waiting):
            if self.counted >= MAX_STOPS:
                break
            if self.may_send(session):
                self.send_next(session)

    def may_send(self, session: WorkerSession) -> bool:
        """Return whether another stop may be sent to a worker.

        One that has left an order unanswered gets one stop at a time, which does not count for the others.
        """
        if not answers_orders(session):
            return not self.in_flight[session]
        return self.counted < MAX_STOPS and self.in_flight[session] < MAX_STOPS_AT_WORKER

    def send_next(self, session: WorkerSession) -> None:
        """Send the next stop to a worker, whose further ones come after those to other workers."""
        runs = self.waiting.pop(session)
        known = runs.popleft()
        if runs:
            self.waiting[session] = runs
        self.queued.discard(known)
        is_counted = answers_orders(session)
        self.in_flight[session] += 1
        self.counted += is_counted
        self.tasks.spawn(self.send(session, known, is_counted=is_counted))

    async def send(self, session: WorkerSession, known: Run, *, is_counted: bool) -> None:
        """Send a stop unless the run has ended meanwhile, then those that it has held up.

        Args:
            session: session with the worker.
            known: the run.
            is_counted: whether the stop counts towards the total.
        """
        try:
            if session.run_table.runs.get(known.task) is known:
                await session.stop(known.task)
        finally:
            self.end(session, is_counted=is_counted)

    def end(self, session: WorkerSession, *, is_counted: bool) -> None:
        """Subtract a stop, and send those that it has held up."""
        self.in_flight[session] -= 1
        self.counted -= is_counted
        if not self.in_flight[session]:
            self.in_flight.pop(session)
        self.send_waiting()


def answers_orders(session: WorkerSession) -> bool:
    """Return whether a worker was heard recently and has left no order unanswered since."""
    return session.suspected_at is None and session.is_heard()
