"""What the owner of a worker does so that worker and stream agree."""

from marigoldlift.jobs.actions import Action, OwnedWorker
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.reconcile_keys import reconcile_keys
from marigoldlift.jobs.reconcile_tasks import reconcile_tasks

__all__ = ('reconcile',)


def reconcile(owned: OwnedWorker, state: DomainState, at_ms: int) -> list[Action]:
    """Compare a worker with the state of its domain stream.

    The caller holds the worker's lease. `state` may lag behind the stream: each proposed record
    is one that the stream refuses when it has moved on.

    Args:
        owned: the worker as the owner knows it.
        state: the owner's replica of the stream of the worker's failure domain.
        at_ms: wall clock in milliseconds, for the proposed records.

    Returns:
        Actions on tasks, then on keys; safe to repeat.
    """
    task_actions = reconcile_tasks(owned, state.jobs, at_ms)
    key_actions = reconcile_keys(owned, state.keys, at_ms)
    return [*task_actions, *key_actions]
