"""Latest time at which earlier leaders may have sent orders."""

from collections.abc import Callable

from marigoldlift.submissions.records import NEW_TENURE, Leadership

__all__ = ('LEADER_LEASE_S', 'EarlierLeaders')

#: How long a leader continues without a confirmed renewal, in s: this bridges short outages of the store.
#: A successor waits as long for workers that it cannot reach.
LEADER_LEASE_S = 4

#: Tenures whose end is kept.
TENURES_KEPT = 100


class EarlierLeaders:
    """Tracks how long earlier leaders may send orders, on the clock of the entry that reads their records.

    All renewals of a tenure that have an effect were sent before the next tenure began. So its leader sends no more orders
    `LEADER_LEASE_S` after that, also where an old record of it is read only now.

    Attributes:
        active_until: latest time at which an incarnation of an entry may send orders, by its identifier, in seconds of
            the monotonic clock.
        tenures: the same by number of the tenure, for the newest tenures.
        newest_tenures: newest tenure by incarnation.
        aged: newest tenure of which the age is known.
        superseded_at: when this entry's own newest tenure began, in seconds of the monotonic clock.
        superseded_until: latest time at which leaders of tenures before that one may send orders.
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
        self.newest_tenures: dict[str, int] = {}
        self.aged = NEW_TENURE
        self.superseded_at = clock()
        self.superseded_until: float = 0

    def note(self, record: Leadership, tenure: int) -> None:
        """Process a record of another incarnation; one that has released the leadership sends no more orders.

        Args:
            record: the record.
            tenure: number of the tenure that it begins, renews or releases.
        """
        has_ended = record.released or record.node == self.node
        left_s = 0 if has_ended else LEADER_LEASE_S
        self.note_until(record.life, tenure, self.clock() + left_s)
        if record.age_s:
            self.note_age(tenure, record.age_s)

    def note_until(self, life: str, tenure: int, until: float) -> None:
        """Record how long an incarnation may send orders in its newest tenure."""
        if tenure >= self.newest_tenures.get(life, tenure):
            self.newest_tenures[life] = tenure
            self.active_until[life] = self.limited(tenure, until)
        self.note_tenure(tenure, until)

    def note_age(self, tenure: int, age_s: float) -> None:
        """Limit the time of all tenures before one by its age."""
        until = self.clock() - age_s + LEADER_LEASE_S
        if tenure < self.aged or tenure == self.aged and until >= self.superseded_until:
            return
        self.aged = tenure
        self.superseded_until = until
        for life, held in self.newest_tenures.items():
            self.active_until[life] = self.limited(held, self.active_until[life])
        for earlier in self.tenures:
            self.tenures[earlier] = self.limited(earlier, self.tenures[earlier])

    def limited(self, tenure: int, until: float) -> float:
        """Return the latest time at which the leader of a tenure may send orders, at most a given one."""
        return min(until, self.superseded_until) if tenure < self.aged else until

    def note_end(self, life: str, tenure: int) -> None:
        """Record that an incarnation sends no more orders in its tenure."""
        self.note_until(life, tenure, self.clock())

    def note_tenure(self, tenure: int, until: float) -> None:
        """Record when a tenure ends, and forget the oldest beyond `TENURES_KEPT`."""
        self.tenures[tenure] = self.limited(tenure, until)
        if len(self.tenures) > TENURES_KEPT:
            self.tenures.pop(min(self.tenures))

    def ended_by(self, tenure: int) -> float:
        """Return the latest time at which the leader of a tenure may have sent orders.

        A tenure of which no record was read counts like the latest one, or as ended before the newest tenure of which the age
        is known: the records of an entry's later tenures replace those of its earlier ones.
        """
        return self.tenures.get(tenure, self.limited(tenure, self.ended_at()))

    def ended_at(self) -> float:
        """Return the latest time at which any earlier leader may have sent orders.

        The bound is the same for all workers: the leader before the last one may still reach a worker that the last
        one does not.
        """
        return max(self.active_until.values(), default=self.clock())
