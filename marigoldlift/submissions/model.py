"""Submissions as the product sees them: steps of tasks with demands and a policy."""

from typing import NewType

import msgspec

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


class TaskRef(msgspec.Struct, frozen=True, array_like=True):
    """One task: submission, occurrence, step and index within the step."""

    submission: SubmissionId
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Return the name that workers know the task by."""
        return f'{self.submission}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_name(name: str) -> TaskRef:
    """Return the task of a name.

    Raises:
        ValueError: the name has another form.
    """
    submission, occurrence, step, index = name.split('.')
    return TaskRef(SubmissionId(submission), int(occurrence), int(step), int(index))


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Cost and validity of a call to the placement advice, in ms."""

    decide_ms: float
    worker_ms: float
    valid_ms: float


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one shape.

    Attributes:
        cpu_m: processor time that a task asks for, in thousandths of a core.
        mem_mb: memory that a task asks for, in MB.
        estimate_ms: rough run time of a task, in ms.
        after: earlier steps whose tasks must all be done first.
        requires: label that the worker must have, empty when any will do.
        data_rack: label of the rack where the data lies, empty when there is none.
        spread_limit: tasks of the step that may run on one worker, 0 when any number.
        may_be_away: tasks that may be unavailable at once by the system's own orders.
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


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """What the configuration said about the queue when the submission was accepted."""

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
        content: text that each task is started with.
        relay: address of the accepting entry, which calls the advice for it.
        occurrences: how many times the steps run.
        first_due_ms: Unix time at which the first occurrence is due, 0 for at once.
        interval_ms: time between two occurrences, in ms.
    """

    id: SubmissionId
    content: str
    steps: tuple[Step, ...]
    policy: Policy
    relay: str
    occurrences: int = 1
    first_due_ms: float = 0
    interval_ms: float = 0
