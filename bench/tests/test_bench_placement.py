"""Tests of the placement benchmark and its baseline, and of the discovery of benchmarks."""

from random import Random

from bench import bench_placement
from bench.__main__ import discover_benchmarks
from bench.placement_baseline import LinearScan
from bench.placement_cell import TASK_SIZES, random_cell
from marigoldlift.placement.index import CapacityIndex


def test_index_and_scan_choose_same_worker():
    """Guards against a baseline that chooses other workers than the index, so that times don't compare."""
    index, scan = CapacityIndex(), LinearScan()
    for view in random_cell(Random(1), 60, 400):
        index.update(view)
        scan.update(view)

    for need in TASK_SIZES:
        for selector in bench_placement.SELECTORS:
            expected = scan.choose_for_request(need, selector)
            assert index.choose_for_request(need, selector) == expected


def test_benchmarks_are_discovered_and_run(monkeypatch):
    """Guards against a benchmark that is not discovered, or that no longer runs or lacks rows."""
    monkeypatch.setattr(bench_placement, 'WORKER_COUNTS', (20,))
    monkeypatch.setattr(bench_placement, 'DECISIONS', 20)
    monkeypatch.setattr(bench_placement, 'SCAN_DECISIONS', 20)
    monkeypatch.setattr(bench_placement, 'TASK_COUNTS', (20,))

    assert len(discover_benchmarks()['placement'](1)) == 7
