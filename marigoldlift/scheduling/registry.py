"""Workers that the platform lists."""

from collections.abc import Callable

from marigoldlift.orders.api import Worker
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('Registry',)


class Registry:
    """Newest entry of each worker; entries of other writers are left out.

    Attributes:
        changed: called after each change.
    """

    def __init__(self, decode: Callable[[str, bytes], Worker | None]) -> None:
        """Start empty.

        Args:
            decode: returns the worker of an entry, None when the entry names none.
        """
        self.decode = decode
        self.workers: dict[str, Worker] = {}
        self.changed: list[Callable[[], None]] = []

    def apply(self, stored: StoredRecord) -> None:
        """Take in one entry."""
        before = self.workers.get(stored.key)
        worker = self.decode(stored.key, stored.content) if stored.content else None
        if worker is None:
            if not stored.content:
                self.workers.pop(stored.key, None)
        else:
            self.workers[stored.key] = worker
        if self.workers.get(stored.key) != before:
            for observer in self.changed:
                observer()

    def reset(self) -> None:
        """Forget all entries before a snapshot is taken in."""
        self.workers.clear()
