"""Tests of one direction of a proxied connection."""

import asyncio

import pytest

from standins.flow import END_OF_STREAM, MAX_HELD_BYTES, Flow, FlowMode

pytestmark = pytest.mark.looptime


class Recorder:
    """Source or sink that records the method calls on it with their times."""

    def __init__(self):
        """Initialize without recorded calls."""
        self.calls = []

    def __getattr__(self, name):
        """Return a function that records a call of the method."""
        return lambda *args: self.calls.append((asyncio.get_running_loop().time(), name, *args))

    def is_closing(self):
        """Return False: the recorder is never closing."""
        return False


@pytest.fixture
async def sink():
    """Provide a recording sink."""
    return Recorder()


@pytest.fixture
async def flow(sink):
    """Provide a flow without delay to the sink, from a recording source."""
    made = Flow(FlowMode.deliver, 0, lambda: None)
    made.source = Recorder()
    made.connect(sink)
    return made


async def test_shorter_delay_does_not_reorder(flow, sink):
    """Guards against reordered bytes when the delay is shortened."""
    flow.delay_s = 5
    flow.push(b'first')
    flow.delay_s = 1
    flow.push(b'second')
    flow.push(END_OF_STREAM)
    await asyncio.sleep(10)

    assert sink.calls == [(5, 'write', b'first'), (5, 'write', b'second'), (5, 'write_eof')]


async def test_held_bytes_are_delivered_later(flow, sink):
    """Guards against a hold mode that delivers or loses bytes."""
    flow.change_mode(FlowMode.hold)
    flow.push(b'held')
    flow.push(None)
    await asyncio.sleep(100)
    assert sink.calls == []

    flow.change_mode(FlowMode.deliver)
    assert [name for _, name, *_ in sink.calls] == ['write', 'close']


@pytest.mark.parametrize('pushed_first', [True, False])
async def test_nothing_follows_lost_bytes(flow, sink, pushed_first):
    """Guards against delivery after a gap, for bytes discarded on arrival or in the queue."""
    flow.delay_s = 1
    if pushed_first:
        flow.push(b'lost')
    flow.change_mode(FlowMode.lose)
    if not pushed_first:
        flow.push(b'lost')
    flow.change_mode(FlowMode.deliver)
    flow.push(b'after')
    await asyncio.sleep(10)

    assert (flow.damaged, sink.calls) == (True, [])


async def test_source_pauses_while_much_is_held(flow):
    """Guards against unbounded memory use in a long hold, and against a source that stays paused."""
    flow.change_mode(FlowMode.hold)
    flow.push(bytes(MAX_HELD_BYTES + 1))
    flow.change_mode(FlowMode.deliver)

    assert [name for _, name, *_ in flow.source.calls] == ['pause_reading', 'resume_reading']
