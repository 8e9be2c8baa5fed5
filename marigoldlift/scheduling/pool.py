"""Workers of one service that may get new work, as one scheduling pass sees them."""

from collections.abc import Iterator, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.submissions.model import Step

__all__ = ('Pool',)


class Pool:
    """Usable workers by id, with their processors.

    Attributes:
        cpu_m: processor time of all of them, in thousandths of a core.
    """

    def __init__(self, sessions: Sequence[WorkerSession]) -> None:
        """Index the sessions."""
        self.sessions = {session.worker.id: session for session in sessions}
        self.cpu_m = sum(session.worker.cpu_m for session in sessions)

    def free_cpu_m(self) -> int:
        """Return the free processor time, in thousandths of a core."""
        return sum(max(0, session.room.cpu_m) for session in self.sessions.values())

    def fitting(self, step: Step) -> Iterator[WorkerSession]:
        """Yield the workers that have the label that a step requires."""
        for session in self.sessions.values():
            if not step.requires or step.requires in session.worker.labels:
                yield session
