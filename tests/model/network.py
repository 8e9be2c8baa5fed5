"""In-memory connections between processes; messages can be lost, refused and delayed."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

from tests.model.clock import Gate, spawn_outside

__all__ = ('LostCallError', 'Network', 'Wire', 'WireMode')

#: One-way delays in seconds; not multiples of each other, so that messages of several processes interleave.
DELAYS_S = (0.0007, 0.0011, 0.0019, 0.0041)


class WireMode(Enum):
    """Condition of a connection.

    Attributes:
        intact: calls and answers arrive.
        cut: no connection can be made, and those in progress break.
        lose_requests: calls are lost in transit.
        lose_answers: calls arrive, but their answers are lost.
        delay: calls and answers are held in transit and arrive when the fault ends.
    """

    intact = 'intact'
    cut = 'cut'
    lose_requests = 'lose_requests'
    lose_answers = 'lose_answers'
    delay = 'delay'


class LostCallError(Exception):
    """Raised for a call without an answer."""

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        """Create the error; `may_have_run` is false if the call certainly did not arrive."""
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class Wire:
    """Connection from one process to another.

    Attributes:
        lost_answers: number of the next answers to lose, by name of the call.
        faulty_until_s: loop time of the end of the current or the last fault, in seconds.
    """

    def __init__(self, draw_delay_s: Callable[[], float], sender: Gate | None) -> None:
        """Start intact; `sender` is the gate of the calling process."""
        self.delay_s = draw_delay_s
        self.sender = sender
        self.mode = WireMode.intact
        self.lost_answers: Counter[str] = Counter()
        self.passing = asyncio.Event()
        self.passing.set()
        self.faulty_until_s: float = 0

    def switch(self, mode: WireMode) -> None:
        """Begin or end a fault; delayed messages continue, unless the new mode is `delay` too."""
        self.mode = mode
        self.passing.set()
        if mode is WireMode.delay:
            self.passing.clear()

    async def call(
        self,
        name: str,
        deliver: Callable[[], Awaitable[Any]],
        timeout_s: float,
    ) -> Any:
        """Deliver a call and return its answer, or raise its error.

        Raises:
            LostCallError: no answer within the timeout.
        """
        if self.mode is WireMode.cut:
            await asyncio.sleep(self.delay_s())
            raise LostCallError('no connection', may_have_run=False)
        answer = asyncio.get_running_loop().create_future()
        spawn_outside(self.carry(name, deliver, answer))
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await answer
        except TimeoutError:
            raise LostCallError('no answer in time', may_have_run=True) from None
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def carry(
        self,
        name: str,
        deliver: Callable[[], Awaitable[Any]],
        answer: asyncio.Future[Any],
    ) -> None:
        """Carry a call to its receiver and the answer back."""
        await asyncio.sleep(self.delay_s())
        if self.mode is WireMode.lose_requests:
            return
        await self.wait_in_transit()
        try:
            outcome = await deliver()
        except Exception as error:
            outcome = error
        await asyncio.sleep(self.delay_s())
        if self.mode in {
            WireMode.lose_answers,
            WireMode.lose_requests,
        } or self.consume_lost_answer(name):
            return
        await self.passing.wait()
        if self.mode is WireMode.cut:
            outcome = LostCallError('connection lost', may_have_run=True)
        if not answer.done():
            answer.set_result(outcome)

    async def wait_in_transit(self) -> None:
        """Wait while the wire delays messages or the sender's VM is paused before sending this one."""
        await self.passing.wait()
        if self.sender is not None:
            await self.sender.is_open.wait()

    def consume_lost_answer(self, name: str) -> bool:
        """Return whether to lose this answer, and count it."""
        if not self.lost_answers[name]:
            return False
        self.lost_answers[name] -= 1
        return True


class Network:
    """All wires by the names of caller and receiver."""

    def __init__(self, choose: Callable[[tuple[float, ...]], float]) -> None:
        """Start without wires; `choose` selects the delay of each message."""
        self.choose = choose
        self.wires: dict[tuple[str, str], Wire] = {}
        self.gates: dict[str, Gate] = {}

    def wire(self, source: str, target: str) -> Wire:
        """Return the wire between two processes; it outlives restarts of both."""
        wire = self.wires.get((source, target))
        if wire is None:
            wire = Wire(self.delay_s, self.gates.get(source))
            self.wires[source, target] = wire
        return wire

    def delay_s(self) -> float:
        """Return the delay of one message, in seconds."""
        return self.choose(DELAYS_S)

    def new_process(self, name: str, gate: Gate) -> None:
        """Register the gate of a process that was started under this name."""
        self.gates[name] = gate
        for (source, _), wire in self.wires.items():
            if source == name:
                wire.sender = gate

    def break_for(self, source: str, target: str, mode: WireMode, for_s: float) -> None:
        """Begin a fault that ends after `for_s` seconds."""
        wire = self.wire(source, target)
        now_s = asyncio.get_running_loop().time()
        wire.switch(mode)
        wire.faulty_until_s = now_s + for_s
        spawn_outside(self.heal_later(wire))

    async def heal_later(self, wire: Wire) -> None:
        """End a fault at its time, unless a later fault has begun."""
        loop = asyncio.get_running_loop()
        until_s = wire.faulty_until_s
        await asyncio.sleep(until_s - loop.time())
        if wire.faulty_until_s == until_s:
            wire.switch(WireMode.intact)

    def heal(self) -> None:
        """End all faults."""
        for wire in self.wires.values():
            wire.lost_answers.clear()
            wire.faulty_until_s = 0
            wire.switch(WireMode.intact)
