"""Property-based tests of the request queue over random histories."""

from itertools import accumulate, combinations
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldlift.errors import OverloadedError

TOTAL = 12
WEIGHTS = MappingProxyType({'a': 1, 'b': 2, 'c': 5})
BACKLOG = 60
NAMES = st.sampled_from('abc')
SERVICES = st.sampled_from(['fit', 'clear', 'batch'])

STEPS = st.one_of(
    st.tuples(st.just('offer'), NAMES, SERVICES, st.integers(1, 30)),
    st.tuples(st.just('take'), st.sets(SERVICES)),
    st.tuples(st.just('remove'), st.integers(0, 99)),
    st.tuples(st.just('expire')),
    st.tuples(st.just('wait'), st.integers(1, 9)),
)


class History:
    """Applies steps to the queue and to a list, the model of its expected content."""

    def __init__(self, queue, services, make_item):
        """Start at time 0 with no waiting requests."""
        self.queue = queue
        self.services = services
        self.make_item = make_item
        self.now_s = 0
        self.waiting = []

    def offer(self, workspace, service, left_s):
        """Offer a request; it must be accepted unless a bound is reached."""
        item = self.make_item(workspace, self.now_s + left_s, service)
        live = [other for other in self.waiting if other.deadline_s > self.now_s]
        own = [other for other in live if other.workspace == workspace]
        lane = [other for other in own if other.service == service]
        free = TOTAL - len(self.waiting)
        allowed = len(lane) < self.services.limit and len(own) < free * WEIGHTS[workspace]
        try:
            self.queue.offer(item, self.now_s)
        except OverloadedError:
            assert not allowed
            return
        assert allowed
        self.waiting.append(item)

    def take(self, blocked):
        """Take a request; it must have the earliest deadline of the ready requests of its workspace."""
        self.services.blocked = blocked
        ready = [
            item
            for item in self.waiting
            if item.deadline_s > self.now_s and item.service not in blocked
        ]
        taken = self.queue.take(self.now_s)
        assert (taken is None) == (not ready)
        if taken is not None:
            assert taken in ready
            own = [item for item in ready if item.workspace == taken.workspace]
            assert taken is min(own, key=lambda item: item.deadline_s)
            self.waiting.remove(taken)

    def remove(self, number):
        """Remove one of the waiting requests."""
        if self.waiting:
            item = self.waiting.pop(number % len(self.waiting))
            assert self.queue.remove(item)
            assert not self.queue.remove(item)

    def expire(self):
        """Fetch the expired requests; exactly the requests past their deadline must be returned."""
        due = [item for item in self.waiting if item.deadline_s <= self.now_s]
        expired = self.queue.expire(self.now_s)
        assert sorted(map(id, expired)) == sorted(map(id, due))
        self.waiting = [item for item in self.waiting if item not in due]

    def wait(self, seconds):
        """Advance the clock."""
        self.now_s += seconds


@given(steps=st.lists(STEPS, max_size=60))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_nothing_is_lost_or_given_out_twice(make_queue, make_services, make_item, steps):
    """Guards against lost, duplicated, late or misordered requests, and against exceeded bounds."""
    services = make_services(limit=4)
    queue = make_queue(services, TOTAL, WEIGHTS)
    history = History(queue, services, make_item)
    for name, *arguments in steps:
        getattr(history, name)(*arguments)
        assert len(queue) + len(queue.expired) == len(history.waiting)
        assert len(history.waiting) <= TOTAL
    for item in tuple(history.waiting):
        assert queue.remove(item)
    assert not (queue.entries or queue.by_deadline or queue.workspaces or queue.services)


@given(
    deadlines=st.lists(st.integers(1, 99), min_size=BACKLOG, max_size=BACKLOG),
    split=st.lists(SERVICES, min_size=BACKLOG, max_size=BACKLOG),
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_share_is_within_one_quantum(make_queue, make_services, make_item, deadlines, split):
    """Guards against a workspace served more or less than its weight while all have waiting requests."""
    services = make_services()
    queue = make_queue(services, BACKLOG * 9, WEIGHTS)
    for deadline_s, service in zip(deadlines, split, strict=True):
        for workspace in WEIGHTS:
            queue.offer(make_item(workspace, deadline_s, service), 0)
    order = []
    while len(queue.workspaces) == len(WEIGHTS):
        order.append(queue.take(0).workspace)
    # The last request taken may have left its workspace without waiting requests.
    order.pop()
    assert_shares(order)


def assert_shares(order):
    """Check that each workspace gets its share, within its weight, in every interval of an order."""
    for name, weight in WEIGHTS.items():
        share = weight / sum(WEIGHTS.values())
        # How far the workspace is ahead of its share after each request.
        lead = [0, *accumulate((taken == name) - share for taken in order)]
        for before, after in combinations(lead, 2):
            assert abs(after - before) <= weight
