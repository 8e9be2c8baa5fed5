"""Model of submissions: steps of tasks with resource demands, and a policy."""

from typing import NewType

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = (
    'AdvicePolicy',
    'Policy',
    'Step',
    'Submission',
    'SubmissionId',
    'TaskRef',
    'parse_task_name',
)

SubmissionId = NewType('SubmissionId', str)

#: Index under which the failures and the checkpoint of a whole gang are kept.
GANG_INDEX = 0


class TaskRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a task by submission, occurrence, step and index within the step."""

    submission: SubmissionId
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Return the name of the task on workers."""
        return f'{self.submission}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_name(name: str) -> TaskRef:
    """Return the task to which a name refers.

    Raises:
        ValueError: the name has another form.
    """
    submission, occurrence, step, index = name.split('.')
    return TaskRef(SubmissionId(submission), int(occurrence), int(step), int(index))


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Cost (per call and per worker) and validity of a call to the placement advice, in ms."""

    decide_ms: float
    worker_ms: float
    valid_ms: float


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks with equal demands.

    Attributes:
        cpu_m: processor time that a task requests, in thousandths of a core.
        mem_mb: memory that a task requests, in MB.
        estimate_ms: rough run time of a task, in ms.
        after: indexes of the steps whose tasks must all be done first.
        requires: label that the worker must have, empty if any worker is suitable.
        data_rack: label of the rack that holds the data, empty if there is none.
        spread_limit: maximum number of tasks of the step on one worker, 0 for no limit.
        may_be_away: maximum number of tasks that the system's own orders may make unavailable at once.
    """

    count: int
    cpu_m: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    data_rack: str = ''
    spread_limit: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    may_be_away: int = 0

    def shared_index(self, index: int) -> int:
        """Return the index under which the failures and the checkpoint of a task are kept; all members of a gang share one."""
        return GANG_INDEX if self.gang else index


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """Configuration of the queue at the time when the submission was accepted."""

    queue: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: float
    advice: AdvicePolicy | None = None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """One accepted submission.

    Attributes:
        content: text passed to each task at its start.
        relay: address of the accepting entry, which calls the placement advice for it.
        occurrences: number of times that the steps run.
        first_due_ms: Unix time at which the first occurrence is due, 0 for at once.
        interval_ms: time between two occurrences, in ms.
        workspace: workspace of the caller that handed it in.
        ahead_s: 0 within the share of the workspace, else how far that was ahead of its weight, in s. Set by the accepting
            entry.
    """

    id: SubmissionId
    content: str
    steps: tuple[Step, ...]
    policy: Policy
    relay: str
    occurrences: int = 1
    first_due_ms: float = 0
    interval_ms: float = 0
    workspace: WorkspaceId = NO_WORKSPACE
    ahead_s: float = 0

    def has_task(self, task: TaskRef) -> bool:
        """Return whether the submission has a task."""
        if not 0 <= task.occurrence < self.occurrences or not 0 <= task.step < len(self.steps):
            return False
        return 0 <= task.index < self.steps[task.step].count
