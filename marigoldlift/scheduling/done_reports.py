"""Ends that this entry was told of as the leader, and could not store during its tenure.

The worker may have left by now, and no other entry may have reached it since. Without these records the tasks run again, and
the steps that depend on them wait as long; a task that has failed runs more often than its queue allows.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from functools import partial

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.done_tasks import DoneTasks, ReportedEnd
from marigoldlift.submissions.model import SubmissionId, TaskRef
from marigoldlift.submissions.state import FINAL_OUTCOMES, CellState

__all__ = ('DoneReports', 'UnstoredEnds')

#: How long a record waits for the store, and pause after one that could not be stored, in s.
WAIT_S = 5
RETRY_S = 0.2

#: Ends in one record. Each takes 17 bytes at most, so that they fit into the 261,000 of a record.
MAX_ENDS = 10_000

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
        waiting: ends that are in no record yet, by tenure.
        records: records that are not stored yet. Each is sent unchanged until it is: the log may hold it already, and a
            record with other ends under its key would replace it.
        parts: number of records made so far, by submission and tenure; submissions that have ended are left out.
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
        self.records: list[DoneTasks] = []
        self.parts: Counter[tuple[SubmissionId, int]] = Counter()
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
            while self.waiting or self.records:
                await self.store_all()

    async def wait_until_stored(self, until: float) -> None:
        """Wait until nothing waits any more, at most until a time of the event loop's clock."""
        while self.waiting or self.records:
            if asyncio.get_running_loop().time() >= until:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def store_all(self) -> None:
        """Try once to store what waits."""
        self.records.extend(self.new_records())
        self.records = [
            record for record in self.records if not all(map(self.is_settled, record.ends()))
        ]
        stored = await asyncio.gather(*map(self.store, self.records))
        self.records = [record for record, done in zip(self.records, stored) if not done]
        if self.records:
            await asyncio.sleep(RETRY_S)

    def new_records(self) -> Iterator[DoneTasks]:
        """Yield records of the ends that are in none yet, but for those that need none."""
        waiting = self.waiting
        self.waiting = {}
        self.forget_parts()
        for tenure, ends in waiting.items():
            unknown = sorted(itertools.filterfalse(self.is_settled, ends), key=order_of)
            for submission, own in itertools.groupby(unknown, key=submission_of):
                yield from self.divide(submission, tenure, list(own))

    def divide(
        self, submission: SubmissionId, tenure: int, ends: Sequence[ReportedEnd]
    ) -> Iterator[DoneTasks]:
        """Yield the records of ends of one submission, each with a part number that no other record has."""
        key = (submission, tenure)
        for first in range(0, len(ends), MAX_ENDS):
            part = self.parts[key]
            self.parts[key] += 1
            yield record_of(submission, tenure, part, ends[first : first + MAX_ENDS])

    def forget_parts(self) -> None:
        """Forget the part numbers of submissions that have ended, which get no further records."""
        for key in tuple(self.parts):
            if key[0] not in self.state.jobs:
                self.parts.pop(key)

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
        return True


def record_of(
    submission: SubmissionId, tenure: int, part: int, ends: Iterable[ReportedEnd]
) -> DoneTasks:
    """Return the record of ends of one submission."""
    record = DoneTasks(submission, tenure, [], [], part)
    for end in ends:
        if end.failed_run is None:
            record.done.append(place_of(end.task))
        else:
            record.failed.append((*place_of(end.task), end.failed_run))
    return record


def submission_of(end: ReportedEnd) -> SubmissionId:
    """Return the submission of an end."""
    return end.task.submission


def order_of(end: ReportedEnd) -> tuple[SubmissionId, int, int, int, int]:
    """Return what ends are sorted by, so that the records do not depend on the order in which they were told."""
    return end.task.submission, *place_of(end.task), end.failed_run or 0


def place_of(task: TaskRef) -> tuple[int, int, int]:
    """Return the occurrence, step and index of a task."""
    return task.occurrence, task.step, task.index
