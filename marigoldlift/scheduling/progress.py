"""Stores what has ended, before workers are told that they may forget it."""

import asyncio
from collections.abc import Callable

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.tasks import JobRun
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import Outcome, Progress
from marigoldlift.supervision import TaskSet

__all__ = ('ProgressWriter',)

#: How long changes are gathered before they are handed to the log, in s.
GATHER_S = 0.002

#: How long one record waits for the store before it is handed in again, in s.
WAIT_S = 30

#: Pause after a record that could not be stored, in s.
RETRY_S = 0.2

#: Outcome of an open submission, by whether any of its tasks was started.
STARTED = (Outcome.queued, Outcome.running)

StoredRecord = Callable[[], None]


class ProgressWriter:
    """Writes the progress of submissions that changed, each under this leader's tenure."""

    def __init__(self, appender: Appender, tenure: int) -> None:
        """Start with nothing to write."""
        self.appender = appender
        self.tenure = tenure
        self.changed: dict[SubmissionId, JobRun] = {}
        self.callbacks: dict[SubmissionId, list[StoredRecord]] = {}
        self.writing: set[SubmissionId] = set()
        self.wake = asyncio.Event()
        self.tasks = TaskSet()

    def note(self, job: JobRun, stored: StoredRecord | None = None) -> None:
        """Note that a submission has changed.

        Args:
            job: the submission.
            stored: called once a record that holds the change is stored.
        """
        self.changed[job.id] = job
        if stored is not None:
            self.callbacks.setdefault(job.id, []).append(stored)
        self.wake.set()

    async def store_now(self, job: JobRun) -> None:
        """Wait until a record that holds all that is known of a submission now is stored."""
        stored = asyncio.Event()
        self.note(job, stored.set)
        await stored.wait()

    async def run(self) -> None:
        """Write until cancelled; one record of a submission at a time, so that the newest comes last."""
        try:
            while True:
                await self.wake.wait()
                await asyncio.sleep(GATHER_S)
                self.wake.clear()
                self.write_changed()
        finally:
            self.tasks.cancel()

    def write_changed(self) -> None:
        """Begin a record for each changed submission that has none under way."""
        idle = [name for name in self.changed if name not in self.writing]
        for submission in idle:
            job = self.changed.pop(submission)
            self.writing.add(submission)
            self.tasks.spawn(self.write(job, self.callbacks.pop(submission, [])))

    async def write(self, job: JobRun, callbacks: list[StoredRecord]) -> None:
        """Store one record, however long it takes, and tell those who wait for it."""
        while not await self.store(job):
            await asyncio.sleep(RETRY_S)
        self.writing.discard(job.id)
        if job.id in self.changed:
            self.wake.set()
        for stored in callbacks:
            stored()

    async def store(self, job: JobRun) -> bool:
        """Try once."""
        steps = [step.progress() for step in job.steps.values() if step.last_run or step.done]
        outcome = job.outcome or STARTED[job.begun]
        try:
            await self.appender.append(Progress(job.id, self.tenure, outcome, steps), WAIT_S)
        except PlatformError as fault:
            logger.warning('progress not stored: submission={} {}', job.id, fault.reason)
            return False
        except Exception as unexpected:
            logger.opt(exception=unexpected).error('progress not stored: submission={}', job.id)
            return False
        return True
