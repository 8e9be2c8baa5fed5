"""Latest time at which earlier leaders may have sent orders."""

from collections.abc import Callable

from marigoldlift.submissions.records import Leadership

__all__ = ('LEADER_LEASE_S', 'EarlierLeaders')

#: How long a leader continues without a confirmed renewal, in s: this bridges short outages of the store.
#: A successor waits as long for workers that it cannot reach.
LEADER_LEASE_S = 4


class EarlierLeaders:
    """Tracks how long earlier leaders may send orders, on the clock of the entry that reads their records.

    Attributes:
        active_until: latest time at which an incarnation of an entry may send orders, by its identifier, in seconds of
            the monotonic clock.
    """

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        """Create a tracker without records.

        Args:
            node: the entry that reads; its earlier processes have ended.
            clock: monotonic time in seconds.
        """
        self.node = node
        self.clock = clock
        self.active_until: dict[str, float] = {}

    def note(self, record: Leadership) -> None:
        """Process a record of another incarnation; one that has released the leadership sends no more orders."""
        has_ended = record.released or record.node == self.node
        left_s = 0 if has_ended else LEADER_LEASE_S
        self.active_until[record.life] = self.clock() + left_s

    def note_end(self, life: str) -> None:
        """Record that an incarnation sends no more orders in its tenure."""
        self.active_until[life] = self.clock()

    def ended_at(self) -> float:
        """Return the latest time at which any earlier leader may have sent orders.

        The bound is the same for all workers: the leader before the last one may still reach a worker that the last
        one does not.
        """
        return max(self.active_until.values(), default=self.clock())
