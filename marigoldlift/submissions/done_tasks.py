"""Record of tasks that are done, as only an earlier leader was told."""

from collections.abc import Iterator

from marigoldlift.submissions.model import SubmissionId, TaskRef
from marigoldlift.submissions.records import Record

__all__ = ('DoneTasks', 'done_tasks_key')


def done_tasks_key(submission: SubmissionId, tenure: int) -> str:
    """Return the key of the record of tasks that only the leader of a tenure was told of."""
    return f'e/{submission}/{tenure}'


class DoneTasks(Record, tag='e'):
    """Tasks that are done, as a leader was told that could not store it during its tenure.

    Any entry that led may write it: a task that is done stays done, whoever leads by now.

    Attributes:
        tenure: tenure of that leader.
        done: the tasks, each by occurrence, step and index.
    """

    submission: SubmissionId
    tenure: int
    done: list[tuple[int, int, int]]

    @property
    def key(self) -> str:
        """Return the key under which the record is stored."""
        return done_tasks_key(self.submission, self.tenure)

    def tasks(self) -> Iterator[TaskRef]:
        """Yield the tasks, which the submission need not have."""
        for occurrence, step, index in self.done:
            yield TaskRef(self.submission, occurrence, step, index)
