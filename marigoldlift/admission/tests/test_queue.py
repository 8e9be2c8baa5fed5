"""Tests of the request queue by examples."""

import pytest

from marigoldlift.errors import ConflictError, OverloadedError


@pytest.fixture
def queue(make_queue, services):
    """Return a queue with a capacity of ten requests."""
    return make_queue(services, total=10)


def test_service_without_slot_blocks_no_other(queue, services, make_item):
    """Guards against head-of-line blocking within and between workspaces."""
    blocked_items = [make_item('a', 1, 'batch'), make_item('b', 1, 'batch')]
    free = make_item('a', 9, 'fit')
    for item in (*blocked_items, free):
        queue.offer(item, 0)
    services.blocked.add('batch')

    assert queue.take(0) is free
    assert queue.take(0) is None
    services.blocked.clear()
    # Workspace a has used up its turn for the service that was not blocked.
    assert queue.take(0) is blocked_items[1]
    assert queue.take(0) is blocked_items[0]


def test_expired_request_is_never_taken(queue, make_item):
    """Guards against running a request whose caller has already received `not_run`."""
    late = make_item(deadline_s=1)
    queue.offer(late, 0)

    assert queue.take(1) is None
    assert queue.expire(1) == [late]
    assert queue.expire(1) == []


def test_expired_requests_count_until_fetched(queue, services, make_item):
    """Guards against unbounded memory growth when `expire` is not called."""
    for _ in range(5):
        queue.offer(make_item(deadline_s=1), 0)
    assert queue.take(2) is None
    for _ in range(3):
        queue.offer(make_item(deadline_s=9), 2)

    with pytest.raises(OverloadedError):
        queue.offer(make_item(deadline_s=9), 2)


def test_cancelled_request_frees_its_place(queue, services, make_item):
    """Guards against running a queued or expired request whose caller has disconnected."""
    services.limit = 1
    removed = make_item()
    queue.offer(removed, 0)

    assert queue.remove(removed)
    assert not queue.remove(removed)
    queue.offer(make_item(), 0)
    assert not queue.remove(queue.take(0))
    expired = make_item(deadline_s=1)
    queue.offer(expired, 0)
    assert queue.take(1) is None
    assert queue.remove(expired)
    assert queue.expire(1) == []


def test_limit_of_service_is_per_workspace(queue, services, make_item):
    """Guards against a workspace that uses up the queue limit of another workspace."""
    services.limit = 1
    queue.offer(make_item('a'), 0)
    queue.offer(make_item('b'), 0)
    queue.offer(make_item('a', service='clear'), 0)

    with pytest.raises(OverloadedError):
        queue.offer(make_item('a'), 0)
    assert len(queue) == 3


def test_one_workspace_leaves_capacity_for_others(queue, make_item):
    """Guards against a flood of requests from one workspace that fills the queue, so that all others are refused."""
    with pytest.raises(OverloadedError):
        for number in range(11):
            queue.offer(make_item('flood', service=str(number)), 0)

    queue.offer(make_item('calm'), 0)
    assert queue.workspaces['flood'].waiting == 5


def test_unreachable_deadline_is_refused_on_offer(queue, services, make_item):
    """Guards against queueing requests that cannot meet their deadline, and refusing ones that can."""
    services.observe(slots=2, seconds=1)
    for _ in range(2):
        queue.offer(make_item(deadline_s=50), 0)

    # Two or three requests ahead on two slots: one round of 1 s, then 1 s for the request itself.
    queue.offer(make_item(deadline_s=50.5), 48.4)
    with pytest.raises(OverloadedError, match='needs about 2.000 s'):
        queue.offer(make_item(deadline_s=50.5), 48.6)


def test_urgent_request_is_not_refused_by_length(queue, services, make_item):
    """Guards against refusal by queue length, or by a wrong estimate, when no request is ahead."""
    for _ in range(4):
        queue.offer(make_item(deadline_s=50), 0)
    services.observe(slots=1, seconds=1000)
    urgent = make_item(deadline_s=1.5)
    queue.offer(urgent, 0)

    assert queue.take(0) is urgent


def test_turns_of_other_workspaces_count_as_ahead(make_queue, services, make_item):
    """Guards against an estimate that omits the turns of other workspaces, or counts removed requests."""
    queue = make_queue(services)
    removed = [make_item('b') for _ in range(3)]
    for item in (*removed, *(make_item('c') for _ in range(3)), make_item(), make_item()):
        queue.offer(item, 0)
    services.observe(slots=1, seconds=1)

    # Two requests of the same workspace and two turns of each other one, then 1 s for the request itself.
    with pytest.raises(OverloadedError, match='needs about 7.000 s'):
        queue.offer(make_item(), 94)
    for item in removed:
        queue.remove(item)
    with pytest.raises(OverloadedError, match='needs about 5.000 s'):
        queue.offer(make_item(), 96)


def test_wrong_estimate_does_not_refuse_forever(queue, services, make_item):
    """Guards against refusing all requests of a service by an estimate that none of them can correct."""
    services.observe(slots=1, seconds=1000)
    queue.offer(make_item(deadline_s=5), 0)

    assert queue.take(0)
    queue.offer(make_item(deadline_s=5), 0)


def test_late_and_repeated_offers_are_refused(queue, make_item):
    """Guards against a request that is dispatched twice or after its deadline."""
    item = make_item(deadline_s=5)
    queue.offer(item, 0)

    with pytest.raises(ConflictError):
        queue.offer(item, 0)
    with pytest.raises(OverloadedError):
        queue.offer(make_item(deadline_s=5), 5)


def test_oldest_wait_is_by_arrival(queue, make_item):
    """Guards against a queueing delay that is hidden by a newer request with an earlier deadline."""
    queue.offer(make_item(deadline_s=90), 0)
    queue.offer(make_item(deadline_s=50), 7)

    assert queue.oldest_wait_s(10) == 10
    queue.expire(1000)
    assert queue.oldest_wait_s(1000) == 0


def test_changed_weight_applies_from_next_turn(make_queue, make_item):
    """Guards against a changed weight that never takes effect while the workspace has waiting requests."""
    weights = {'a': 1}
    queue = make_queue(weights=weights)
    for _ in range(20):
        queue.offer(make_item('a'), 0)
        queue.offer(make_item('b'), 0)
    weights['a'] = 4
    order = ''.join(queue.take(0).workspace for _ in range(10))

    assert order == 'abaaaabaaa'
    assert queue.services['fit'].weight == 5
