"""Metrics in bounded memory, rendered in the Prometheus text exposition format."""

from collections.abc import Iterator
from types import MappingProxyType

from hdrh.histogram import HdrHistogram

from marigoldlift.telemetry.metric_table import Metric, MetricKind, full_name

__all__ = ('OTHER', 'Latency', 'Metrics')

#: Range of the latency histograms in microseconds; values outside are clamped to it.
LOWEST_US = 16
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2

#: Bytes per histogram counter; a counter overflows after 4 billion records in one window.
COUNT_BYTES = 4

US_PER_S = 1_000_000

#: Rendered quantiles: label value and the corresponding percentile of the histogram.
QUANTILES = (('0.5', 50), ('0.9', 90), ('0.99', 99))
PERCENTILES = tuple(percentile for _, percentile in QUANTILES)

#: Maximum series (label combinations) of one metric. A series of a summary takes 23 KB, one of a
#: counter or gauge some hundred bytes.
MAX_SERIES = MappingProxyType(
    {
        MetricKind.counter: 128,
        MetricKind.gauge: 64,
        MetricKind.summary: 16,
    }
)

#: Value of every label of the series that counts label combinations beyond `MAX_SERIES`.
OTHER = 'other'

ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

Labels = tuple[str, ...]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with the range of all latencies."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES)


class Latency:
    """Latency summary: count and sum since the start, quantiles of the last one to two windows.

    Quantiles since the start would hide a slow minute after a day of fast requests.
    """

    __slots__ = ('count', 'current', 'previous', 'total_s')

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0
        self.total_s = float(0)
        self.current = new_histogram()
        self.previous: HdrHistogram | None = None

    def observe(self, seconds: float) -> None:
        """Record a duration; a negative one counts as zero."""
        counted_s = max(seconds, 0)
        self.count += 1
        self.total_s += counted_s
        self.current.record_value(min(int(counted_s * US_PER_S), HIGHEST_US))

    def rotate(self) -> None:
        """Begin the next window."""
        self.previous = self.current if self.current.total_count else None
        self.current = new_histogram()

    def quantiles(self) -> dict[str, float]:
        """Return the quantiles in seconds by label value; empty if the windows have no records."""
        merged = self.current
        if self.previous:
            merged = new_histogram()
            merged.add(self.current)
            merged.add(self.previous)
        if not merged.total_count:
            return {}
        values_us = merged.get_percentile_to_value_dict(PERCENTILES)
        return {quantile: values_us[percentile] / US_PER_S for quantile, percentile in QUANTILES}


class Metrics:
    """Registry of all metrics of `metric_table`."""

    def __init__(self) -> None:
        """Start without any series."""
        self.numbers: dict[Metric, dict[Labels, float]] = {}
        self.latencies: dict[Metric, dict[Labels, Latency]] = {}
        for metric in Metric:
            series_of_kind = self.store_of(metric)
            series_of_kind[metric] = {}

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter, or change a gauge by an amount."""
        series = self.numbers[metric]
        key = bounded_key(metric, series, labels)
        series[key] = series.get(key, 0) + amount

    def set(self, metric: Metric, amount: float, **labels: str) -> None:
        """Set a gauge, or a counter that is counted elsewhere."""
        series = self.numbers[metric]
        series[bounded_key(metric, series, labels)] = amount

    def observe(self, metric: Metric, seconds: float, **labels: str) -> None:
        """Record a duration in a summary."""
        series = self.latencies[metric]
        key = bounded_key(metric, series, labels)
        latency = series.get(key)
        if latency is None:
            latency = Latency()
            series[key] = latency
        latency.observe(seconds)

    def number(self, metric: Metric, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 when never set."""
        return self.numbers[metric].get(key_of(metric, labels), 0)

    def rotate(self) -> None:
        """Begin the next window of all summaries; to be called once a minute."""
        for series in self.latencies.values():
            for latency in series.values():
                latency.rotate()

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        lines: list[str] = []
        for metric in Metric:
            lines.extend(self.lines_of(metric))
        return '\n'.join((*lines, ''))

    def lines_of(self, metric: Metric) -> Iterator[str]:
        """Yield the lines of one metric; nothing when it has no series."""
        numbers = self.numbers.get(metric, {})
        latencies = self.latencies.get(metric, {})
        name = full_name(metric)
        spec = metric.value
        if numbers or latencies:
            yield f'# HELP {name} {spec.help}'
            yield ' '.join(('# TYPE', name, spec.kind.value))
        for key, number in numbers.items():
            labels = label_text(metric, key)
            yield f'{name}{labels} {number}'
        for key, latency in latencies.items():
            yield from latency_lines(metric, key, latency)

    def store_of(self, metric: Metric) -> dict[Metric, dict]:
        """Return the mapping that holds the series of metrics of this kind."""
        is_summary = metric.value.kind is MetricKind.summary
        return self.latencies if is_summary else self.numbers  # type: ignore[return-value]


def key_of(metric: Metric, labels: dict[str, str]) -> Labels:
    """Return the label values in the order of `metric_table`.

    Raises:
        TypeError: the label names differ from those of `metric_table`.
    """
    names = metric.value.labels
    if len(labels) != len(names):
        raise TypeError(f'metric {metric.name!r} requires the labels {names}')
    try:
        return tuple(labels[name] for name in names)
    except KeyError:
        raise TypeError(f'metric {metric.name!r} requires the labels {names}') from None


def bounded_key(metric: Metric, series: dict, labels: dict[str, str]) -> Labels:
    """Return the label values, or those of the `other` series when `MAX_SERIES` is reached."""
    key = key_of(metric, labels)
    if key in series or len(series) < MAX_SERIES[metric.value.kind]:
        return key
    return (OTHER,) * len(key)


def label_text(metric: Metric, key: Labels, **extra: str) -> str:
    """Return the labels in braces, or an empty string when there are none."""
    named = (*zip(metric.value.labels, key, strict=True), *extra.items())
    pairs = ['{0}="{1}"'.format(name, text.translate(ESCAPES)) for name, text in named]
    return '{%s}' % ','.join(pairs) if pairs else ''


def latency_lines(metric: Metric, key: Labels, latency: Latency) -> Iterator[str]:
    """Yield the lines of one summary."""
    name = full_name(metric)
    plain_labels = label_text(metric, key)
    for quantile, seconds in latency.quantiles().items():
        labels = label_text(metric, key, quantile=quantile)
        yield f'{name}{labels} {seconds}'
    yield ' '.join((f'{name}_sum{plain_labels}', str(latency.total_s)))
    yield ' '.join((f'{name}_count{plain_labels}', str(latency.count)))
