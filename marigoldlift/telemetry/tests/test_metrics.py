"""Tests of the metrics and their text exposition format."""

import re

import pytest

from marigoldlift.telemetry.metric_table import Metric, MetricKind, full_name
from marigoldlift.telemetry.metrics import MAX_SERIES, OTHER, Metrics

LINE = re.compile(r'[a-z_]+(\{[a-z]+="([^"\\\n]|\\.)*"(,[a-z]+="([^"\\\n]|\\.)*")*\})? [-0-9.e+]+')


@pytest.fixture
def metrics():
    """Return an empty registry."""
    return Metrics()


def test_names_follow_one_scheme():
    """Guards against two metrics with one exposed name, and names that scrapers reject."""
    names = [full_name(metric) for metric in Metric]

    assert len(set(names)) == len(names)
    assert len(Metric.__members__) == len(list(Metric))
    for metric in Metric:
        assert re.fullmatch('[a-z_]+', full_name(metric))
        assert metric.value.help.endswith('.')


def test_text_exposition_format(metrics):
    """Guards against lines that a scraper rejects, such as those with unescaped label values."""
    metrics.add(Metric.requests, workspace='a"\n\\', status='completed')
    metrics.set(Metric.queue_length, 3)
    metrics.observe(Metric.request, 0.25, service='fit')
    text = metrics.render()

    assert 'marigoldlift_queue_length 3\n' in text
    assert r'{workspace="a\"\n\\",status="completed"} 1' in text
    assert 'marigoldlift_request_seconds_count{service="fit"} 1\n' in text
    for line in text.splitlines():
        assert line.startswith('# ') or LINE.fullmatch(line), line


def test_quantiles_within_two_digits(metrics):
    """Guards against quantiles with an error above the resolution of two significant digits."""
    for millisecond in range(1, 1001):
        metrics.observe(Metric.request, millisecond / 1000, service='fit')

    quantiles = metrics.latencies[Metric.request]['fit',].quantiles()
    assert quantiles == pytest.approx({'0.5': 0.5, '0.9': 0.9, '0.99': 0.99}, rel=0.01)


def test_out_of_range_times_are_counted(metrics):
    """Guards against uncounted stragglers: the histogram drops values above its range."""
    for seconds in (-1, 0, 1e9):
        metrics.observe(Metric.request, seconds, service='fit')

    latency = metrics.latencies[Metric.request]['fit',]
    assert latency.count == latency.current.total_count == 3
    assert latency.quantiles()['0.99'] > 594


def test_quantiles_cover_recent_windows_only(metrics):
    """Guards against a slow minute that is averaged out by a day of fast answers."""
    for _ in range(100):
        metrics.observe(Metric.request, 0.001, service='fit')
    metrics.rotate()
    metrics.observe(Metric.request, 9, service='fit')
    latency = metrics.latencies[Metric.request]['fit',]

    assert latency.quantiles()['0.5'] == pytest.approx(0.001, rel=0.02)
    metrics.rotate()
    assert latency.quantiles()['0.5'] > 8
    metrics.rotate()
    assert not latency.quantiles()
    assert latency.count == 101


@pytest.mark.parametrize('kind', MetricKind)
def test_series_are_bounded(metrics, kind):
    """Guards against memory that grows with the number of label values supplied by callers."""
    metric = {
        MetricKind.counter: Metric.worker_errors,
        MetricKind.gauge: Metric.tasks,
        MetricKind.summary: Metric.peer_call,
    }[kind]
    record = metrics.observe if kind is MetricKind.summary else metrics.add
    label = metric.value.labels[0]
    for number in range(MAX_SERIES[kind] * 2):
        record(metric, 1, **{label: str(number)})

    series = metrics.store_of(metric)[metric]
    assert len(series) == MAX_SERIES[kind] + 1
    overflow = series[OTHER,]
    assert getattr(overflow, 'count', overflow) == MAX_SERIES[kind]


def test_wrong_labels_are_refused(metrics):
    """Guards against a series with missing, extra or unknown label names."""
    for labels in ({}, {'workspace': 'a'}, {'workspace': 'a', 'state': 'b'}):
        with pytest.raises(TypeError):
            metrics.add(Metric.requests, **labels)
