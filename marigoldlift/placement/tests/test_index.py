"""Tests of the selection of workers, also against a linear scan."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldlift.placement import index as index_module
from marigoldlift.placement.index import CapacityIndex, Demand
from marigoldlift.placement.worker_view import WorkerView
from marigoldlift.resources import Resources

BIG = Resources(cpu_milli=8000, memory_mb=8192, accelerators=2, slots=8)
CORE = Resources(cpu_milli=1000, memory_mb=1024)
SLOT = Resources(slots=1)


def view(name, free=BIG, rack='r1', **fields):
    return WorkerView(name, rack, fields.pop('labels', {}), BIG, free, **fields)


@pytest.fixture
def index():
    """Return an empty index."""
    return CapacityIndex()


def test_request_prefers_slots_then_time(index):
    """Guards against requests that queue on a busy or slow worker while another is free."""
    index.update(view('busy', Resources(slots=2), observed_ms=1))
    index.update(view('slow', Resources(slots=3), observed_ms=9))
    index.update(view('fast', Resources(slots=3), observed_ms=5))

    assert index.choose_for_request(SLOT) == 'fast'
    index.update(view('fast', Resources(slots=0), observed_ms=5))
    assert index.choose_for_request(SLOT) == 'slow'
    index.update(view('slow', Resources(slots=3), in_rotation=False))
    assert index.choose_for_request(SLOT) == 'busy'
    index.remove('busy')
    assert index.choose_for_request(SLOT) is None


def test_selectors_follow_label_changes(index, monkeypatch):
    """Guards against a worker selected by labels that it no longer has."""
    monkeypatch.setattr(index_module, 'MAX_SHARDS', 1)
    index.update(view('w1', labels={'disk': 'ssd'}))
    for rack, disk, expected in (('r1', 'ssd', 'w1'), ('r2', 'ssd', None), ('r1', 'hdd', None)):
        assert index.choose_for_request(SLOT, {'rack': rack, 'disk': disk}) == expected
    index.update(view('w1', labels={'disk': 'hdd'}))

    assert len(index.shards) == 1
    assert index.choose_for_request(SLOT, {'disk': 'ssd'}) is None
    assert index.choose_for_request(SLOT, {'disk': 'hdd'}) == 'w1'


def test_tasks_go_where_they_fit_best(index):
    """Guards against small tasks that fragment large workers or occupy accelerators."""
    index.update(view('large'))
    index.update(view('small', Resources(cpu_milli=1500, memory_mb=2048)))
    index.update(view('gpu', Resources(cpu_milli=1000, memory_mb=1024, accelerators=1)))

    assert index.place(Demand(CORE, 2)) == ['small', 'gpu']
    assert index.place(Demand(CORE, 99)).count('large') == 8


def test_spread_counts_tasks_placed_before(index):
    """Guards against a rack failure that hits more tasks of a job than allowed.

    Tasks placed in the rack before count towards the limit.
    """
    for name, rack in (('a', 'r1'), ('b', 'r1'), ('c', 'r2')):
        index.update(view(name, rack=rack))

    demand = Demand(CORE, 9, spread=2, rack_use={'r2': 1})
    assert index.place(demand) == ['a', 'a', 'c']


def test_infeasible_work_is_explained(index):
    """Guards against a job that waits forever without an explanation."""
    assert index.infeasible_reason(CORE, {}) == 'no worker is known'
    index.update(view('w1', free=Resources()))
    index.update(view('w2', labels={'disk': 'ssd'}))
    huge = Resources(memory_mb=8193)

    assert index.feasible(CORE, {})
    assert index.infeasible_reason(CORE, {}) == ''
    assert not index.feasible(huge, {'disk': 'ssd'})
    assert index.infeasible_reason(huge, {'disk': 'ssd'}) == (
        'of 2 workers: label disk=ssd rules out 1, memory_mb 8193 rules out 1'
    )


AMOUNTS = st.builds(
    Resources,
    cpu_milli=st.integers(0, 2000),
    memory_mb=st.integers(0, 2000),
    accelerators=st.integers(0, 2),
    slots=st.integers(0, 3),
)
VIEWS = st.builds(
    view,
    st.sampled_from([f'w{number}' for number in range(9)]),
    AMOUNTS,
    st.sampled_from(['r1', 'r2']),
    observed_ms=st.integers(0, 3),
    in_rotation=st.sampled_from([True, True, False]),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    updates=st.lists(VIEWS, max_size=30),
    need=AMOUNTS,
    selector=st.sampled_from([{}, {'rack': 'r1'}]),
    count=st.integers(1, 20),
    spread=st.integers(0, 4),
)
def test_choices_equal_those_of_a_linear_scan(updates, need, selector, count, spread):
    """Guards against a search that skips a worker that fits, and against overallocation."""
    index = CapacityIndex()
    index.choose_for_request(need, selector)
    for update in updates:
        index.update(update)
    usable = [
        worker
        for worker in {newest.worker_id: newest for newest in updates}.values()
        if worker.in_rotation and selector.get('rack', worker.rack) == worker.rack
    ]
    fitting = [worker for worker in usable if need.fits_into(worker.free)]
    best = min(
        fitting,
        key=lambda worker: (-worker.free.slots, worker.observed_ms, worker.worker_id),
        default=None,
    )
    assert index.choose_for_request(need, selector) == (best and best.worker_id)

    chosen = index.place(Demand(need, count, selector, spread))
    remaining = {worker.worker_id: worker for worker in usable}
    used = {'r1': 0, 'r2': 0}
    for worker_id in chosen:
        target = remaining[worker_id]
        assert need.fits_into(target.free)
        remaining[worker_id] = msgspec.structs.replace(target, free=target.free - need)
        used[target.rack] += 1
    assert not spread or max(used.values()) <= spread
    if len(chosen) < count:
        open_racks = [rack for rack, tasks in used.items() if not spread or tasks < spread]
        unfilled = [worker for worker in remaining.values() if worker.rack in open_racks]
        assert not any(need.fits_into(worker.free) for worker in unfilled)
