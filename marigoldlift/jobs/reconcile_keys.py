"""Actions of a worker's owner on non-repeatable requests."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import msgspec

from marigoldlift.jobs.actions import Action, Adopt, OwnedWorker, Propose
from marigoldlift.jobs.key_table import NOT_DISPATCHED_PREFIX, KeyEntry, KeyTable
from marigoldlift.jobs.standing import Presence, Standing, presence_of, standing_of
from marigoldlift.jobs.task_ids import task_id_of_key
from marigoldlift.journal.messages import KeyClosed, KeyStatus
from marigoldlift.platform.messages import TaskInventory, TaskState

__all__ = ('CLOCK_MARGIN_MS', 'RESULT_KEPT_MS', 'reconcile_keys')

#: A worker remembers an end for at least 15 min. Absence from an inventory taken later does not
#: prove that the request never ran.
RESULT_KEPT_MS = 900_000

#: Allowed difference between the wall clocks of two entries, in milliseconds.
CLOCK_MARGIN_MS = 60_000

UNSENT_REASON = f'{NOT_DISPATCHED_PREFIX} given up before the dispatch'
ABSENT_REASON = f'{NOT_DISPATCHED_PREFIX} absent at takeover'
EXPIRED_REASON = 'taken over after the worker may have forgotten the result'
RESTARTED_REASON = 'worker restarted'

STATUSES = MappingProxyType(
    {
        TaskState.finished: KeyStatus.completed,
        TaskState.failed: KeyStatus.failed,
        TaskState.stopped: KeyStatus.unknown,
    },
)


class Case(msgspec.Struct, frozen=True):
    """An open key on the worker, and what the worker shows of it."""

    owned: OwnedWorker
    entry: KeyEntry
    shown: TaskInventory | None
    at_ms: int


def reconcile_keys(owned: OwnedWorker, keys: KeyTable, at_ms: int) -> Iterator[Action]:
    """Yield the actions on keys claimed for the worker that this entry is not dispatching."""
    shown_by_id = {shown.task_id: shown for shown in owned.inventory}
    for entry in keys.claimed_on(owned.worker_id):
        if entry.key_id in owned.dispatching:
            continue
        shown = shown_by_id.get(task_id_of_key(entry.key_id))
        action = act(Case(owned, entry, shown, at_ms))
        if action is not None:
            yield action


def act(case: Case) -> Action | None:
    """Look up the rule for an open key."""
    entry = case.entry
    standing = standing_of(case.owned, entry.incarnation, entry.epoch, entry.claimed_at)
    rule = RULES.get((standing, presence_of(case.shown)))
    return None if rule is None else rule(case)


def adopt(case: Case) -> Action:
    """Account for a request that runs, and wait for its result."""
    return Adopt(case.shown)


def close_unsent(case: Case) -> Action | None:
    """Close a key that this entry claimed and surely did not dispatch."""
    if case.entry.holder != case.owned.holder:
        return None
    return close(case, KeyStatus.not_run, UNSENT_REASON)


def close_absent(case: Case) -> Action | None:
    """Close a key of an earlier owner by what the absence proves."""
    if case.owned.inventory_ms is None:
        return None
    age_ms = case.owned.inventory_ms - case.entry.claimed_ms
    if age_ms + CLOCK_MARGIN_MS < RESULT_KEPT_MS:
        return close(case, KeyStatus.not_run, ABSENT_REASON)
    return close(case, KeyStatus.unknown, EXPIRED_REASON)


def close_restarted(case: Case) -> Action:
    """Close a key whose worker has forgotten everything."""
    return close(case, KeyStatus.unknown, RESTARTED_REASON)


def close_ended(case: Case) -> Action:
    """Close a key with the result that the worker still remembers."""
    return close(case, STATUSES[case.shown.state], answer=case.shown.result)


def close(case: Case, status: KeyStatus, reason: str = '', answer: str = '') -> Action:
    """Propose the final word on a key."""
    return Propose(
        KeyClosed(
            at_ms=case.at_ms,
            key_id=case.entry.key_id,
            workspace=case.entry.workspace,
            key=case.entry.key,
            content_digest=case.entry.content_digest,
            status=status,
            answer=answer,
            reason=reason,
        ),
    )


#: A missing pair means that there is nothing to do.
RULES: Mapping[tuple[Standing, Presence], Callable[[Case], Action | None]] = MappingProxyType(
    {
        (Standing.own, Presence.running): adopt,
        (Standing.own, Presence.ended): close_ended,
        (Standing.own, Presence.absent): close_unsent,
        (Standing.older, Presence.running): adopt,
        (Standing.older, Presence.ended): close_ended,
        (Standing.older, Presence.absent): close_absent,
        (Standing.restarted, Presence.running): adopt,
        (Standing.restarted, Presence.ended): close_ended,
        (Standing.restarted, Presence.absent): close_restarted,
    },
)
