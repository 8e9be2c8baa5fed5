"""Tests of the retry budget, the service times and the limit on concurrent requests."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldlift.admission.connection_limit import ConnectionLimit
from marigoldlift.admission.retry_budget import RetryBudget
from marigoldlift.admission.service_times import HALF_LIFE, ServiceTimes
from marigoldlift.errors import OverloadedError

#: Service times in seconds, of which 8% are stragglers.
TIMES_S = (0.009, 0.01, 0.011) * 46 + (4,) * 12


@given(calls=st.lists(st.booleans(), max_size=300))
@settings(derandomize=True)
def test_retries_stay_within_ratio_and_burst(calls):
    """Guards against retries beyond the budget, which amplify an overload."""
    budget = RetryBudget(ratio=0.1, burst=3)
    requests = 0
    retries = 0
    for is_request in calls:
        if is_request:
            budget.on_request()
            requests += 1
        else:
            retries += budget.try_retry()

    assert retries <= 3 + requests * 0.1


def test_ten_requests_allow_one_retry():
    """Guards against rounding errors that deny an earned retry, and against unbounded saving of tokens."""
    budget = RetryBudget(ratio=0.1, burst=1)
    assert budget.try_retry()
    assert not budget.try_retry()
    for _ in range(10):
        budget.on_request()

    assert budget.try_retry()
    for _ in range(1000):
        budget.on_request()
    assert budget.try_retry()
    assert not budget.try_retry()


def test_median_is_not_moved_by_stragglers():
    """Guards against a median that a few stragglers raise, so that all requests seem slow."""
    times = ServiceTimes()
    rng = random.Random(7)
    for _ in range(5000):
        times.observe('fit', rng.choice(TIMES_S))
    estimate = times.estimate('fit')

    assert estimate.median_s == pytest.approx(0.01, rel=0.1)
    assert estimate.tail_s == pytest.approx(4, rel=0.1)
    assert estimate.mean_s == pytest.approx(0.08 * 4, rel=0.4)


def test_estimate_follows_a_change():
    """Guards against refusals based on outdated service times after a service has become faster."""
    times = ServiceTimes()
    for _ in range(5000):
        times.observe('fit', 10)
    for _ in range(HALF_LIFE * 3):
        times.observe('fit', 0.01)

    assert times.estimate('fit').median_s == pytest.approx(0.01, rel=0.1)


def test_first_observations_update_the_estimate():
    """Guards against an estimate that stays unavailable until many requests have completed."""
    times = ServiceTimes()
    assert times.estimate('fit').count == 0
    for seconds in (0, 1e9):
        times.observe('fit', seconds)

    estimate = times.estimate('fit')
    assert estimate.count == 2
    assert estimate.median_s == pytest.approx(0.0001, rel=0.1)
    assert estimate.tail_s > 3600


def test_number_of_names_is_bounded():
    """Guards against memory growth with the number of names, and against eviction of a name in use."""
    times = ServiceTimes(capacity=3)
    for number in range(50):
        times.observe('busy', 1)
        times.observe(str(number), 1)

    assert len(times.histograms) == 3
    assert times.histograms['busy'].count == 50
    assert times.estimate('0').count == 0


def test_concurrency_is_bounded_with_a_reserve():
    """Guards against callers that use up the reserve of operators, and against requests counted after their end."""
    limit = ConnectionLimit(limit=2, reserve=1)
    with pytest.raises(KeyError), limit.admit():
        with pytest.raises(OverloadedError), limit.admit():
            pytest.fail('a caller took the reserve')
        with limit.admit(operator=True):
            assert limit.active == 2
            with pytest.raises(OverloadedError), limit.admit(operator=True):
                pytest.fail('an operator went over the limit')
        raise KeyError

    assert (limit.active, limit.refused) == (0, 2)
