"""Placements of the tasks of a step: which run of a task belongs to which session with a worker."""

from collections import UserDict

import msgspec

from marigoldlift.orders.session import WorkerSession

__all__ = ('Placement', 'Placements')


class Placement(msgspec.Struct, frozen=True, eq=False):
    """One placement of a task on a worker.

    Placements are compared by identity: a gang is placed again under the number of its present run, and a task may return to
    the worker that it has left.

    Attributes:
        index: index of the task.
        session: session with the worker.
        run: number of the run.
    """

    index: int
    session: WorkerSession
    run: int


class Placements(UserDict[int, Placement]):
    """Present placements of the tasks of a step that occupy capacity, by index."""

    def put(self, index: int, session: WorkerSession, run: int) -> Placement:
        """Replace the placement of a task, as when its run moves to another session, and return the new one."""
        placement = Placement(index, session, run)
        self.data[index] = placement
        return placement

    def of_run(self, session: WorkerSession, index: int, run: int) -> Placement | None:
        """Return the present placement of a task if it is that of a run which a session reports, None otherwise."""
        placement = self.data.get(index)
        if placement is None or placement.session is not session or placement.run != run:
            return None
        return placement

    def is_present(self, placement: Placement) -> bool:
        """Return whether a task still has a placement, rather than none or a later one."""
        return self.data.get(placement.index) is placement
