"""Virtual clock on which single processes can be paused and killed."""

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
    which they came due, after the clock has gone on. Those of a dead process never run.
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
        """Tell whether callbacks do not run."""
        return self.dead or not self.is_open.is_set()

    def pause(self) -> None:
        """Run nothing until `resume`."""
        self.is_open.clear()

    def resume(self) -> None:
        """Run what came due meanwhile."""
        self.is_open.set()
        if not self.dead:
            self.run_held()

    def run_held(self) -> None:
        """Run what was held back."""
        self.loop.run_soon(self.held)
        self.held.clear()

    def kill(self) -> None:
        """Run nothing any more; messages on their way are not affected."""
        self.dead = True
        self.is_open.set()

    def hold(self, handle: asyncio.Handle) -> None:
        """Keep a callback for the resume, or for the end of the loop."""
        self.held.append(handle)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work as part of this process."""
        return self.loop.create_task(work, context=self.context.copy())


class GatedHandle(asyncio.Handle):
    """Callback that runs only while its process does."""

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
    """Loop with compacted time and a gate in front of each process.

    Attributes:
        callback_s: time that each callback takes, in s; on a slow VM, timers set in a row are due apart.
    """

    def __init__(self) -> None:
        """Start at time 0; without I/O, no idle cycles are needed before the time moves on."""
        super().__init__(start=0, noop_cycles=0)
        self.callback_s: float = 0
        self.faults: list[str] = []
        self.gates: list[Gate] = []
        self.set_exception_handler(record_error)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback that its process can hold back."""
        timer = GatedTimer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        return timer

    def advance_callback_time(self) -> None:
        """Let the time of one callback pass."""
        if self.callback_s:
            self.setup_looptime(start=self.time() + self.callback_s, noop_cycles=0)

    async def end_tasks(self) -> None:
        """Cancel all tasks, those of dead processes too, so that none is destroyed pending."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        for gate in self.gates:
            gate.dead = False
            gate.resume()
        await asyncio.wait(tasks, timeout=1)

    def run_soon(self, handles: list[asyncio.Handle]) -> None:
        """Run callbacks that were held back; cancelled ones are left out by the loop."""
        self._ready.extend(handles)

    def _call_soon(self, callback, args, context):
        handle = GatedHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle


def record_error(loop: ModelLoop, fault: dict[str, Any]) -> None:
    """Keep an error that no task took care of."""
    if 'was destroyed but it is pending' not in fault['message']:
        loop.faults.append('{0[message]}: {1!r}'.format(fault, fault.get('exception')))


def spawn_outside(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Run work that belongs to no process, such as a message on its way."""
    return asyncio.get_running_loop().create_task(work, context=Context())
