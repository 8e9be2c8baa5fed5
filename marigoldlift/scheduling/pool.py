"""Workers of one service that may get new tasks during one scheduling pass."""

from collections.abc import Iterator, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.submissions.model import Step

__all__ = ('Pool',)


class Pool:
    """Usable workers of a service and their total and free CPU.

    Attributes:
        sessions: sessions of the workers, by worker id.
        cpu_m: CPU of all workers, in thousandths of a core.
        free_cpu_m: free part of it, in thousandths of a core; runs that end during the pass are not added back.
    """

    def __init__(self, sessions: Sequence[WorkerSession]) -> None:
        """Index the sessions by worker id and sum up their CPU."""
        self.sessions = {session.worker.id: session for session in sessions}
        self.cpu_m = sum(session.worker.cpu_m for session in sessions)
        self.free_cpu_m = sum(max(0, session.run_table.cpu_m) for session in sessions)

    def subtract_tasks(self, step: Step, tasks: int) -> None:
        """Subtract the CPU of tasks that were placed during this pass."""
        if not step.fills:
            self.free_cpu_m -= step.cpu_m * tasks

    def eligible(self, step: Step) -> Iterator[WorkerSession]:
        """Yield the workers that carry the label that a step requires; all workers if it requires none."""
        for session in self.sessions.values():
            if not step.requires or step.requires in session.worker.labels:
                yield session
