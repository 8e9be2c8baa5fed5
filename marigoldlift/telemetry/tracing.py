"""Tracing: one span per hop, kept in a bounded ring buffer in memory."""

import random
import re
from collections import deque
from types import TracebackType
from typing import Protocol, Self

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanLimits, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace import Span as SdkSpan
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
from opentelemetry.trace import format_span_id, format_trace_id
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from marigoldlift.ids import VmId
from marigoldlift.peers.messages import SpanRecord

__all__ = ('DEFAULT_SAMPLING_RATIO', 'Span', 'Tracing', 'trace_id_of')

#: Fraction of the traces started by this process that are sampled.
DEFAULT_SAMPLING_RATIO = 0.01

#: Limits of one span, needed because attributes may contain input of callers.
MAX_ATTRIBUTES = 16
MAX_ATTRIBUTE_LENGTH = 128

TRACE_ID_BITS = 128
SPAN_ID_BITS = 64

#: Index of the trace id among the dash-separated parts of a traceparent.
TRACE_ID_PART = 1

UNSAMPLED_PARENT = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-00')

#: Span attribute for the type name of the exception that ended the span.
ERROR_ATTRIBUTE = 'error'


class Span(Protocol):
    """An active span; leaving its `with` block ends it.

    Attributes:
        traceparent: W3C traceparent to send to the next hop.
        sampled: whether the span is recorded.
    """

    traceparent: str
    sampled: bool

    def __enter__(self) -> Self:
        """Return the span."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the span; an exception is recorded as an attribute and propagates."""

    def set(self, name: str, content: str) -> None:
        """Set an attribute."""


class UnsampledSpan:
    """A span that records nothing and only propagates its trace context.

    W3C Trace Context allows a hop that does not record to forward its parent's context unchanged.
    """

    __slots__ = ('traceparent',)
    sampled = False

    def __init__(self, traceparent: str) -> None:
        """Store the traceparent to propagate."""
        self.traceparent = traceparent

    def __enter__(self) -> Self:
        """Return the span."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Do nothing."""

    def set(self, name: str, content: str) -> None:
        """Do nothing."""


class RecordedSpan:
    """A sampled span, stored in the ring buffer when it ends."""

    __slots__ = ('sdk_span', 'traceparent')
    sampled = True

    def __init__(self, sdk_span: SdkSpan) -> None:
        """Wrap a span that the SDK has started."""
        self.sdk_span = sdk_span
        context = sdk_span.get_span_context()
        trace_id = format_trace_id(context.trace_id)
        self.traceparent = f'00-{trace_id}-{format_span_id(context.span_id)}-01'

    def __enter__(self) -> Self:
        """Return the span."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the span; an exception is recorded as an attribute and propagates."""
        if kind is not None:
            self.set(ERROR_ATTRIBUTE, kind.__name__)
        self.sdk_span.end()

    def set(self, name: str, content: str) -> None:
        """Set an attribute."""
        self.sdk_span.set_attribute(name, content)


class SpanRing(SpanProcessor):
    """Span processor that keeps the most recently finished spans."""

    def __init__(self, vm_id: VmId, capacity: int) -> None:
        """Start empty; `capacity` is the largest number of spans kept."""
        self.vm_id = vm_id
        self.spans: deque[SpanRecord] = deque(maxlen=capacity)

    def on_end(self, span: ReadableSpan) -> None:
        """Store a finished span; the oldest one is dropped when the buffer is full."""
        self.spans.append(record_of(span, self.vm_id))


class Tracing:
    """Starts spans and stores the finished ones."""

    def __init__(
        self,
        vm_id: VmId,
        capacity: int,
        ratio: float = DEFAULT_SAMPLING_RATIO,
    ) -> None:
        """Configure the SDK without changing global state or starting a thread.

        Args:
            vm_id: VM of the entry, set as an attribute of each span.
            capacity: number of finished spans kept.
            ratio: fraction from 0 to 1 of the traces started by this process that are sampled. For
                a trace started by another process, the sampled flag of its traceparent decides.
        """
        self.ratio = ratio
        self.random = random.Random()
        self.ring = SpanRing(vm_id, capacity)
        self.propagator = TraceContextTextMapPropagator()
        provider = TracerProvider(
            sampler=ParentBased(root=ALWAYS_ON),
            resource=Resource({}),
            shutdown_on_exit=False,
            span_limits=SpanLimits(
                max_span_attributes=MAX_ATTRIBUTES,
                max_span_attribute_length=MAX_ATTRIBUTE_LENGTH,
            ),
        )
        provider.add_span_processor(self.ring)
        self.tracer = provider.get_tracer('marigoldlift')

    def span(self, name: str, parent: str = '', **attributes: str) -> Span:
        """Start a span.

        Args:
            name: name of the operation.
            parent: traceparent of the calling span; a new trace is started when it is empty or
                malformed.
            attributes: initial attributes of the span.
        """
        # The SDK spends several microseconds even on a span that is not recorded; these two
        # branches avoid that cost.
        if UNSAMPLED_PARENT.fullmatch(parent):
            return UnsampledSpan(parent)
        if not parent and self.random.random() >= self.ratio:
            return UnsampledSpan(self.new_unsampled_context())
        return self.recorded_span(name, parent, attributes)

    def recorded_span(self, name: str, parent: str, attributes: dict[str, str]) -> Span:
        """Start a span with the SDK, which validates the parent."""
        context = self.propagator.extract({'traceparent': parent}, context=Context())
        if parent and not context:
            return self.span(name, '', **attributes)
        sdk_span = self.tracer.start_span(name, context=context, attributes=attributes)
        if isinstance(sdk_span, SdkSpan):
            return RecordedSpan(sdk_span)
        # Not sampled, but not matched in `span`, such as a later traceparent version.
        return UnsampledSpan(parent)

    def new_unsampled_context(self) -> str:
        """Return a traceparent for a new, unsampled trace."""
        trace_id = format_trace_id(self.random.getrandbits(TRACE_ID_BITS))
        span_id = format_span_id(self.random.getrandbits(SPAN_ID_BITS))
        return f'00-{trace_id}-{span_id}-00'

    def spans_of(self, trace_id: str) -> list[SpanRecord]:
        """Return the stored spans of a trace in the order in which they ended."""
        return [span for span in self.ring.spans if span.trace_id == trace_id]


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a traceparent, as used in log lines and by `spans_of`."""
    return traceparent.split('-')[TRACE_ID_PART]


def record_of(span: ReadableSpan, vm_id: VmId) -> SpanRecord:
    """Convert a finished span of the SDK to a `SpanRecord`."""
    parent = span.parent
    attributes = {name: str(content) for name, content in (span.attributes or {}).items()}
    return SpanRecord(
        trace_id=format_trace_id(span.context.trace_id),
        span_id=format_span_id(span.context.span_id),
        parent_id=format_span_id(parent.span_id) if parent else '',
        name=span.name,
        start_ns=span.start_time or 0,
        end_ns=span.end_time or 0,
        attributes={**attributes, 'vm_id': vm_id},
    )
