"""Route for storing the records of callers: from this entry, or through the leader while the log is slow."""

from typing import Protocol

from loguru import logger

from marigoldlift.errors import AppendRefusedError
from marigoldlift.replication.appender import Appender
from marigoldlift.replication.replica import Replica
from marigoldlift.submissions.records import Record
from marigoldlift.submissions.record_codec import encode_record

__all__ = ('AppendRouter', 'LeaderCalls')

#: Response time above which the log counts as slow, in s. A partition takes its appends one by one, so those of 40
#: entries wait for each other; the store usually answers in 4 ms, and in 0.2 to 0.3 s when it is slow.
SLOW_RESPONSE_S = 0.1


class LeaderCalls(Protocol):
    """Calls that forward a record to another entry."""

    async def append_at(
        self, address: str, content: bytes, wait_s: float, doubt_s: float
    ) -> float:
        """Let an entry store a record, and return the duration of its last append to the log, in s.

        Args:
            address: where the entry listens.
            content: stored form of the record.
            wait_s: how long the caller waits, in s.
            doubt_s: how much longer it waits if the record may be stored already, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """


class LeaderState(Protocol):
    """What the log says of the leader."""

    def leader_address(self) -> str:
        """Return the leader's address, empty if there is none or this entry leads."""

    def leader_response_s(self) -> float:
        """Return how long the leader's last append took according to its newest record, in s; 0 without a leader."""


class AppendRouter:
    """Stores callers' records, through the leader while the log is slow, so that few appends carry many records."""

    def __init__(
        self,
        appender: Appender,
        replica: Replica,
        calls: LeaderCalls,
        leader: LeaderState,
    ) -> None:
        """Create a router.

        Args:
            appender: stores from this entry.
            replica: measures how long a read takes.
            calls: reaches the leader.
            leader: tells where the leader is, and how slow the log is for it.
        """
        self.appender = appender
        self.replica = replica
        self.calls = calls
        self.leader = leader

    def is_slow(self) -> bool:
        """Return whether the last append, the one in progress, the last read or the leader's last append was slow.

        The leader appends several times a second. Other entries would notice a slow log only by appends of their own,
        which all wait for each other.
        """
        slowest_s = max(
            self.appender.response_s,
            self.replica.last_response_s,
            self.leader.leader_response_s(),
        )
        return slowest_s > SLOW_RESPONSE_S

    async def append(self, record: Record, wait_s: float, doubt_s: float = 0) -> None:
        """Store a record.

        Args:
            record: what is stored.
            wait_s: how long the caller waits, in s.
            doubt_s: how much longer it waits if the record may be stored already, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """
        until = self.appender.clock() + wait_s
        address = self.leader.leader_address() if self.is_slow() else ''
        if address and await self.forward_to_leader(address, record, wait_s, doubt_s):
            return
        await self.appender.append(record, max(0, until - self.appender.clock()), doubt_s)

    async def forward_to_leader(
        self, address: str, record: Record, wait_s: float, doubt_s: float
    ) -> bool:
        """Let the leader store a record; return False if it has certainly not stored it."""
        try:
            last_response_s = await self.calls.append_at(
                address, encode_record(record), wait_s, doubt_s
            )
        except AppendRefusedError as refusal:
            logger.info('record not taken by the leader: {}', refusal.reason)
            return False
        self.appender.last_response_s = last_response_s
        return True
