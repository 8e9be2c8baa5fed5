"""Ends that this entry was told of as the leader, and could not store during its tenure.

The worker may have left by now, and no other entry may have reached it since. Without these records the tasks run again, and
the steps that depend on them wait as long; a task that has failed runs more often than its queue allows.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.done_tasks import DoneTasks, ReportedEnd
from marigoldlift.submissions.model import TaskRef
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState

__all__ = ('DoneReports', 'UnstoredEnds')

#: How long a record waits for the store, and pause after one that could not be stored, in s.
WAIT_S = 5
RETRY_S = 0.2

#: Pause between two checks whether all is stored, in s.
POLL_INTERVAL_S = 0.02


class UnstoredEnds:
    """Ends that workers have told the leader of and that are not stored yet.

    Attributes:
        ends: the ends.
        report: takes each further end once the tenure has ended, None until then.
    """

    def __init__(self) -> None:
        """Begin without ends."""
        self.ends: set[ReportedEnd] = set()
        self.report: Callable[[Iterable[ReportedEnd]], None] | None = None

    def hand_over(self, report: Callable[[Iterable[ReportedEnd]], None]) -> None:
        """Report the ends at the end of the tenure, and those of answers that are still being handled then."""
        self.report = report
        report(self.ends)

    def track(self, end: ReportedEnd, stored: Callable[[], None]) -> Callable[[], None]:
        """Keep an end until it is stored, and return what to call then in place of `stored`."""
        self.ends.add(end)
        if self.report is not None:
            self.report((end,))
        return partial(self.forget, end, stored)

    def forget(self, end: ReportedEnd, stored: Callable[[], None]) -> None:
        """Forget an end that is stored."""
        self.ends.discard(end)
        stored()


class DoneReports:
    """Stores the ends of earlier tenures of this entry as soon as the log takes them.

    Attributes:
        waiting: ends that are not stored yet, by tenure.
    """

    def __init__(self, state: CellState, appender: Appender) -> None:
        """Begin without ends.

        Args:
            state: tells which ends are known.
            appender: stores records of this entry, whoever leads.
        """
        self.state = state
        self.appender = appender
        self.waiting: dict[int, set[ReportedEnd]] = {}
        self.arrived = asyncio.Event()

    def add(self, tenure: int, ends: Iterable[ReportedEnd]) -> None:
        """Store ends that this entry was told of in a tenure of it that has ended."""
        found = set(ends)
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
        self.waiting = {tenure: ends for tenure, ends in self.waiting.items() if ends}
        if not all(stored):
            await asyncio.sleep(RETRY_S)

    def records_of(self, tenure: int) -> Iterator[DoneTasks]:
        """Yield the records of a tenure, and forget the ends that need none."""
        ends = self.waiting[tenure]
        ends.difference_update(tuple(end for end in ends if self.is_settled(end)))
        for submission in sorted({end.task.submission for end in ends}):
            own = [end for end in ends if end.task.submission == submission]
            done = sorted(place_of(end.task) for end in own if end.failed_run is None)
            failed = sorted(
                (*place_of(end.task), end.failed_run) for end in own if end.failed_run is not None
            )
            yield DoneTasks(submission, tenure, done, failed)

    def is_settled(self, end: ReportedEnd) -> bool:
        """Return whether the submission of a task has ended, or the log tells of the end or that the task is done."""
        task = end.task
        job = self.state.jobs.get(task.submission)
        if job is None or job.state in FINAL_OUTCOMES:
            return True
        key = (task.occurrence, task.step)
        known = job.progress.get(key)
        if key in job.complete or known is None:
            return key in job.complete
        counted = known.failures.get(job.submission.steps[task.step].shared_index(task.index), ())
        return task.index in known.done or end.failed_run in counted

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
            'ends of an earlier tenure stored: submission={} tenure={} done={} failed={}',
            record.submission,
            record.tenure,
            len(record.done),
            len(record.failed),
        )
        self.waiting[record.tenure].difference_update(record.ends())
        return True


def place_of(task: TaskRef) -> tuple[int, int, int]:
    """Return the occurrence, step and index of a task."""
    return task.occurrence, task.step, task.index
