"""Latest time at which earlier leaders may have sent orders."""

from collections.abc import Callable

from marigoldlift.submissions.records import Leadership

__all__ = ('LEADER_LEASE_S', 'EarlierLeaders')

#: How long a leader continues without a confirmed renewal, in s: this bridges short outages of the store.
#: A successor waits as long for workers that it cannot reach.
LEADER_LEASE_S = 4

#: Tenures whose end is kept.
TENURES_KEPT = 100


class EarlierLeaders:
    """Tracks how long earlier leaders may send orders, on the clock of the entry that reads their records.

    Attributes:
        active_until: latest time at which an incarnation of an entry may send orders, by its identifier, in seconds of
            the monotonic clock.
        tenures: the same by number of the tenure, for the newest tenures.
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
        self.tenures: dict[int, float] = {}

    def note(self, record: Leadership, tenure: int) -> None:
        """Process a record of another incarnation; one that has released the leadership sends no more orders.

        Args:
            record: the record.
            tenure: number of the tenure that it begins, renews or releases.
        """
        has_ended = record.released or record.node == self.node
        left_s = 0 if has_ended else LEADER_LEASE_S
        until = self.clock() + left_s
        self.active_until[record.life] = until
        self.note_tenure(tenure, until)

    def note_end(self, life: str, tenure: int) -> None:
        """Record that an incarnation sends no more orders in its tenure."""
        self.active_until[life] = self.clock()
        self.note_tenure(tenure, self.clock())

    def note_tenure(self, tenure: int, until: float) -> None:
        """Record when a tenure ends, and forget the oldest beyond `TENURES_KEPT`."""
        self.tenures[tenure] = until
        if len(self.tenures) > TENURES_KEPT:
            self.tenures.pop(min(self.tenures))

    def ended_by(self, tenure: int) -> float:
        """Return the latest time at which the leader of a tenure may have sent orders.

        A tenure of which no record was read counts like the latest one.
        """
        return self.tenures.get(tenure, self.ended_at())

    def ended_at(self) -> float:
        """Return the latest time at which any earlier leader may have sent orders.

        The bound is the same for all workers: the leader before the last one may still reach a worker that the last
        one does not.
        """
        return max(self.active_until.values(), default=self.clock())
