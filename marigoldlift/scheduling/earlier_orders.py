"""What may remain of the orders that earlier leaders have given to the workers."""

from collections.abc import Callable, Container, Iterable, Mapping

import msgspec

from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S, EarlierLeaders
from marigoldlift.orders.runs import LATE_ORDER_S, UNLEASED_EXPIRY_S
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.tasks import EarlierPlace

__all__ = ('EarlierOrders',)


class UnreachableDeadlines(msgspec.Struct, frozen=True):
    """Times after which everything that an unreachable worker may hold has certainly ended.

    Both are in seconds of the monotonic clock.

    Attributes:
        listed: applies while the registry lists the worker; counted from the takeover.
        gone: applies once the registry no longer lists it; counted from the last possible order of an earlier leader.
    """

    listed: float
    gone: float


class EarlierOrders:
    """Tracks which workers may hold, or may still start, tasks that earlier leaders have placed there.

    Attributes:
        lease_expiry_s: time after which a lease has certainly lapsed, in s.
        expiry_s: time from a takeover after which all leases of earlier leaders have certainly lapsed, in s: the lease of a
            leader and that of a worker.
        leaders: latest time at which earlier leaders can have sent orders.
        unreachable: workers that have not listed all their runs and ends since the takeover, with the times after which
            everything that they may hold has certainly ended.
    """

    def __init__(
        self,
        listed: Container[str],
        sessions: Mapping[str, WorkerSession],
        clock: Callable[[], float],
        lease_expiry_s: float,
    ) -> None:
        """Start without orders of earlier leaders.

        Args:
            listed: ids of the workers that the registry lists at present.
            sessions: open sessions by worker id.
            clock: monotonic clock in seconds.
            lease_expiry_s: time after which a lease has certainly lapsed, in s.
        """
        self.listed = listed
        self.sessions = sessions
        self.clock = clock
        self.lease_expiry_s = lease_expiry_s
        self.expiry_s = LEADER_LEASE_S + lease_expiry_s
        self.leaders = EarlierLeaders('', clock)
        self.unreachable: dict[str, UnreachableDeadlines] = {}

    def begin(self, workers: Iterable[str], leaders: EarlierLeaders) -> None:
        """Begin with the workers that an earlier leader has recorded, none of which has listed its runs yet.

        Args:
            workers: ids of the workers.
            leaders: latest time at which earlier leaders can have sent orders.
        """
        self.leaders = leaders
        deadlines = UnreachableDeadlines(
            self.clock() + self.expiry_s, leaders.ended_at() + self.lease_expiry_s
        )
        self.unreachable = dict.fromkeys(workers, deadlines)

    def settle(self, session: WorkerSession, now: float) -> None:
        """Count a worker as reachable once it has listed all runs and ends, or can hold none any more."""
        if session.knows_earlier_runs() or self.deadline_passed(session, now):
            self.unreachable.pop(session.worker.id, None)

    def deadline_passed(self, session: WorkerSession, now: float) -> bool:
        """Return whether everything that an unreachable worker may hold has certainly ended.

        A worker that is still listed is running and may execute a late order in an incarnation that this leader does
        not know yet, so its deadline is later. While a worker has a lease of this session, it may still list the end of
        an earlier run.
        """
        name = session.worker.id
        deadlines = self.unreachable.get(name)
        if deadlines is None or session.clock.may_hold_lease(now):
            return False
        if name in self.listed:
            return now > deadlines.listed
        return now > deadlines.gone

    def may_hold(self, place: EarlierPlace) -> bool:
        """Return whether the worker may run, or may have run, or may start late a task that was placed there."""
        if place.worker in self.unreachable:
            return True
        return place.unanswered_in is not None and self.may_execute_late(
            place.worker, place.unanswered_in
        )

    def may_execute_late(self, worker: str, tenure: int) -> bool:
        """Return whether a run may still come of a late order of an earlier leader.

        A status shows the runs of one incarnation, and the next one may execute the order, so only a poll that was sent
        after the last late order counts.
        """
        ended_at = self.leaders.ended_by(tenure)
        if self.clock() > ended_at + UNLEASED_EXPIRY_S:
            return False
        session = self.sessions.get(worker)
        if session is None or not session.knows_earlier_runs():
            return True
        return session.answered_poll_at < ended_at + LATE_ORDER_S
