"""Non-repeatable requests of one failure domain, changed only by the records of its stream."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

import msgspec

from marigoldlift.ids import (
    Epoch,
    IdempotencyKey,
    Incarnation,
    KeyId,
    Offset,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.jobs.job_table import KEY_REUSED
from marigoldlift.jobs.state import OUTCOME_RETENTION_MS
from marigoldlift.journal.messages import KeyClaimed, KeyClosed, KeyStatus
from marigoldlift.journal.state import Verdict

__all__ = ('MAX_KEYS', 'NOT_DISPATCHED_PREFIX', 'KeyEntry', 'KeyRecord', 'KeyTable')

KeyRecord = KeyClaimed | KeyClosed

#: Keys kept, at about 0.8 KB each with a short answer. A full table refuses new keys: forgetting
#: one early could let it run twice.
MAX_KEYS = 20_000

#: Start of the reason with which a claimed key may be closed as not run. A refusal of a retry
#: also closes as not run, but is true only as the first record of the key.
NOT_DISPATCHED_PREFIX = 'not_dispatched:'

#: Formatted with the entry of the key.
KEY_TAKEN = 'key is {0.status.value}'

ACCEPTED = Verdict(accepted=True)


class KeyEntry(msgspec.Struct):
    """What is known of one key.

    Attributes:
        holder: entry that won the claim, empty when the key was closed first.
        claimed_ms: wall clock of the holder at the claim, in milliseconds.
        claimed_at: offset of the claim.
        closed_ms: newest time that the stream had shown at the closing record, 0 before.
    """

    key_id: KeyId
    workspace: WorkspaceId
    key: IdempotencyKey
    content_digest: str
    status: KeyStatus
    holder: str = ''
    worker_id: WorkerId = WorkerId('')
    incarnation: Incarnation = Incarnation('')
    epoch: Epoch = Epoch(0)
    claimed_ms: int = 0
    claimed_at: Offset = Offset(0)
    closed_ms: int = 0
    answer: str = ''
    reason: str = ''


class KeyTable:
    """All keys of a failure domain.

    Attributes:
        keys: by id, in the order of their first records.
        claimed: ids of open keys, for workers that have any.
        closed: closed keys, oldest first.
        newest_ms: newest writer's time that `advance` was given.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.keys: dict[KeyId, KeyEntry] = {}
        self.claimed: dict[WorkerId, set[KeyId]] = {}
        self.closed: deque[KeyEntry] = deque()
        self.newest_ms = 0

    def key(self, key_id: KeyId) -> KeyEntry | None:
        """Return a key that is claimed, or was closed less than the retention time ago."""
        return self.keys.get(key_id)

    def claimed_on(self, worker_id: WorkerId) -> list[KeyEntry]:
        """Return the open keys that were claimed for a worker."""
        return [self.keys[key_id] for key_id in sorted(self.claimed.get(worker_id, ()))]

    def advance(self, at_ms: int) -> None:
        """Note a writer's time, and forget keys that were closed too long ago."""
        self.newest_ms = max(self.newest_ms, at_ms)
        oldest_ms = self.newest_ms - OUTCOME_RETENTION_MS
        while self.closed and self.closed[0].closed_ms < oldest_ms:
            self.keys.pop(self.closed.popleft().key_id)

    def apply(self, offset: Offset, record: KeyRecord) -> Verdict:
        """Apply one record; a refused one changes nothing."""
        entry = self.keys.get(record.key_id)
        if entry is None and len(self.keys) >= MAX_KEYS:
            return Verdict(accepted=False, reason='too many keys are kept')
        if entry is not None and entry.content_digest != record.content_digest:
            return Verdict(accepted=False, reason=KEY_REUSED)
        return TRANSITIONS[type(record)](self, entry, offset, record)

    def load(self, entries: Iterable[KeyEntry], closed: Iterable[KeyId]) -> None:
        """Fill an empty table with keys and the order in which the closed ones closed."""
        for entry in entries:
            self.add(entry)
        self.closed.extend(self.keys[key_id] for key_id in closed)

    def add(self, entry: KeyEntry) -> None:
        """Add a key; a closed one must be put in the order of ends as well."""
        self.keys[entry.key_id] = entry
        if entry.status is KeyStatus.claimed:
            self.claimed.setdefault(entry.worker_id, set()).add(entry.key_id)

    def close(self, entry: KeyEntry, record: KeyClosed) -> None:
        """Keep the final word on a key that is not claimed any more."""
        entry.status = record.status
        entry.answer = record.answer
        entry.reason = record.reason
        entry.closed_ms = self.newest_ms
        self.closed.append(entry)

    def unclaim(self, entry: KeyEntry) -> None:
        """Take a claimed key off its worker."""
        claimed = self.claimed[entry.worker_id]
        claimed.discard(entry.key_id)
        if not claimed:
            self.claimed.pop(entry.worker_id)


def claim_key(
    table: KeyTable,
    entry: KeyEntry | None,
    offset: Offset,
    record: KeyClaimed,
) -> Verdict:
    """Give the right to dispatch to the first record of a key."""
    if entry is not None:
        return Verdict(accepted=False, reason=KEY_TAKEN.format(entry))
    table.add(
        KeyEntry(
            key_id=record.key_id,
            workspace=record.workspace,
            key=record.key,
            content_digest=record.content_digest,
            status=KeyStatus.claimed,
            holder=record.holder,
            worker_id=record.worker_id,
            incarnation=record.incarnation,
            epoch=record.epoch,
            claimed_ms=record.at_ms,
            claimed_at=offset,
        ),
    )
    return ACCEPTED


def close_key(
    table: KeyTable,
    entry: KeyEntry | None,
    offset: Offset,
    record: KeyClosed,
) -> Verdict:
    """Keep the first closing record of a key."""
    reason = check_closed(entry, record)
    if reason:
        return Verdict(accepted=False, reason=reason)
    if entry is None:
        entry = KeyEntry(
            key_id=record.key_id,
            workspace=record.workspace,
            key=record.key,
            content_digest=record.content_digest,
            status=record.status,
        )
        table.add(entry)
    else:
        table.unclaim(entry)
    table.close(entry, record)
    return ACCEPTED


def check_closed(entry: KeyEntry | None, record: KeyClosed) -> str:
    """Return why a key cannot be closed so, or ''."""
    if record.status is KeyStatus.claimed:
        return 'status is not final'
    if entry is None:
        return ''
    if entry.status is not KeyStatus.claimed:
        return KEY_TAKEN.format(entry)
    is_refusal = not record.reason.startswith(NOT_DISPATCHED_PREFIX)
    if record.status is KeyStatus.not_run and is_refusal:
        return 'key is claimed, it may run'
    return ''


TRANSITIONS: Mapping[type, Callable[..., Verdict]] = MappingProxyType(
    {
        KeyClaimed: claim_key,
        KeyClosed: close_key,
    },
)
