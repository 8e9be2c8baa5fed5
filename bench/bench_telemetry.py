"""Cost of spans, metrics and log lines, and resident memory of the imports."""

import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import redirect_stderr
from functools import partial

from loguru import logger

from marigoldlift.ids import Incarnation, VmId
from marigoldlift.telemetry.logs import JsonSink, exception_only
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import MAX_SERIES, Metrics
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import MS_PER_S

__all__ = ('run',)

US_PER_S = 1_000_000
KB_PER_MB = 1024
CALLS = 5_000
REPEATS = 5

#: Spans that the tracing buffer holds.
CAPACITY = 2048
RENDERS = 3

#: `traceparent` headers of a sampled and of an unsampled parent span.
SAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'

#: Modules imported one after the other in a new interpreter.
IMPORTS = (
    'asyncio',
    'aiohttp.web',
    'grpclib.client',
    'opentelemetry.sdk.trace',
    'loguru',
    'hdrh.histogram',
    'msgspec',
)

#: Prints the resident memory in kB before and after each import.
IMPORT_SCRIPT = """
import importlib, sys

def resident_kb():
    with open('/proc/self/status') as status:
        return next(line.split()[1] for line in status if line.startswith('VmRSS'))

print('interpreter', resident_kb())
for name in sys.argv[1:]:
    importlib.import_module(name)
    print(name, resident_kb())
"""


def cost_us(call: Callable[[], object]) -> float:
    """Return the time of a call in microseconds, the median of `REPEATS` repetitions."""
    costs = []
    for _ in range(REPEATS):
        begin_s = time.perf_counter()
        for _ in range(CALLS):
            call()
        costs.append((time.perf_counter() - begin_s) / CALLS * US_PER_S)
    return statistics.median(costs)


def span_rows() -> Iterator[str]:
    """Yield the cost of a span: as root or as child, sampled or not."""
    cases = (
        ('root, not sampled', 0, ''),
        ('child, not sampled', 0, UNSAMPLED),
        ('root, sampled', 1, ''),
        ('child, sampled', 0, SAMPLED),
    )
    for title, ratio, parent in cases:
        tracing = Tracing(VmId('vm-1'), CAPACITY, ratio)
        cost = cost_us(partial(record_forward_span, tracing, parent))
        yield f'span, {title}: {cost:.2f} us'


def record_forward_span(tracing: Tracing, parent: str) -> str:
    """Record a span as the forwarding of a request does, and return its `traceparent`."""
    with tracing.span('forward', parent, peer='vm-2') as span:
        return span.traceparent


def metric_rows(seed: int) -> Iterator[str]:
    """Yield the cost of recording metrics and of rendering them."""
    metrics = Metrics()
    rng = random.Random(seed)
    times = [rng.lognormvariate(-4, 1) for _ in range(CALLS)]
    source = iter(times * REPEATS)
    observe = cost_us(lambda: metrics.observe(Metric.request, next(source), service='fit'))
    counted = cost_us(lambda: metrics.add(Metric.worker_errors, code='fenced'))
    yield f'histogram record: {observe:.2f} us; counter: {counted:.2f} us'
    for number, seconds in enumerate(times):
        service = str(number % MAX_SERIES[Metric.request.value.kind])
        metrics.observe(Metric.queue_wait, seconds, service=service)
    begin_s = time.perf_counter()
    for _ in range(RENDERS):
        metrics.render()
    render_ms = (time.perf_counter() - begin_s) / RENDERS * MS_PER_S
    series = sum(len(held) for held in metrics.latencies.values())
    yield f'render with {series} latency series: {render_ms:.1f} ms'


def log_rows() -> Iterator[str]:
    """Yield the cost of a log line that is written to the null device."""
    logger.remove()
    sink = JsonSink(VmId('vm-1'), Incarnation('i-1'))
    with open(os.devnull, 'w') as null, redirect_stderr(null):
        logger.add(sink.write, level='INFO', format=exception_only)
        line = cost_us(lambda: logger.info('forwarded to {}', 'vm-2'))
        off = cost_us(lambda: logger.debug('forwarded to {}', 'vm-2'))
        limited = cost_us(lambda: logger.warning('log is down'))
    logger.remove()
    yield f'log line: {line:.1f} us; below the level: {off:.2f} us; suppressed: {limited:.1f} us'


def memory_rows() -> Iterator[str]:
    """Yield the resident memory after each import."""
    command = (sys.executable, '-c', IMPORT_SCRIPT, *IMPORTS)
    printed = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    before_kb = 0
    for line in printed.splitlines():
        name, resident = line.split()
        resident_kb = int(resident)
        megabytes = resident_kb / KB_PER_MB
        grown = (resident_kb - before_kb) / KB_PER_MB
        yield f'resident after {name}: {megabytes:.1f} MB (+{grown:.1f})'
        before_kb = resident_kb


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows."""
    return [*span_rows(), *metric_rows(seed), *log_rows(), *memory_rows()]
