"""Ended jobs, oldest first, and how long they are kept."""

from collections import Counter, deque
from collections.abc import Iterator

from marigoldlift.jobs.state import OUTCOME_RETENTION_MS, Job

__all__ = ('MAX_DETAILED_TASKS', 'MAX_ENDED_JOBS', 'EndedJobs')

#: A domain's eighth of 43,000 jobs a day is about 5,400. An ended job without its tasks takes
#: about 1.7 KB, so that twice as many still fit into the 32 MB of an entry.
MAX_ENDED_JOBS = 10_000

#: Tasks of ended jobs whose results are kept, at about 0.2 KB each with a short result; older
#: jobs keep only their state and counts.
MAX_DETAILED_TASKS = 20_000


class EndedJobs:
    """Order in which jobs ended.

    Attributes:
        kept: ended jobs, oldest first.
        detailed: those of them whose tasks are still kept, in the same order.
        detailed_tasks: number of their tasks.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.kept: deque[Job] = deque()
        self.detailed: deque[Job] = deque()
        self.detailed_tasks = 0

    def add(self, job: Job) -> None:
        """Append a job that has just ended, and drop details of the oldest ones."""
        self.kept.append(job)
        if job.tasks:
            self.detailed.append(job)
            self.detailed_tasks += len(job.tasks)
        while self.detailed_tasks > MAX_DETAILED_TASKS:
            self.drop_oldest_details()

    def pop_forgotten(self, newest_ms: int) -> Iterator[Job]:
        """Remove and yield the jobs that are too old or too many."""
        while self.kept and self.is_oldest_due(newest_ms):
            job = self.kept.popleft()
            if self.detailed and self.detailed[0] is job:
                self.drop_oldest_details()
            yield job

    def is_oldest_due(self, newest_ms: int) -> bool:
        """Tell whether the oldest ended job is to be forgotten."""
        is_old = self.kept[0].ended_ms + OUTCOME_RETENTION_MS < newest_ms
        return is_old or len(self.kept) > MAX_ENDED_JOBS

    def drop_oldest_details(self) -> None:
        """Keep only the outcome counts of the oldest job that still has its tasks."""
        job = self.detailed.popleft()
        self.detailed_tasks -= len(job.tasks)
        job.tasks = []


def outcome_counts(job: Job) -> dict[str, int]:
    """Count the tasks of a job by phase, in a stable order."""
    counts = Counter(task.phase.value for task in job.tasks)
    return dict(sorted(counts.items()))
