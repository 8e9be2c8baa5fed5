"""Event loop with a virtual clock on which individual processes can be paused and killed."""

import asyncio
import heapq
from collections.abc import Coroutine
from contextvars import Context, ContextVar
from typing import Any

import looptime

__all__ = ('Gate', 'ModelLoop', 'spawn_outside')

#: Gate of the process that the running code belongs to; None outside of all processes.
current_gate: ContextVar['Gate | None'] = ContextVar('current_gate', default=None)


class Gate:
    """Lets the callbacks of one process run, unless it is paused or dead.

    Callbacks that come due while the process is paused run when it resumes, in the order in
    which they came due; the clock has advanced by then. Those of a dead process never run.
    """

    def __init__(self, loop: 'ModelLoop') -> None:
        """Start open."""
        self.loop = loop
        loop.gates.append(self)
        self.context = Context()
        self.context.run(current_gate.set, self)
        self.dead = False
        self.held: list[asyncio.Handle] = []
        self.is_open = asyncio.Event()
        self.is_open.set()

    @property
    def stopped(self) -> bool:
        """Return whether the process is paused or dead."""
        return self.dead or not self.is_open.is_set()

    def pause(self) -> None:
        """Hold back all callbacks until `resume`."""
        self.is_open.clear()

    def resume(self) -> None:
        """Open the gate and run the callbacks that were held back."""
        self.is_open.set()
        if not self.dead:
            self.run_held()

    def run_held(self) -> None:
        """Schedule the callbacks that were held back."""
        self.loop.run_soon(self.held)
        self.held.clear()

    def kill(self) -> None:
        """Run no more callbacks; messages in transit are not affected."""
        self.dead = True
        self.is_open.set()

    def hold(self, handle: asyncio.Handle) -> None:
        """Hold back a callback until `resume` or the end of the loop."""
        self.held.append(handle)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Create a task that belongs to this process."""
        return self.loop.create_task(work, context=self.context.copy())


class GatedHandle(asyncio.Handle):
    """Callback that runs only while its process runs."""

    def _run(self) -> None:
        gate = self._context.get(current_gate)
        if gate is not None and gate.stopped:
            gate.hold(self)
        else:
            super()._run()
            self._loop.advance_callback_time()


class GatedTimer(asyncio.TimerHandle):
    """Timer that fires only while its process runs."""

    def __init__(self, when: float, *args: Any) -> None:
        super().__init__(when, *args)
        self._scheduled = True

    def _run(self) -> None:
        gate = self._context.get(current_gate)
        if gate is not None and gate.stopped:
            gate.hold(self)
        else:
            super()._run()
            self._loop.advance_callback_time()


class ModelLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """Event loop that skips idle time and runs the callbacks of each process through its gate.

    Attributes:
        callback_s: time that each callback takes, in s; with the value of a slow VM, timers that are set one after the
            other come due at different times.
        faults: unexpected errors, one line each.
        gates: gates of all processes, dead ones included.
    """

    def __init__(self) -> None:
        """Start at time 0; without I/O, no idle cycles are needed before the time advances."""
        super().__init__(start=0, noop_cycles=0)
        self.callback_s: float = 0
        self.faults: list[str] = []
        self.gates: list[Gate] = []
        self.set_exception_handler(record_error)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback that the gate of its process can hold back."""
        timer = GatedTimer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        return timer

    def advance_callback_time(self) -> None:
        """Advance the clock by the time of one callback."""
        if self.callback_s:
            self.setup_looptime(start=self.time() + self.callback_s, noop_cycles=0)

    async def end_tasks(self) -> None:
        """Cancel all tasks, including those of dead processes, so that none is destroyed while pending."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        for gate in self.gates:
            gate.dead = False
            gate.resume()
        await asyncio.wait(tasks, timeout=1)

    def run_soon(self, handles: list[asyncio.Handle]) -> None:
        """Schedule callbacks that were held back; the loop skips cancelled ones."""
        self._ready.extend(handles)

    def _call_soon(self, callback, args, context):
        handle = GatedHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle


def record_error(loop: ModelLoop, fault: dict[str, Any]) -> None:
    """Record an error that no task has handled."""
    if 'was destroyed but it is pending' not in fault['message']:
        loop.faults.append('{0[message]}: {1!r}'.format(fault, fault.get('exception')))


def spawn_outside(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Create a task that belongs to no process, such as a message in transit."""
    return asyncio.get_running_loop().create_task(work, context=Context())
