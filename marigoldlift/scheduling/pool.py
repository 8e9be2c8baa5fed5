"""Workers of one service that may get new work, as one scheduling pass sees them."""

from collections.abc import Iterator, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.submissions.model import Step

__all__ = ('Pool',)


class Pool:
    """Usable workers by id, with their processors.

    Attributes:
        cpu_m: processor time of all of them, in thousandths of a core.
        free_cpu_m: what is free of it, without what ended during the pass.
    """

    def __init__(self, sessions: Sequence[WorkerSession]) -> None:
        """Index the sessions."""
        self.sessions = {session.worker.id: session for session in sessions}
        self.cpu_m = sum(session.worker.cpu_m for session in sessions)
        self.free_cpu_m = sum(max(0, session.room.cpu_m) for session in sessions)

    def take(self, step: Step, tasks: int) -> None:
        """Count tasks that were placed in this pass."""
        if not step.fills:
            self.free_cpu_m -= step.cpu_m * tasks

    def fitting(self, step: Step) -> Iterator[WorkerSession]:
        """Yield the workers that have the label that a step requires."""
        for session in self.sessions.values():
            if not step.requires or step.requires in session.worker.labels:
                yield session
