"""One direction of a proxied connection: bytes are delivered, held or discarded."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

__all__ = ('END_OF_STREAM', 'Flow', 'FlowMode', 'LOST')

#: Marker queued in place of a chunk: the sender has closed its side.
END_OF_STREAM = b''

#: Marker queued in place of a chunk: the sender's connection is lost.
LOST = None

#: Queued bytes above which reading from the sender is paused.
MAX_HELD_BYTES = 1_048_576

Chunk = bytes | None


class FlowMode(Enum):
    """Handling of the bytes of one direction."""

    deliver = 'deliver'
    hold = 'hold'
    lose = 'lose'


class Flow:
    """Ordered queue of chunks from a source to a sink, each with the time at which it is due.

    Attributes:
        mode: current handling of bytes.
        delay_s: delay in seconds of bytes received from now on.
        on_ended: called when the end of the stream has been delivered.
        ended: whether the end of the stream has been delivered.
        damaged: whether bytes were discarded; nothing after them may be delivered.
        closed: whether the flow was aborted; nothing is accepted or delivered any more.
        held_bytes: number of queued bytes.
    """

    def __init__(self, mode: FlowMode, delay_s: float, on_ended: Callable[[], None]) -> None:
        """Initialize an empty flow without source and sink."""
        self.mode = mode
        self.delay_s = delay_s
        self.on_ended = on_ended
        self.ended = False
        self.damaged = False
        self.closed = False
        self.held_bytes = 0
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.sink_is_full = False
        self.chunks: deque[tuple[float, Chunk]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def push(self, chunk: Chunk) -> None:
        """Queue a chunk, the end of the stream, or the loss of the source; discard it in mode `lose`."""
        if self.closed:
            return
        if self.mode is FlowMode.lose:
            self.damaged = True
            return
        due_s = asyncio.get_running_loop().time() + self.delay_s
        self.chunks.append((due_s, chunk))
        self.held_bytes += len(chunk or END_OF_STREAM)
        if self.held_bytes > MAX_HELD_BYTES and self.source is not None:
            self.source.pause_reading()
        self.flush()

    def change_mode(self, mode: FlowMode) -> None:
        """Change the mode; switching to `lose` also discards the queued chunks."""
        self.mode = mode
        if mode is FlowMode.lose and self.chunks:
            self.damaged = True
            self.chunks.clear()
            self.count_delivered(self.held_bytes)
        self.flush()

    def connect(self, sink: asyncio.Transport) -> None:
        """Attach the sink and deliver the chunks that are due; a closed flow aborts the sink."""
        self.sink = sink
        if self.closed:
            sink.abort()
        self.flush()

    def mark_full(self, *, is_full: bool) -> None:
        """Record whether the write buffer of the sink is full, and deliver if it is not."""
        self.sink_is_full = is_full
        self.flush()

    def flush(self) -> None:
        """Deliver all chunks that are due, and schedule the delivery of the next one."""
        self.cancel()
        loop = asyncio.get_running_loop()
        while self.can_deliver() and self.chunks[0][0] <= loop.time():
            self.deliver(self.sink, self.chunks.popleft()[1])
        if self.can_deliver():
            self.timer = loop.call_at(self.chunks[0][0], self.flush)

    def can_deliver(self) -> bool:
        """Return whether a chunk is queued and nothing but its due time prevents its delivery."""
        is_open = self.mode is FlowMode.deliver and not (self.damaged or self.closed)
        return is_open and self.sink is not None and bool(self.chunks) and not self.sink_is_full

    def deliver(self, sink: asyncio.Transport, chunk: Chunk) -> None:
        """Pass a chunk or marker to the sink; it is dropped when the sink is closing."""
        self.count_delivered(len(chunk or END_OF_STREAM))
        if sink.is_closing():
            return
        if chunk is LOST:
            sink.close()
        elif chunk == END_OF_STREAM:
            # The sink's peer may have reset the connection before the event loop noticed.
            with suppress(OSError):
                sink.write_eof()
            self.ended = True
            self.on_ended()
        else:
            sink.write(chunk)

    def count_delivered(self, size_bytes: int) -> None:
        """Subtract bytes that left the queue, and resume reading once the queue is below its limit."""
        self.held_bytes -= size_bytes
        if self.held_bytes <= MAX_HELD_BYTES and self.source is not None:
            self.source.resume_reading()

    def abort(self) -> None:
        """Close the sink at once and discard the queued bytes."""
        self.closed = True
        self.cancel()
        self.chunks.clear()
        if self.sink is not None:
            self.sink.abort()

    def cancel(self) -> None:
        """Cancel the timer of the next delivery."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
