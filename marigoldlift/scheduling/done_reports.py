"""Ends that this entry was told of as the leader, and could not store during its tenure.

The worker may have left by now, and no other entry may have reached it since. Without these records the tasks run again, and
the steps that depend on them wait as long.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.done_tasks import DoneTasks
from marigoldlift.submissions.model import TaskRef
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState

__all__ = ('DoneReports', 'UnstoredEnds')

#: How long a record waits for the store, and pause after one that could not be stored, in s.
WAIT_S = 5
RETRY_S = 0.2

#: Pause between two checks whether all is stored, in s.
POLL_INTERVAL_S = 0.02


class UnstoredEnds:
    """Tasks that workers have told the leader to be done, which is not stored yet.

    Attributes:
        tasks: the tasks.
        report: takes each further task once the tenure has ended, None until then.
    """

    def __init__(self) -> None:
        """Begin without tasks."""
        self.tasks: set[TaskRef] = set()
        self.report: Callable[[Iterable[TaskRef]], None] | None = None

    def hand_over(self, report: Callable[[Iterable[TaskRef]], None]) -> None:
        """Report the tasks at the end of the tenure, and those of answers that are still being handled then."""
        self.report = report
        report(self.tasks)

    def track(self, task: TaskRef, stored: Callable[[], None]) -> Callable[[], None]:
        """Keep a task until it is stored, and return what to call then in place of `stored`."""
        self.tasks.add(task)
        if self.report is not None:
            self.report((task,))
        return partial(self.forget, task, stored)

    def forget(self, task: TaskRef, stored: Callable[[], None]) -> None:
        """Forget a task that is stored."""
        self.tasks.discard(task)
        stored()


class DoneReports:
    """Stores the ends of earlier tenures of this entry as soon as the log takes them.

    Attributes:
        waiting: tasks that are done, which is not stored yet, by tenure.
    """

    def __init__(self, state: CellState, appender: Appender) -> None:
        """Begin without ends.

        Args:
            state: tells which tasks are known to be done.
            appender: stores records of this entry, whoever leads.
        """
        self.state = state
        self.appender = appender
        self.waiting: dict[int, set[TaskRef]] = {}
        self.arrived = asyncio.Event()

    def add(self, tenure: int, tasks: Iterable[TaskRef]) -> None:
        """Store that tasks were told to be done in a tenure of this entry that has ended."""
        found = set(tasks)
        if found:
            self.waiting.setdefault(tenure, set()).update(found)
            self.arrived.set()

    async def run(self) -> None:
        """Store what waits until cancelled."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.waiting:
                await self.store_all()

    async def wait_until_stored(self, until: float) -> None:
        """Wait until nothing waits any more, at most until a time of the event loop's clock."""
        while self.waiting and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def store_all(self) -> None:
        """Try once to store what waits."""
        records = [record for tenure in self.waiting for record in self.records_of(tenure)]
        stored = await asyncio.gather(*map(self.store, records))
        self.waiting = {tenure: tasks for tenure, tasks in self.waiting.items() if tasks}
        if not all(stored):
            await asyncio.sleep(RETRY_S)

    def records_of(self, tenure: int) -> Iterator[DoneTasks]:
        """Yield the records of a tenure, and forget the tasks that need none."""
        tasks = self.waiting[tenure]
        tasks.difference_update(tuple(task for task in tasks if self.is_settled(task)))
        for submission in sorted({task.submission for task in tasks}):
            own = (task for task in tasks if task.submission == submission)
            done = sorted((task.occurrence, task.step, task.index) for task in own)
            yield DoneTasks(submission, tenure, done)

    def is_settled(self, task: TaskRef) -> bool:
        """Return whether the submission of a task has ended, or the log tells that the task is done."""
        job = self.state.jobs.get(task.submission)
        if job is None or job.state in FINAL_OUTCOMES:
            return True
        key = (task.occurrence, task.step)
        known = job.progress.get(key)
        return key in job.complete or (known is not None and task.index in known.done)

    async def store(self, record: DoneTasks) -> bool:
        """Try once to store a record and return whether it is stored; if not, it is sent again under the same key."""
        try:
            await self.appender.append(record, WAIT_S)
        except PlatformError as fault:
            logger.info(
                'ends of an earlier tenure not stored: submission={} {}',
                record.submission,
                fault.reason,
            )
            return False
        logger.info(
            'ends of an earlier tenure stored: submission={} tenure={} tasks={}',
            record.submission,
            record.tenure,
            len(record.done),
        )
        self.waiting[record.tenure].difference_update(record.tasks())
        return True
