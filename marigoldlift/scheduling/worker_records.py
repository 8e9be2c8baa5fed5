"""Records of the workers that may hold tasks; a later leader opens sessions with all of them."""

import asyncio

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.orders.api import Worker
from marigoldlift.replication.appender import Appender
from marigoldlift.submissions.records import Dropped, KnownWorker
from marigoldlift.supervision import TaskSet

__all__ = ('WorkerRecords',)

#: How long a record waits for the store, in s.
RECORD_WAIT_S = 2

#: Pause after a record that was not stored, in s; one that the log takes in no case is refused at once.
RETRY_S = 0.2


class WorkerRecords:
    """Stores a record of each worker before its first order, and drops it once the worker can hold nothing.

    Attributes:
        recorded: ids of the workers that are recorded in the log.
        removals: pending removals of records from the log.
    """

    def __init__(self, appender: Appender) -> None:
        """Start without records."""
        self.appender = appender
        self.recorded: set[str] = set()
        self.removals = TaskSet()

    async def record(self, worker: Worker) -> None:
        """Store that a worker may hold tasks from now on, and retry until it is stored."""
        while worker.id not in self.recorded:
            known = KnownWorker(worker.id, worker.address, worker.failure_domain)
            try:
                await self.appender.append(known, RECORD_WAIT_S)
            except PlatformError as fault:
                logger.info('worker not recorded: worker={} {}', worker.id, fault.reason)
                await asyncio.sleep(RETRY_S)
            else:
                self.recorded.add(worker.id)

    def drop(self, name: str) -> None:
        """Drop the record of a worker in the background."""
        self.recorded.discard(name)
        self.removals.spawn(self.drop_record(name))

    async def drop_record(self, name: str) -> None:
        """Drop the record of a worker from the log."""
        try:
            await self.appender.append(Dropped(f'w/{name}'), RECORD_WAIT_S)
        except PlatformError as fault:
            logger.info('worker record not dropped: worker={} {}', name, fault.reason)

    def cancel(self) -> None:
        """Cancel pending removals."""
        self.removals.cancel()
