"""Open steps with tasks to start, and when further ones are opened."""

import heapq
import time
import weakref
from collections.abc import Callable, Iterator

from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.service_order import ServiceClass, service_class
from marigoldlift.scheduling.step_queue import waiting_limit
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.supervision import FaultBoundary, ItemKind

__all__ = ('WaitingSteps',)

MS_PER_S = 1000

#: Pause until a submission with more steps than may wait at once is looked at again although none was placed, in ms.
RECHECK_MS = 1000


class WaitingSteps:
    """Holds the open steps with tasks to start, in the order in which they were added.

    Attributes:
        steps: the steps; a dict to keep their order.
        due_times: submissions with occurrences that are due later, with the Unix time at which they are looked at, in ms, as
            a heap.
        second_looks: submissions with more steps than may wait at once, with the time at which they are looked at again, in
            seconds of the monotonic clock, as a heap; the wall clock may be set back.
    """

    def __init__(self, clock: Callable[[], float], faults: FaultBoundary) -> None:
        """Start without steps.

        Args:
            clock: monotonic clock in seconds.
            faults: contains an exception to the submission whose steps could not be opened.
        """
        self.clock = clock
        self.faults = faults
        self.steps: dict[StepRun, None] = {}
        self.due_times: list[tuple[float, int, weakref.ref[JobRun]]] = []
        self.second_looks: list[tuple[float, int, weakref.ref[JobRun]]] = []

    def __iter__(self) -> Iterator[StepRun]:
        """Return an iterator over the steps."""
        return iter(self.steps)

    def __len__(self) -> int:
        """Return the number of steps."""
        return len(self.steps)

    def add(self, step: StepRun) -> None:
        """Queue a step for placement if it has tasks to start."""
        if step.todo and step not in self.steps:
            self.steps[step] = None
            step.job.note_waiting(step)

    def open_due(self, job: JobRun) -> None:
        """Open the steps of a submission whose turn has come, and note when to look for more; if that raises, look again."""
        try:
            self.open_steps(job, time.time() * MS_PER_S)
        except Exception:
            self.look_again(job)
            raise

    def open_steps(self, job: JobRun, wall_ms: float) -> None:
        """Open the steps of a submission whose turn has come, and note when to look for more.

        Args:
            job: the submission.
            wall_ms: Unix time in ms.
        """
        self.put_back_worthless(job, wall_ms)
        for step in job.open_due(wall_ms):
            self.add(step)
        due_ms = job.queue.next_due_ms(wall_ms)
        if due_ms is not None and not wall_ms < job.opens_at_ms <= due_ms:
            job.opens_at_ms = due_ms
            heapq.heappush(self.due_times, (due_ms, job.job.offset, weakref.ref(job)))
        if job.queue.hidden(wall_ms):
            self.look_again(job)

    def look_again(self, job: JobRun) -> None:
        """Look again at a submission after a pause, unless that is noted already."""
        if job.second_look_at <= self.clock():
            job.second_look_at = self.clock() + RECHECK_MS / MS_PER_S
            heapq.heappush(
                self.second_looks, (job.second_look_at, job.job.offset, weakref.ref(job))
            )

    def open_occurrences(self, wall_ms: float) -> None:
        """Open the occurrences that have become due, and look again at the submissions with more steps than may wait.

        Args:
            wall_ms: Unix time in ms.
        """
        for times, now in ((self.due_times, wall_ms), (self.second_looks, self.clock())):
            while times and times[0][0] <= now:
                _, _, reference = heapq.heappop(times)
                job = reference()
                if job is not None:
                    self.open_others(job)

    def drop_finished(self) -> None:
        """Remove the steps that have no task to start or whose submission has ended, and open others in their place."""
        finished = [step for step in self.steps if not step.todo or step.job.outcome]
        for step in finished:
            self.drop(step)
        for job in dict.fromkeys(ended.job for ended in finished):
            self.open_others(job)

    def open_others(self, job: JobRun) -> None:
        """Open further steps of a submission that has not ended; an exception does not concern the others."""
        if job.outcome is None:
            with self.faults.contain(ItemKind.submission, job.id):
                self.open_due(job)

    def drop(self, step: StepRun) -> None:
        """Remove a step."""
        self.steps.pop(step)
        step.job.note_placed(step)

    def put_back_worthless(self, job: JobRun, wall_ms: float) -> None:
        """Close steps that cannot earn anything any more, so that occurrences which are due later may be opened.

        Args:
            job: the submission.
            wall_ms: Unix time in ms.
        """
        for number in crowded_numbers(job, wall_ms):
            for step in tuple(job.waiting[number]):
                since = job.counted_since(step, self.clock(), wall_ms)
                rank = service_class(step, self.clock(), since)
                if rank is ServiceClass.worthless and is_untouched(step):
                    self.drop(step)
                    job.close_step(step)


def crowded_numbers(job: JobRun, wall_ms: float) -> list[int]:
    """Return the numbers of steps of which no more may be opened although further occurrences are due.

    Args:
        job: the submission.
        wall_ms: Unix time in ms.
    """
    limit = waiting_limit(job.submission.steps)
    full = [number for number, steps in job.waiting.items() if len(steps) >= limit]
    return [number for number in full if job.queue.is_next_due(number, wall_ms)]


def is_untouched(step: StepRun) -> bool:
    """Return whether no task of a step was ever started, and the advice was never asked about it."""
    return not (step.last_run or step.old_places or step.tickets or step.ask_after)
