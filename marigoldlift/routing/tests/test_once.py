"""Non-repeatable requests: one test for each row of the table of failures in the design."""

import asyncio

import pytest

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    OverloadedError,
)
from marigoldlift.jobs.actions import OwnedWorker, Propose
from marigoldlift.jobs.key_table import NOT_DISPATCHED_PREFIX
from marigoldlift.jobs.reconcile_keys import reconcile_keys
from marigoldlift.jobs.task_ids import task_id_of_key
from marigoldlift.journal.messages import KeyClaimed, KeyClosed, KeyStatus
from marigoldlift.peers.messages import ReplyStatus
from marigoldlift.platform.messages import RequestResult, TaskState
from marigoldlift.routing.once import claim_record
from marigoldlift.routing.replies import EARLIER_ATTEMPT_UNKNOWN
from marigoldlift.routing.tests.conftest import HOLDER, KEY_ID, pending, request
from marigoldlift.util import wall_ms

pytestmark = pytest.mark.looptime

TASK_ID = task_id_of_key(KEY_ID)


def charge(**changes):
    """Return a charge on its way."""
    return pending(request('charge', **changes), KEY_ID)


async def execute(path, **changes):
    """Send a charge through the router."""
    return await path.router.execute(request('charge', **changes))


def key_status(path):
    """Return what the log knows of the key, None for nothing."""
    entry = path.state.keys.key(KEY_ID)
    return entry and entry.status


def proposed_closings(path, grant):
    """Return how the present owner of the worker closes the key."""
    owned = OwnedWorker(
        worker_id='w1',
        incarnation=grant.incarnation,
        epoch=grant.epoch,
        holder=HOLDER,
        inventory=tuple(grant.inventory),
        inventory_ms=wall_ms(),
        confirmed=path.state.applied,
        started=frozenset(),
        dispatching=frozenset(path.dispatching),
    )
    actions = reconcile_keys(owned, path.state.keys, wall_ms())
    return [action.record.status for action in actions if isinstance(action, Propose)]


async def test_charge_is_claimed_run_and_closed(path):
    """Guards against a dispatch before the claim, and a key that stays open."""
    reply = await execute(path)

    assert [type(record) for record in path.replica.records] == [KeyClaimed, KeyClosed]
    assert (reply.status, reply.answer, reply.handle) == (ReplyStatus.completed, 'done', KEY_ID)
    assert reply.token.offset == 2
    assert path.dispatching == set()


async def test_before_the_append_a_retry_starts_from_scratch(path):
    """Row 1: nothing is in the log."""
    path.replica.errors = [LogUnavailableError('down')]
    refused = await execute(path)
    retried = await execute(path, attempt=2)

    assert refused.status is ReplyStatus.not_run
    assert retried.status is ReplyStatus.completed
    assert path.starts() == [TASK_ID]


async def test_claim_in_doubt_dispatches_nothing_and_is_closed_later(path):
    """Row 2: the append's answer is lost, and the claim appears after its writer gave up."""
    path.replica.errors = [AppendOutcomeUnknownError('no answer')]
    refused = await execute(path)
    placement = path.dispatcher.place(charge())
    path.replica.put(claim_record(path.once, charge(), placement))

    assert refused.status is ReplyStatus.not_run
    assert path.starts() == []
    assert proposed_closings(path, path.own()) == [KeyStatus.not_run]


async def test_claim_that_lost_its_hold_is_closed_as_not_run(path):
    """Row 3: the worker was claimed anew between the claim of the key and the dispatch."""
    executing = asyncio.create_task(execute(path))
    await asyncio.sleep(0.005)
    path.own()
    reply = await executing

    assert (reply.status, reply.handle) == (ReplyStatus.not_run, KEY_ID)
    assert path.starts() == []
    assert path.replica.records[-1].reason.startswith(NOT_DISPATCHED_PREFIX)


async def test_next_owner_closes_a_key_that_its_inventory_lacks(path):
    """Row 3: the owner died after the claim; its dispatch cannot arrive under the new epoch."""
    placement = path.dispatcher.place(charge())
    path.replica.put(claim_record(path.once, charge(), placement))

    assert proposed_closings(path, path.own()) == [KeyStatus.not_run]


async def test_lost_answer_is_unknown_until_a_new_epoch_tells(path):
    """Row 4: the key is left to the inventory, but only once the old command cannot arrive."""
    path.worker.answers = False
    reply = await execute(path)
    grant = path.own()
    before = proposed_closings(path, grant)
    path.once.on_epoch_raised('w1')

    assert (reply.status, reply.handle) == (ReplyStatus.unknown, KEY_ID)
    assert path.doubts == ['w1']
    assert before == []
    assert proposed_closings(path, path.own()) == [KeyStatus.completed]


async def test_doubt_that_a_claim_has_resolved_already_is_not_kept(path):
    """Guards against invariant 9: the claim for another lost answer is granted just before.

    The key was left out of the reconciliation for good, and nobody closed it.
    """

    def claim_at_once(worker_id):
        path.own()
        path.once.on_epoch_raised(worker_id)

    path.dispatcher.runner.resolve_doubt = claim_at_once
    path.worker.answers = False
    reply = await execute(path)

    assert reply.status is ReplyStatus.unknown
    assert path.dispatching == set()
    assert proposed_closings(path, path.own()) == [KeyStatus.completed]


async def test_answer_that_never_left_is_not_run(path):
    """Row 3: the dispatch surely did not reach the worker."""
    path.worker.reachable = False
    reply = await execute(path)

    assert reply.status is ReplyStatus.not_run
    assert key_status(path) is KeyStatus.not_run
    assert path.dispatching == set()


async def test_restarted_worker_ends_the_key_as_unknown(path):
    """Row 5: nobody can know whether it ran, so it never runs again."""
    path.worker.answers = False
    await execute(path)
    path.worker.state.restart()
    grant = path.own()
    path.once.on_epoch_raised('w1')

    assert proposed_closings(path, grant) == [KeyStatus.unknown]


@pytest.mark.parametrize(
    ('attempt', 'status', 'code'),
    [
        (1, ReplyStatus.not_run, 'log_unavailable'),
        (2, ReplyStatus.unknown, EARLIER_ATTEMPT_UNKNOWN),
    ],
)
@pytest.mark.parametrize('error', [LogUnavailableError('down'), OverloadedError('full')])
async def test_without_the_log_nothing_runs(path, error, attempt, status, code):
    """Row 6: nothing can be claimed, and nothing can be closed either."""
    path.replica.errors = [error, LogUnavailableError('down')]
    reply = await execute(path, attempt=attempt)

    assert (reply.status, reply.code) == (status, code)
    assert path.starts() == []
    assert path.ledger.free_slots() == 4


async def test_refused_retry_is_made_definite(path):
    """Guards against `unknown` where the log can still say that nothing ran and nothing will."""
    path.services.limit = 0
    reply = await execute(path, attempt=2)
    path.services.limit = 10
    later = await execute(path, attempt=3)

    assert (reply.status, reply.handle) == (ReplyStatus.not_run, KEY_ID)
    assert later.status is ReplyStatus.not_run
    assert path.starts() == []


async def test_loser_of_a_claim_waits_for_the_winner(path):
    """Guards against a second dispatch of a key that another entry claimed first."""
    placement = path.dispatcher.place(charge(request_id='r2'))
    winner = claim_record(path.once, charge(), placement)
    executing = asyncio.create_task(execute(path))
    await asyncio.sleep(0.005)
    path.replica.put(winner)
    await asyncio.sleep(0.1)
    path.replica.put(closed(KeyStatus.completed, winner))
    reply = await executing

    assert (reply.status, reply.answer) == (ReplyStatus.completed, 'paid')
    assert path.starts() == []
    assert path.ledger.free_slots() == 3


async def test_retry_during_the_first_attempt_gets_its_answer(path):
    """Guards against two dispatches of one key by the same entry."""
    first, second = await asyncio.gather(execute(path), execute(path, attempt=2))

    assert first.status is ReplyStatus.completed
    assert second.status is ReplyStatus.completed
    assert path.starts() == [TASK_ID]


async def test_open_key_is_unknown_at_the_deadline(path):
    """Guards against `not_run` while another entry may run the key."""
    path.replica.put(claim_record(path.once, charge(), path.dispatcher.place(charge())))
    reply = await execute(path, deadline_ms=100)

    assert (reply.status, reply.code) == (ReplyStatus.unknown, 'key_claimed')
    assert reply.handle == KEY_ID
    assert path.once.waiters == {}


async def test_key_with_other_content_is_invalid(path):
    """Guards against the answer of another request under a reused key."""
    await execute(path)
    reply = await execute(path, payload='frame 8')

    assert (reply.status, reply.code) == (ReplyStatus.invalid, 'conflict')


async def test_answer_is_given_although_the_key_cannot_be_closed(path):
    """Guards against a caller that loses its answer when the log goes down after the run."""
    path.replica.errors = [None, LogUnavailableError('down')]
    reply = await execute(path)

    assert (reply.status, reply.answer, reply.token) == (ReplyStatus.completed, 'done', None)
    assert proposed_closings(path, path.own()) == [KeyStatus.completed]


async def test_failed_charge_is_closed_as_failed(path):
    """Guards against a second run of a charge that ran and failed."""
    path.worker.run_request = fail
    first = await execute(path)
    second = await execute(path, attempt=2)

    assert (first.status, first.answer) == (ReplyStatus.failed, 'card refused')
    assert (second.status, second.answer) == (ReplyStatus.failed, 'card refused')
    assert key_status(path) is KeyStatus.failed


async def fail(message):
    """Stand for a worker on which a request fails."""
    return RequestResult(TaskState.failed, 'card refused')


def closed(status, claim):
    """Return the closing record of a claim."""
    return KeyClosed(
        at_ms=1,
        key_id=claim.key_id,
        workspace=claim.workspace,
        key=claim.key,
        content_digest=claim.content_digest,
        status=status,
        answer='paid',
    )
