"""Arithmetic of resources."""

import pytest

from marigoldlift.resources import Resources


def test_sum_and_difference_cancel_out():
    """Guards against a dimension that is added but not subtracted."""
    need = Resources(cpu_milli=1, memory_mb=2, accelerators=3, slots=4)
    total = Resources(cpu_milli=10, memory_mb=20, accelerators=30, slots=40)

    assert total + need - need == total


@pytest.mark.parametrize('dimension', ['cpu_milli', 'memory_mb', 'accelerators', 'slots'])
def test_fits_into_checks_each_dimension(dimension):
    """Guards against over-allocation in a dimension that the check omits."""
    free = Resources(cpu_milli=5, memory_mb=5, accelerators=5, slots=5)

    assert Resources(**{dimension: 5}).fits_into(free)
    assert not Resources(**{dimension: 6}).fits_into(free)
