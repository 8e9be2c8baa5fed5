"""What an entry knows of the leader when another entry leads."""

from marigoldlift.leadership.election import Election
from marigoldlift.submissions.records import Leadership

__all__ = ('LeaderView',)


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

    def other_leader(self) -> Leadership | None:
        """Return the newest record of the leader, None if there is none or this entry leads."""
        if self.election.tenure is not None or self.election.is_vacant():
            return None
        return self.election.holder
