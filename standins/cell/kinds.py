"""Kind of a worker: its resources and labels."""

import math
from collections.abc import Iterable

import msgspec

from marigoldlift.submissions.model import Step

__all__ = ('MEMORY_MB', 'UNNOTICED_S', 'WorkerKind')

MEMORY_MB = 1_000_000

#: Time after a change of kind for which a leader may send orders for the kind before, in s: it gives no new work to a
#: worker that has not answered for 1.3 s, and an answer tells the new incarnation.
UNNOTICED_S = 1.5


class WorkerKind(msgspec.Struct, frozen=True):
    """Resources and labels of a worker.

    Attributes:
        changed_at: loop time of the change to this kind, in s.
    """

    cpu_m: int
    mem_mb: int = MEMORY_MB
    gpus: int = 0
    labels: tuple[str, ...] = ()
    changed_at: float = -math.inf

    def free(self, steps: Iterable[Step]) -> dict[str, int]:
        """Return the free amount of each resource beside one task of each step; negative if it is exceeded.

        The processor time of tasks that fill is not counted.
        """
        left = {'cpu_m': self.cpu_m, 'mem_mb': self.mem_mb, 'gpus': self.gpus}
        for step in steps:
            left['cpu_m'] -= 0 if step.fills else step.cpu_m
            left['mem_mb'] -= step.mem_mb
            left['gpus'] -= step.gpus
        return left

    def was_unnoticed(self, sent_at: float) -> bool:
        """Return whether the sender of an order could still take the worker for the kind before."""
        return sent_at < self.changed_at + UNNOTICED_S
