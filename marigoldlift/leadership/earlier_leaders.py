"""When earlier leaders can have given orders last."""

from collections.abc import Callable

from marigoldlift.submissions.records import Leadership

__all__ = ('LEADER_LEASE_S', 'EarlierLeaders')

#: How long a leader goes on without a confirmed renewal, in s: it bridges short outages of the store.
#: A successor waits as long for workers that it cannot reach.
LEADER_LEASE_S = 4


class EarlierLeaders:
    """Follows the records of all leaders, on the clock of the entry that reads them.

    Attributes:
        active_until: when a life of an entry can have given orders last, by its name, in seconds of the steady clock.
    """

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        """Start without records.

        Args:
            node: the entry that reads; an earlier process of it has ended.
            clock: steady time in seconds.
        """
        self.node = node
        self.clock = clock
        self.active_until: dict[str, float] = {}

    def note(self, record: Leadership) -> None:
        """Take in a record of another life; one that has released its place gives no more orders."""
        is_over = record.released or record.node == self.node
        left_s = 0 if is_over else LEADER_LEASE_S
        self.active_until[record.life] = self.clock() + left_s

    def note_end(self, life: str) -> None:
        """Note that a life gives no more orders in its tenure."""
        self.active_until[life] = self.clock()

    def ended_at(self) -> float:
        """Return when any earlier leader can have given orders last.

        No worker has a bound of its own: the one that has led before last may still reach a worker that the last one
        does not.
        """
        return max(self.active_until.values(), default=self.clock())
