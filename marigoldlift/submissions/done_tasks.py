"""Record of tasks that are done and of runs that have failed, as only an earlier leader was told."""

from collections.abc import Iterator

import msgspec

from marigoldlift.submissions.model import SubmissionId, TaskRef
from marigoldlift.submissions.records import Record

__all__ = ('DoneTasks', 'ReportedEnd')


def done_tasks_key(submission: SubmissionId, tenure: int, part: int) -> str:
    """Return the key of a record of ends that only the leader of a tenure was told of; the first part has no number."""
    whole = f'e/{submission}/{tenure}'
    return f'{whole}/{part}' if part else whole


class ReportedEnd(msgspec.Struct, frozen=True):
    """An end after which a task is done, or has one attempt less.

    Attributes:
        task: the task, which its submission need not have.
        failed_run: number of the run that has failed, None if the task is done.
    """

    task: TaskRef
    failed_run: int | None = None


class DoneTasks(Record, tag='e'):
    """Tasks that are done and runs that have failed, as a leader was told that could not store it during its tenure.

    Any entry that led may write it: a task that is done stays done, and a failed run counts once, whoever leads by now.

    Attributes:
        tenure: tenure of that leader.
        done: the tasks that are done, each by occurrence, step and index.
        failed: the runs that have failed, each by occurrence, step, index and number; none in records of older versions.
        part: number of the record among those of the submission and the tenure, none of which replaces another one.
    """

    submission: SubmissionId
    tenure: int
    done: list[tuple[int, int, int]]
    failed: list[tuple[int, int, int, int]] = []
    part: int = 0

    @property
    def key(self) -> str:
        """Return the key under which the record is stored."""
        return done_tasks_key(self.submission, self.tenure, self.part)

    def ends(self) -> Iterator[ReportedEnd]:
        """Yield the ends; a task that is done comes before the failures of its earlier runs."""
        for occurrence, step, index in self.done:
            yield ReportedEnd(TaskRef(self.submission, occurrence, step, index))
        for occurrence, step, index, run in self.failed:
            yield ReportedEnd(TaskRef(self.submission, occurrence, step, index), run)
