"""What may remain of the orders that earlier leaders have given to the workers."""

from collections.abc import Callable, Container, Iterable, Mapping

import msgspec

from marigoldlift.leadership.earlier_leaders import LEADER_LEASE_S, EarlierLeaders
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.records import UnansweredStart

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
        # An earlier leader may have told since the takeover that it sends no more orders.
        return now > min(deadlines.gone, self.leaders.ended_at() + self.lease_expiry_s)

    def adopt_starts(self, steps: Iterable[StepRun]) -> None:
        """Count the starts that earlier leaders have left without an answer as runs with an unknown outcome."""
        for step in steps:
            for index, place in list(step.old_places.items()):
                session = self.sessions.get(place.worker)
                if place.start is not None and session is not None:
                    self.adopt_start(step, index, session, place.start)

    def adopt_start(
        self, step: StepRun, index: int, session: WorkerSession, start: UnansweredStart
    ) -> None:
        """Count a start of an earlier leader as a run on its worker, unless that is known or no copy of it is left."""
        task = step.task(index)
        run = Run(task, start.run, step.step, Phase.sent, self.clock())
        run.adopt(start.tenure, session.token, self.leaders.ended_by(start.tenure))
        if task in session.run_table.runs or run.has_expired(self.clock()):
            return
        session.run_table.take(run)
        step.begin(index, session, start.run)
