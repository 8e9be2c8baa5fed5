"""Restarts that the registry tells of before the worker itself has answered.

An entry may come from another writer. One that names a later incarnation under the id of a worker is believed only once the
known incarnation answers no more.
"""

from collections.abc import Callable

import msgspec
from loguru import logger

from marigoldlift.orders.api import Worker
from marigoldlift.orders.session import WorkerSession

__all__ = ('ClaimedRestarts',)


class ClaimedRestart(msgspec.Struct):
    """Entry of a later incarnation under the id of a worker.

    Attributes:
        entry: the entry.
        noticed_at: when it was noticed, in seconds of the monotonic clock.
        is_refuted: whether the known incarnation has answered a poll since.
    """

    entry: Worker
    noticed_at: float
    is_refuted: bool = False


class ClaimedRestarts:
    """Checks entries of later incarnations against the answers of the known ones.

    Attributes:
        claims: newest such entry, by worker id.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Begin without entries; `clock` returns monotonic seconds."""
        self.clock = clock
        self.claims: dict[str, ClaimedRestart] = {}

    def is_confirmed(self, session: WorkerSession, entry: Worker) -> bool:
        """Return whether the known incarnation of a worker has ended, so that an entry of a later one may be applied."""
        claim = self.claims.get(entry.id)
        if claim is None or claim.entry != entry:
            claim = ClaimedRestart(entry, self.clock())
            self.claims[entry.id] = claim
            session.contact.note_claim(claim.noticed_at)
            session.poll_requested.set()
        if session.contact.answered_sent_at > claim.noticed_at:
            self.refute(claim)
            return False
        if session.is_heard() and not session.contact.is_displaced:
            return False
        self.claims.pop(entry.id)
        return True

    def open_claims(self) -> set[str]:
        """Return the workers that may have restarted, so that they get no orders until they have answered."""
        return {name for name, claim in self.claims.items() if not claim.is_refuted}

    def refute(self, claim: ClaimedRestart) -> None:
        """Record that the known incarnation has answered since the entry was noticed."""
        if not claim.is_refuted:
            claim.is_refuted = True
            logger.warning(
                'entry of another writer under the id of a worker: worker={} address={} born_ms={}',
                claim.entry.id,
                claim.entry.address,
                claim.entry.born_ms,
            )

    def forget(self, session: WorkerSession) -> None:
        """Forget what an entry under the id of a worker has claimed, once that is settled or no longer claimed."""
        self.claims.pop(session.worker.id, None)
        session.contact.claimed_at = None
