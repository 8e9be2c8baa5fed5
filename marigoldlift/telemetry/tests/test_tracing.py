"""Tests of spans and trace context propagation."""

import threading

import pytest

from marigoldlift.ids import VmId
from marigoldlift.telemetry.tracing import Tracing, trace_id_of

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
SAMPLED_PARENT = f'00-{TRACE_ID}-b7ad6b7169203331-01'
UNSAMPLED_PARENT = f'00-{TRACE_ID}-b7ad6b7169203331-00'


@pytest.fixture
def sample_all():
    """Return a `Tracing` that samples every new trace."""
    return Tracing(VmId('vm-1'), capacity=4, ratio=1)


@pytest.fixture
def sample_none():
    """Return a `Tracing` that samples no new trace."""
    return Tracing(VmId('vm-1'), capacity=4, ratio=0)


def test_hops_form_one_trace(sample_all):
    """Guards against spans of several hops that cannot be joined into one trace."""
    outer = sample_all.span('receive')
    with outer, sample_all.span('forward', parent=outer.traceparent, peer='vm-2') as inner:
        inner.set('status', 'completed')

    forward, receive = sample_all.spans_of(trace_id_of(outer.traceparent))
    assert (receive.name, receive.parent_id) == ('receive', '')
    assert (forward.name, forward.parent_id) == ('forward', receive.span_id)
    assert forward.attributes == {'peer': 'vm-2', 'status': 'completed', 'vm_id': 'vm-1'}
    times = [receive.start_ns, forward.start_ns, forward.end_ns, receive.end_ns]
    assert times == sorted(times)


def test_parent_decides_on_sampling(sample_all, sample_none):
    """Guards against incomplete traces, which arise when each hop decides on sampling anew."""
    with sample_none.span('forward', parent=SAMPLED_PARENT) as sampled:
        assert trace_id_of(sampled.traceparent) == TRACE_ID
    with sample_all.span('forward', parent=UNSAMPLED_PARENT) as unsampled:
        assert unsampled.traceparent == UNSAMPLED_PARENT
    with sample_none.span('receive') as root:
        assert root.traceparent.endswith('-00')

    assert [span.parent_id for span in sample_none.spans_of(TRACE_ID)] == ['b7ad6b7169203331']
    assert not sample_all.spans_of(TRACE_ID)
    assert len(sample_none.ring.spans) == 1


@pytest.mark.parametrize(
    'parent',
    [
        'nonsense',
        '00-00000000000000000000000000000000-b7ad6b7169203331-01',
        f'{SAMPLED_PARENT}-extra',
        f'ff-{TRACE_ID}-b7ad6b7169203331-01',
        f'00-{TRACE_ID}-b7ad6b7169203331-01\n' * 50,
    ],
)
def test_malformed_parent_starts_a_new_trace(sample_all, sample_none, parent):
    """Guards against a malformed header that fails the request or is forwarded unchecked."""
    for tracing in (sample_all, sample_none):
        with tracing.span('receive', parent=parent) as span:
            assert span.traceparent.startswith('00-')
            assert len(span.traceparent) == len(SAMPLED_PARENT)
            assert trace_id_of(span.traceparent) != TRACE_ID


def test_exception_is_recorded_and_propagates(sample_all):
    """Guards against a span that swallows an exception or does not record it."""
    with pytest.raises(KeyError), sample_all.span('receive'):
        raise KeyError

    assert sample_all.ring.spans[0].attributes['error'] == 'KeyError'


def test_ring_and_attributes_are_bounded(sample_all):
    """Guards against memory that grows with traffic or with the size of callers' input."""
    for number in range(9):
        with sample_all.span('receive', long='x' * 10000) as span:
            span.set('number', str(number))

    assert [span.attributes['number'] for span in sample_all.ring.spans] == ['5', '6', '7', '8']
    assert len(sample_all.ring.spans[0].attributes['long']) < 1000


def test_no_thread_is_started(sample_all):
    """Guards against an exporter thread of the SDK, beside the event loop."""
    assert threading.active_count() == 1
