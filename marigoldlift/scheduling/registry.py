"""Registry of the workers that the platform lists."""

from collections.abc import Callable, Collection

from marigoldlift.orders.api import Worker
from marigoldlift.submissions.record_codec import StoredRecord

__all__ = ('Registry',)


class Registry:
    """Newest registry entry of each worker; entries of other writers, which describe no worker, are ignored.

    Attributes:
        workers: listed workers by key of their entry.
        changed: observers that are called after each change.
    """

    def __init__(self, decode: Callable[[str, bytes], Worker | None]) -> None:
        """Start empty.

        Args:
            decode: returns the worker that an entry describes, None if it does not describe one.
        """
        self.decode = decode
        self.workers: dict[str, Worker] = {}
        self.changed: list[Callable[[], None]] = []

    def apply(self, stored: StoredRecord) -> None:
        """Apply one entry; an entry without content removes the worker."""
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

    def retain(self, keys: Collection[str]) -> None:
        """Remove the workers whose keys a snapshot does not contain."""
        for key in self.workers.keys() - keys:
            self.workers.pop(key)
