"""Route for storing the records of callers: from this entry, or through the leader while the log is slow."""

from collections.abc import Callable
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

    async def append_at(self, address: str, content: bytes, wait_s: float) -> float:
        """Let an entry store a record, and return the duration of its last append to the log, in s.

        Args:
            address: where the entry listens.
            content: stored form of the record.
            wait_s: how long the caller waits, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """


class AppendRouter:
    """Stores callers' records, through the leader while the log is slow, so that few appends carry many records."""

    def __init__(
        self,
        appender: Appender,
        replica: Replica,
        calls: LeaderCalls,
        leader_address: Callable[[], str],
    ) -> None:
        """Create a router.

        Args:
            appender: stores from this entry.
            replica: measures how long a read takes.
            calls: reaches the leader.
            leader_address: returns the leader's address, empty if there is none or this entry leads.
        """
        self.appender = appender
        self.replica = replica
        self.calls = calls
        self.leader_address = leader_address

    def is_slow(self) -> bool:
        """Return whether the last append or the last non-waiting read was slow."""
        return max(self.appender.last_response_s, self.replica.last_response_s) > SLOW_RESPONSE_S

    async def append(self, record: Record, wait_s: float) -> None:
        """Store a record.

        Args:
            record: what is stored.
            wait_s: how long the caller waits, in s.

        Raises:
            AppendRefusedError: the record is not stored and will not be.
            AppendOutcomeUnknownError: the record may be stored, now or later.
        """
        until = self.appender.clock() + wait_s
        address = self.leader_address() if self.is_slow() else ''
        if address and await self.forward_to_leader(address, record, wait_s):
            return
        await self.appender.append(record, max(0, until - self.appender.clock()))

    async def forward_to_leader(self, address: str, record: Record, wait_s: float) -> bool:
        """Let the leader store a record; return False if it has certainly not stored it."""
        try:
            last_response_s = await self.calls.append_at(address, encode_record(record), wait_s)
        except AppendRefusedError as refusal:
            logger.info('record not taken by the leader: {}', refusal.reason)
            return False
        self.appender.last_response_s = last_response_s
        return True
