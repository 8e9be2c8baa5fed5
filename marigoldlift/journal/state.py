"""What a replica of a stream drives (a state machine) and asks (a relay to peers)."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from marigoldlift.ids import Offset, StreamId
from marigoldlift.journal.messages import Record
from marigoldlift.platform.messages import RecordPage

__all__ = ('Applied', 'Listener', 'PeerRelay', 'StateMachine', 'StreamSnapshot', 'Verdict')


class Verdict(msgspec.Struct, frozen=True):
    """Whether a record changed the state, and why not."""

    accepted: bool
    reason: str = ''


class Applied(msgspec.Struct, frozen=True):
    """Where a record is in the stream, and what became of it."""

    offset: Offset
    verdict: Verdict


class StreamSnapshot(msgspec.Struct, frozen=True):
    """Encoded state of a replica after the record at `as_of`."""

    as_of: Offset
    body: bytes


#: Called after a record was applied; not for snapshot chunks, nor for records that a restored
#: snapshot stands for.
Listener = Callable[[Offset, Record, Verdict], None]


class StateMachine(Protocol):
    """State computed from the records of one stream, by their order alone."""

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Accept or reject a record, with the same result on every reader."""

    def dump(self) -> bytes:
        """Encode the state as of the last applied offset."""

    def restore(self, as_of: Offset, body: bytes) -> None:
        """Replace the state by a dump; ignored when `as_of` is not after the applied offset.

        An error for a dump that does not decode leaves the state as it was.
        """


class PeerRelay(Protocol):
    """Access to what other entries have of a stream."""

    async def read_records(self, stream: StreamId, first: Offset, limit: int) -> RecordPage:
        """Return the `tail` page of the peer whose page has the largest `next`.

        Raises:
            PeerUnavailableError: no peer answered.
        """

    async def read_snapshot(self, stream: StreamId) -> StreamSnapshot | None:
        """Return the newest snapshot of any peer, None when no peer has one.

        Raises:
            PeerUnavailableError: no peer answered.
        """
