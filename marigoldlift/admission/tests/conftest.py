"""Shared fixtures of the admission tests."""

import pytest

from marigoldlift.admission.messages import (
    NO_OBSERVATION,
    QueuedRequest,
    QueueLimits,
    ServiceTime,
)
from marigoldlift.admission.queue import RequestQueue
from marigoldlift.ids import WorkspaceId


class FakeServices:
    """A `ServiceView` whose values are set by the test."""

    def __init__(self, limit=1000):
        """Start with no service blocked and no service times."""
        self.blocked = set()
        self.slot_count = 0
        self.limit = limit
        self.time = NO_OBSERVATION

    def has_free_slot(self, service):
        """Return False for the services that the test blocks."""
        return service not in self.blocked

    def slots(self, service):
        """Return the same number for each service."""
        return self.slot_count

    def queue_limit(self, service):
        """Return the same limit for each service."""
        return self.limit

    def service_time(self, service):
        """Return the same time for each service."""
        return self.time

    def observe(self, slots, seconds):
        """Set slots and service time."""
        self.slot_count = slots
        self.time = ServiceTime(mean_s=seconds, median_s=seconds, tail_s=seconds, count=1)


@pytest.fixture(scope='session')
def make_services():
    """Return a factory of service views."""
    return FakeServices


@pytest.fixture
def services(make_services):
    """Return the service view that the queue reads."""
    return make_services()


@pytest.fixture(scope='session')
def make_queue():
    """Return a factory of queues; each example of a property-based test needs its own queue."""

    def make(services=None, total=1000, weights=None):
        weight_by_name = weights or {}
        return RequestQueue(
            QueueLimits(total=total),
            services or FakeServices(),
            lambda workspace: weight_by_name.get(workspace, 1),
        )

    return make


@pytest.fixture(scope='session')
def make_item():
    """Return a factory of requests."""

    def make(workspace='a', deadline_s=100, service='fit'):
        return QueuedRequest('r', WorkspaceId(workspace), service, deadline_s)

    return make
