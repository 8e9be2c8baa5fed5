"""How a record stands to the lease of the owner, and what the worker shows of it."""

from enum import Enum

from marigoldlift.ids import Epoch, Incarnation, Offset
from marigoldlift.jobs.actions import OwnedWorker
from marigoldlift.platform.messages import TaskInventory, TaskState

__all__ = ('Presence', 'Standing', 'presence_of', 'standing_of')


class Standing(Enum):
    """Whose command a record stands for.

    Attributes:
        own: of this owner under its present epoch.
        older: of an earlier epoch, so that it cannot arrive any more.
        restarted: of an earlier incarnation, so that nothing of it runs.
        newer: perhaps of a newer lease than ours; none of our business.
    """

    own = 'own'
    older = 'older'
    restarted = 'restarted'
    newer = 'newer'


class Presence(Enum):
    """What the worker shows of a task."""

    running = 'running'
    ended = 'ended'
    absent = 'absent'


def standing_of(
    owned: OwnedWorker,
    incarnation: Incarnation,
    epoch: Epoch,
    offset: Offset,
) -> Standing:
    """Compare the lease that a record at `offset` names with that of the owner.

    Incarnations have no order. One other than ours is older if its record was applied before a
    renewal under our incarnation was sent and granted.
    """
    if incarnation != owned.incarnation:
        return Standing.restarted if offset <= owned.confirmed else Standing.newer
    if epoch == owned.epoch:
        return Standing.own
    return Standing.older if epoch < owned.epoch else Standing.newer


def presence_of(shown: TaskInventory | None) -> Presence:
    """Return what an inventory entry says, if there is one."""
    if shown is None:
        return Presence.absent
    return Presence.running if shown.state is TaskState.running else Presence.ended
