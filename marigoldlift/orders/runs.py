"""Runs on one worker and the room that they take."""

from enum import Enum

from marigoldlift.orders.api import HeldRun, Worker
from marigoldlift.submissions.model import Step, TaskRef

__all__ = ('Phase', 'Run', 'RunTable')

#: Ends that are remembered for each worker; it lists 500 at a time.
ENDED_KEPT = 2000


class Phase(Enum):
    """Where a run stands on its worker."""

    sent = 'sent'
    held = 'held'
    stopping = 'stopping'


class Run:
    """A run that takes room on a worker.

    Attributes:
        since: when it was last sent or known to be there, in seconds of the steady clock.
        moved_at: when its percentage last grew.
        unanswered: its start has got no answer yet, and no look has listed it.
        listed: a look of the session's own life has listed it.
        fence: token from which on the worker surely does not carry an unanswered start out, None while there is none.
    """

    __slots__ = (
        'checkpoint',
        'fence',
        'listed',
        'moved_at',
        'percent',
        'phase',
        'run',
        'since',
        'started_at',
        'step',
        'stop_sent_at',
        'task',
        'unanswered',
    )

    def __init__(self, task: TaskRef, run: int, step: Step, phase: Phase, now: float) -> None:
        """Take the room that the step asks for."""
        self.task = task
        self.run = run
        self.step = step
        self.phase = phase
        self.since = now
        self.started_at = now
        self.moved_at = now
        self.stop_sent_at: float | None = None
        self.unanswered = phase is Phase.sent
        self.fence: int | None = None
        self.listed = False
        self.percent: float = 0
        self.checkpoint = ''

    def confirm(self, held: HeldRun, now: float) -> None:
        """Take in that the worker lists the run."""
        if held.percent > self.percent:
            self.percent = held.percent
            self.moved_at = now
        self.checkpoint = held.checkpoint or self.checkpoint
        self.since = now
        self.unanswered = False
        self.listed = True
        if self.phase is Phase.sent:
            self.phase = Phase.held

    def stop(self, now: float) -> None:
        """Note that a stop was sent."""
        self.phase = Phase.stopping
        self.stop_sent_at = now

    def mark_uncertain(self, token: int, now: float) -> None:
        """Count the run as unanswered until a look under a token that high proves more."""
        self.unanswered = True
        self.fence = token
        self.since = now

    def is_surely_absent(self, sent_at: float, token: int) -> bool:
        """Tell whether a look that does not list the run proves that it is not there and never will be.

        Args:
            sent_at: when the look was sent, in seconds of the steady clock.
            token: fencing token of the look.
        """
        if self.since >= sent_at:
            return False
        return not self.unanswered or (self.fence is not None and token >= self.fence)


class RunTable:
    """What takes room on one worker.

    Attributes:
        runs: the runs by task.
        ended: tasks with runs that have ended lately; answers that overtake each other may still list them.
        cpu_m: free processor time, in thousandths of a core.
        mem_mb: free memory, in MB.
        gpus: free accelerators.
    """

    def __init__(self, worker: Worker) -> None:
        """Start with all the room of a worker."""
        self.runs: dict[TaskRef, Run] = {}
        self.ended: dict[tuple[TaskRef, int], None] = {}
        self.cpu_m = worker.cpu_m
        self.mem_mb = worker.mem_mb
        self.gpus = worker.gpus

    def resize(self, worker: Worker) -> None:
        """Add the room of a worker of which only the id was known."""
        self.cpu_m += worker.cpu_m
        self.mem_mb += worker.mem_mb
        self.gpus += worker.gpus

    def take(self, run: Run) -> None:
        """Count a run's demand, in place of that of another run of the task."""
        self.pop(run.task)
        self.runs[run.task] = run
        self.count(run.step, 1)

    def pop(self, task: TaskRef) -> Run | None:
        """Give the room of a run back."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.count(run.step, -1)
        return run

    def count(self, step: Step, sign: int) -> None:
        """Change the free room by one task."""
        self.cpu_m -= 0 if step.fills else sign * step.cpu_m
        self.mem_mb -= sign * step.mem_mb
        self.gpus -= sign * step.gpus

    def note_end(self, task: TaskRef, run: int) -> None:
        """Remember an end for a while."""
        self.ended[task, run] = None
        if len(self.ended) > ENDED_KEPT:
            self.ended.pop(next(iter(self.ended)))

    def tasks_of(self, task: TaskRef) -> int:
        """Return how many tasks of a task's step the worker holds."""
        step = (task.submission, task.occurrence, task.step)
        return sum(
            1 for other in self.runs if (other.submission, other.occurrence, other.step) == step
        )
