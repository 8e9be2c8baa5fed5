"""Property search over interleavings of work and faults."""

import os

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from tests.model.cell import run_steps
from tests.model.plans import plans

CI_EXAMPLES = 40

#: The long search takes its number of examples and its seed from the environment.
FUZZ_EXAMPLES = int(os.environ.get('MARIGOLDLIFT_FUZZ_EXAMPLES', '1000'))
FUZZ_SEED = int(os.environ.get('MARIGOLDLIFT_FUZZ_SEED', '1'))

PROFILE = settings(
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=tuple(HealthCheck),
)


@settings(PROFILE, max_examples=CI_EXAMPLES, derandomize=True)
@given(plans, st.integers(0, 3))
def test_invariants_hold_in_a_small_search(planned, rng):
    """Guards against errors in the interaction of entries that a few dozen runs show."""
    run_steps(planned, rng)


@pytest.mark.fuzz
@seed(FUZZ_SEED)
@settings(PROFILE, max_examples=FUZZ_EXAMPLES)
@given(plans, st.integers(0, 1000))
def test_invariants_hold_in_a_long_search(planned, rng):
    """Guards against errors that only rare interleavings show; run by `make fuzz` only."""
    run_steps(planned, rng)
