"""What an entry knows of the leader when another entry leads."""

from marigoldlift.leadership.election import Election
from marigoldlift.submissions.records import Backlog, Leadership

__all__ = ('LeaderView',)

#: Age of the leader's newest record above which its backlog counts as unknown, in s: renewals are stored every 0.2 s and
#: read 0.25 s later.
MAX_BACKLOG_AGE_S = 1.0

NO_BACKLOG = Backlog()


class LeaderView:
    """Newest record of the leader, if another entry leads."""

    def __init__(self, election: Election) -> None:
        """View the leader that an election knows."""
        self.election = election

    def leader_address(self) -> str:
        """Return the leader's address, empty if there is none or this entry leads."""
        leader = self.other_leader()
        return leader.address if leader else ''

    def leader_response_s(self) -> float:
        """Return how long the leader's last append took according to its newest record, in s; 0 without a leader."""
        leader = self.other_leader()
        return leader.response_s if leader else 0

    def backlog(self, service: str) -> Backlog:
        """Return how long the workers of a service need for the work that waits for them; 0 if it is unknown."""
        leader = self.election.holder
        if leader is None or self.election.clock() - self.election.seen_at > MAX_BACKLOG_AGE_S:
            return NO_BACKLOG
        return leader.backlogs.get(service, NO_BACKLOG)

    def other_leader(self) -> Leadership | None:
        """Return the newest record of the leader, None if there is none or this entry leads."""
        if self.election.tenure is not None or self.election.is_vacant():
            return None
        return self.election.holder
