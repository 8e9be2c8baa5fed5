"""Measures how long submissions have startable tasks while none of their tasks runs."""

import asyncio

from marigoldlift.submissions.model import Submission, TaskRef
from standins.cell.invariants import InvariantChecker
from tests.cell.model import ModelCell

__all__ = ('LOST_AFTER_S', 'IdleWatch', 'set_task_duration')

TICK_S = 0.02

#: Time without a run after which the platform's rules count a submission as lost while workers have free
#: capacity, in s.
LOST_AFTER_S = 3.0


def set_task_duration(cell: ModelCell, duration_s: float) -> None:
    """Set the run time of all tasks, in s."""

    def duration_of(task: TaskRef) -> float:  # noqa: WPS430 the state is one number
        return duration_s

    for entry in cell.entries:
        entry.calls.duration_of = duration_of


class IdleWatch:
    """Samples the running tasks and measures idle times of submissions.

    Attributes:
        longest_s: longest idle time by submission, in s.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Sample a cell until its loop ends."""
        self.cell = cell
        self.idle_since: dict[str, float] = {}
        self.longest_s: dict[str, float] = {}
        self.task = cell.loop.create_task(self.run())

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            now = self.cell.loop.time()
            for name, submission in self.cell.checker.submissions.items():
                if not is_idle(self.cell.checker, submission) or not self.cell.is_open(name):
                    self.idle_since.pop(name, None)
                    continue
                idle_s = now - self.idle_since.setdefault(name, now)
                self.longest_s[name] = max(idle_s, self.longest_s.get(name, 0))
            await asyncio.sleep(TICK_S)


def is_idle(checker: InvariantChecker, submission: Submission) -> bool:
    """Return whether a submission has startable tasks but none that runs."""
    running = {task.submission for task, holders in checker.running.items() if holders}
    return submission.id not in running and bool(startable_tasks(checker, submission))


def startable_tasks(checker: InvariantChecker, submission: Submission) -> list[TaskRef]:
    """Return the tasks that have not ended as done and whose earlier steps have all ended as done."""
    done = checker.ended_done
    tasks = {
        number: [TaskRef(submission.id, 0, number, index) for index in range(step.count)]
        for number, step in enumerate(submission.steps)
    }
    return [
        task
        for number, step in enumerate(submission.steps)
        for task in tasks[number]
        if task not in done
        and all(earlier in done for before in step.after for earlier in tasks[before])
    ]
