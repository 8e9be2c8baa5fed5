"""Stores the progress of submissions in the log; workers may discard the end of a run only after it is stored."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from marigoldlift.errors import PlatformError, RecordRefusedError
from marigoldlift.replication.appender import Appender
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import Outcome, Progress, StepProgress, UnansweredStart
from marigoldlift.supervision import FaultBoundary, ItemKind, TaskSet, is_ending

__all__ = ('ProgressWriter',)

#: How long changes are collected before they are appended to the log, in s.
BATCH_DELAY_S = 0.002

#: How long a record waits for the store before it is submitted again, in s.
WAIT_S = 30

#: Pause after a record that was not stored, in s; it doubles up to the longest one while the record cannot be stored at all.
RETRY_S = 0.2
LONGEST_PAUSE_S = 8.0

#: Bytes that the checkpoints of one step may take in a record, and that one takes besides its text. The placements of 10,000 tasks take
#: 160,000 of the 261,000 that a record may have.
MAX_CHECKPOINTS_BYTES = 80_000
CHECKPOINT_ENTRY_BYTES = 6

#: Outcome that is stored for an open submission; indexed by whether any of its tasks was started.
OPEN_OUTCOMES = (Outcome.queued, Outcome.running)

StoredCallback = Callable[[], None]


class Change(msgspec.Struct):
    """Change of a submission whose write has begun.

    Attributes:
        job: the submission.
        parts: numbers of the parts of its progress that have changed.
        callbacks: called once the change is stored.
        starts: set once the placements of starts that are not ordered yet are stored, or given up.
        pause_s: pause before the next attempt, in s.
    """

    job: JobRun
    parts: Sequence[int]
    callbacks: Sequence[StoredCallback]
    starts: list[asyncio.Future[bool]]
    pause_s: float = RETRY_S


class ProgressWriter:
    """Writes the progress of changed submissions under the tenure of this leader.

    Attributes:
        changed: submissions with a change for which no write has begun.
        parts: parts of their progress that have changed, by submission.
        callbacks: called once these changes are stored, by submission.
        starts: set once the placements among these changes are stored, by submission.
        writing: submissions with a write in flight.
    """

    def __init__(self, appender: Appender, tenure: int, faults: FaultBoundary) -> None:
        """Start without changes.

        Args:
            appender: stores the records.
            tenure: tenure of this leader.
            faults: sets aside submissions whose progress cannot be stored.
        """
        self.appender = appender
        self.tenure = tenure
        self.faults = faults
        self.changed: dict[SubmissionId, JobRun] = {}
        self.parts: dict[SubmissionId, set[int]] = {}
        self.callbacks: dict[SubmissionId, list[StoredCallback]] = {}
        self.starts: dict[SubmissionId, list[asyncio.Future[bool]]] = {}
        self.writing: set[SubmissionId] = set()
        self.wake = asyncio.Event()
        self.tasks = TaskSet()

    def note(
        self, job: JobRun, stored: StoredCallback | None = None, step: StepRun | None = None
    ) -> None:
        """Queue a changed submission for writing.

        Args:
            job: the submission.
            stored: called once a record that contains the change is stored.
            step: step whose progress has changed; None for a change that each record of the submission contains.
        """
        self.changed[job.id] = job
        part = 0 if step is None else job.complete.part_of(step.key)
        self.parts.setdefault(job.id, set()).add(part)
        if stored is not None:
            self.callbacks.setdefault(job.id, []).append(stored)
        self.wake.set()

    async def store_now(self, step: StepRun) -> bool:
        """Store the current progress of a step before a start, and wait until that is done.

        Returns:
            False if the start must not be ordered: the progress with its placement cannot be stored.
        """
        stored: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.starts.setdefault(step.job.id, []).append(stored)
        self.note(step.job, step=step)
        return await stored

    async def run(self) -> None:
        """Write changes until cancelled, one record per submission at a time, so that the newest comes last."""
        try:
            while True:
                await self.wake.wait()
                await asyncio.sleep(BATCH_DELAY_S)
                self.wake.clear()
                self.write_changed()
        finally:
            self.tasks.cancel()

    def write_changed(self) -> None:
        """Start a write for each changed submission that has none in flight."""
        idle = [name for name in self.changed if name not in self.writing]
        for submission in idle:
            self.writing.add(submission)
            change = Change(
                self.changed.pop(submission),
                sorted(self.parts.pop(submission)),
                self.callbacks.pop(submission, []),
                self.starts.pop(submission, []),
            )
            self.tasks.spawn(self.write(change))

    async def write(self, change: Change) -> None:
        """Retry until the records of all parts are stored, then call the callbacks."""
        while not await self.store_uninterrupted(change):
            await asyncio.sleep(change.pause_s)
        self.writing.discard(change.job.id)
        if change.job.id in self.changed:
            self.wake.set()
        settle(change.starts, stored=True)
        for stored in change.callbacks:
            stored()

    async def store_uninterrupted(self, change: Change) -> bool:
        """Try once as `store` does; a cancellation of the append alone counts as one that failed."""
        try:
            return await self.store(change)
        except asyncio.CancelledError:
            if is_ending():
                raise
        return False

    async def store(self, change: Change) -> bool:
        """Try once to append the progress records of some parts and return whether all were stored."""
        try:
            records = [self.record_of(change.job, part) for part in change.parts]
            await self.append(records)
        except RecordRefusedError as refusal:
            self.withdraw_starts(change, refusal)
            return False
        except PlatformError as fault:
            logger.warning('progress not stored: submission={} {}', change.job.id, fault.reason)
            return False
        except Exception as unexpected:
            self.withdraw_starts(change, unexpected)
            return False
        return True

    async def append(self, records: Sequence[Progress]) -> None:
        """Append records; without their checkpoints if they are too large with them, since ends and placements must be stored."""
        try:
            await self.appender.append_all(records, WAIT_S)
        except RecordRefusedError:
            await self.appender.append_all(
                [without_checkpoints(found) for found in records], WAIT_S
            )

    def withdraw_starts(self, change: Change, fault: Exception) -> None:
        """Give up the starts of a submission that are not ordered yet, since its progress with them cannot be stored.

        Without their placements the next record is smaller; the submission gets no further starts for a while.
        """
        self.faults.note(ItemKind.submission, change.job.id, fault)
        settle(change.starts, stored=False)
        settle(self.starts.pop(change.job.id, []), stored=False)
        change.pause_s = min(change.pause_s * 2, LONGEST_PAUSE_S)

    def record_of(self, job: JobRun, part: int) -> Progress:
        """Return the record with the current progress of a part of a submission."""
        steps = filter(None, map(job.steps.get, job.complete.keys_of_part(part)))
        begun = [progress_of(step, self.tenure) for step in steps if step.last_run or step.done]
        outcome = job.outcome or OPEN_OUTCOMES[job.begun]
        return Progress(job.id, self.tenure, outcome, begun, job.complete.encode(), part)


def settle(starts: Sequence[asyncio.Future[bool]], *, stored: bool) -> None:
    """Tell starts that wait whether their placements are stored."""
    for waiting in starts:
        if not waiting.done():
            waiting.set_result(stored)


def progress_of(step: StepRun, tenure: int) -> StepProgress:
    """Return the progress of a step as the leader of a tenure stores it.

    Args:
        step: the step.
        tenure: tenure of this leader.
    """
    failures = {index: sorted(runs) for index, runs in step.failures.items()}
    placed = {index: place.worker for index, place in step.old_places.items()}
    placed |= {index: placement.session.worker.id for index, placement in step.active.items()}
    return StepProgress(
        step.occurrence,
        step.number,
        step.last_run,
        sorted(step.done),
        failures,
        placed,
        unanswered_starts(step, tenure),
        unheld_checkpoints(step),
    )


def unheld_checkpoints(step: StepRun) -> dict[int, str]:
    """Return the checkpoints of tasks that are not done and that no worker holds, so that only the leader knows them.

    No more are returned than fit into a record beside the placements of as many tasks as a step may have.
    """
    unheld = {}
    left_bytes = MAX_CHECKPOINTS_BYTES
    for index in step.checkpoints.keys() - step.done - step.active.keys():
        text = step.checkpoints[index]
        left_bytes -= len(text.encode()) + CHECKPOINT_ENTRY_BYTES
        if left_bytes < 0:
            break
        unheld[index] = text
    return unheld


def without_checkpoints(record: Progress) -> Progress:
    """Return a record without the checkpoints of its tasks."""
    replace = msgspec.structs.replace
    return replace(record, steps=[replace(step, saved={}) for step in record.steps])


def unanswered_starts(step: StepRun, tenure: int) -> dict[int, UnansweredStart]:
    """Return the starts without an answer; none if no late copy of them has an effect.

    Args:
        step: the step.
        tenure: tenure of this leader.
    """
    if step.uses_tickets:
        return {}
    starts = {
        index: place.start for index, place in step.old_places.items() if place.start is not None
    }
    for index, placement in step.active.items():
        session = placement.session
        run = session.run_table.runs.get(step.task(index))
        if run is not None and (run.unanswered or run.may_start_later(session.now())):
            ordered_in = tenure if run.tenure is None else run.tenure
            starts[index] = UnansweredStart(run.run, ordered_in)
    return starts
