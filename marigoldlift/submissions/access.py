"""Which submissions a caller may read, cancel and hand in again."""

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('ANYONE', 'Caller', 'Owner')


class Owner(msgspec.Struct, frozen=True):
    """What is kept of a submission to decide who may access it.

    Attributes:
        workspace: workspace of the caller that handed it in.
        queue: name of the queue that it was handed in to.
    """

    workspace: WorkspaceId = NO_WORKSPACE
    queue: str = ''


class Caller(msgspec.Struct, frozen=True, array_like=True):
    """Who makes a request.

    Attributes:
        workspace: workspace of its key, `NO_WORKSPACE` without a key.
        open_queue: name of the queue that it calls if that queue needs no key, else empty.
    """

    workspace: WorkspaceId = NO_WORKSPACE
    open_queue: str = ''

    def may_access(self, owner: Owner) -> bool:
        """Return whether the caller may access the submissions of an owner.

        Through a queue that needs no key, all submissions of that queue are accessible: their callers may leave out the
        key with which they have handed them in.
        """
        if owner.workspace in {NO_WORKSPACE, self.workspace}:
            return True
        return bool(self.open_queue) and self.open_queue == owner.queue


#: A caller without a key, who may access what was handed in without one.
ANYONE = Caller()
