"""Liveness of a member, derived from the time since its last heartbeat."""

from enum import Enum

import msgspec

__all__ = ('Liveness', 'LivenessLimits')


class Liveness(Enum):
    """Liveness of a member.

    Attributes:
        alive: its last heartbeat is recent.
        suspect: it has been silent for a while and gets no work.
        removed: it has been silent for so long that it is removed from the table.
    """

    alive = 'alive'
    suspect = 'suspect'
    removed = 'removed'


class LivenessLimits(msgspec.Struct, frozen=True):
    """Time without a heartbeat after which a member is suspected and removed.

    Attributes:
        suspect_s: seconds until a member of the same failure domain is suspected.
        remote_suspect_s: seconds until a member of another failure domain is suspected.
        remove_s: seconds until a member of the same failure domain is removed.
        remote_remove_s: seconds until a member of another failure domain is removed.
    """

    suspect_s: float = 2
    remote_suspect_s: float = 8
    remove_s: float = 10
    remote_remove_s: float = 40

    def judge(self, silence_s: float, *, local: bool) -> Liveness:
        """Return the liveness of a member that has been silent for some time.

        Args:
            silence_s: time since its last heartbeat, in seconds.
            local: whether it is in the same failure domain as this entry.
        """
        suspect_s, remove_s = (
            (self.suspect_s, self.remove_s)
            if local
            else (self.remote_suspect_s, self.remote_remove_s)
        )
        if silence_s >= remove_s:
            return Liveness.removed
        return Liveness.suspect if silence_s >= suspect_s else Liveness.alive
