"""A small cell in one process, and the execution of steps in it."""

import asyncio
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import singledispatchmethod
from types import SimpleNamespace
from unittest import mock

from loguru import logger

from marigoldlift.journal.messages import (
    ConfigurationChanged,
    ObjectChange,
    ObjectKind,
    encode_record,
)
from marigoldlift.journal.sequences import batch_sequence
from marigoldlift.platform.messages import AppendRequest, VmDescription, VmRole, VmSnapshot
from marigoldlift.resources import Resources
from standins.messages import WorkerSettings

from tests.model import checks, steps
from tests.model.callers import Callers, SentKind
from tests.model.clock import ModelLoop, spawn_outside
from tests.model.entry import DOMAIN, ModelEntry, Environment
from tests.model.network import Network
from tests.model.platform import ModelLog, ModelWorker

__all__ = ('Cell', 'replay_trace', 'run_steps')

ENTRIES = 3
WORKERS = 3
CAPACITY = Resources(cpu_milli=4000, memory_mb=8000, accelerators=1, slots=3)

#: Time until the entries have found each other and own the workers, in seconds.
SETTLE_S = 5.0

#: Longest fault between one entry and one worker, or another entry, and the shortest time without
#: a fault after it, in seconds: longer faults are the lasting partitions that assumption P7 rules out.
LONGEST_BREAK_S = 12.0
LONGEST_PEER_BREAK_S = 6.0
INTACT_AFTER_BREAK_S = 5.0

#: Longest time from the last fault until everything accepted has ended, in seconds. A worker's
#: circuit breaker may keep it out of rotation for 10 min.
LONGEST_RECOVERY_S = 900.0
RECOVERY_POLL_S = 5.0

#: Time between checks during the replay of a trace, in seconds.
CHECK_INTERVAL_S = 60

#: Wall-clock time at the start, in seconds since the epoch.
WALL_START_S = 1_800_000_000

CONFIGURATION = (
    (ObjectKind.workspace, 'otica', '{}'),
    (ObjectKind.service, 'fit', '{"repeatable": true, "queue_limit": 3}'),
    (ObjectKind.service, 'charge', '{"repeatable": false}'),
)


class Cell:
    """Entries, workers and log of one failure domain."""

    def __init__(self, loop: ModelLoop, rng: random.Random, entries: int = ENTRIES) -> None:
        """Start log, workers and entries; `rng` draws the delays of messages."""
        self.loop = loop
        self.names = [f'e{number}' for number in range(entries)]
        self.log = ModelLog(loop.time)
        self.network = Network(rng.choice)
        self.workers = [
            ModelWorker(WorkerSettings(f'w{number}', CAPACITY, 64), loop.time)
            for number in range(WORKERS)
        ]
        self.environment = Environment(
            self.network,
            self.log,
            {worker.state.settings.worker_id: worker for worker in self.workers},
            vm_list(self.names),
            {},
        )
        self.callers = Callers(self.network)
        self.starts = 0
        self.publish()
        self.entries = [self.new_entry(name) for name in self.names]

    def publish(self) -> None:
        """Append the configuration to the log."""
        changes = tuple(ObjectChange(kind, name, 0, text) for kind, name, text in CONFIGURATION)
        record = encode_record(ConfigurationChanged('c1', 'operator', changes))
        batch = AppendRequest('operator', batch_sequence(1, 1), [record])
        self.log.state.append('configuration', batch)

    def new_entry(self, name: str) -> ModelEntry:
        """Start an entry process; incarnations sort in the order in which processes are started."""
        self.starts += 1
        return ModelEntry(name, f'{self.starts:04d}', self.environment, self.loop)

    def entry(self, number: int) -> ModelEntry:
        """Return the current incarnation of an entry."""
        return self.entries[number % len(self.entries)]

    @singledispatchmethod
    def apply_step(self, step: steps.Step) -> None:
        """Execute one step; its effects take place as the clock advances.

        Raises:
            TypeError: the type of the step is unknown.
        """
        raise TypeError(step)

    @apply_step.register
    def apply_request(self, step: steps.Request) -> None:
        """Send a repeatable request."""
        sent = self.callers.begin(SentKind.request, step)
        self.callers.send(sent, self.entry(step.entry))

    @apply_step.register
    def apply_charge(self, step: steps.Charge) -> None:
        """Send a non-repeatable request."""
        sent = self.callers.begin(SentKind.charge, step)
        self.callers.send(sent, self.entry(step.entry))

    @apply_step.register
    def apply_submit(self, step: steps.Submit) -> None:
        """Submit a job."""
        self.callers.send(self.callers.submit(step), self.entry(step.entry))

    @apply_step.register
    def apply_retry(self, step: steps.Retry) -> None:
        """Send an earlier request, charge or job again."""
        sent = self.callers.earlier(step.sent, *SentKind)
        if sent is not None:
            self.callers.send(sent, self.entry(step.entry))

    @apply_step.register
    def apply_cancel(self, step: steps.Cancel) -> None:
        """Cancel a job."""
        sent = self.callers.earlier(step.sent, SentKind.job)
        if sent is not None:
            self.callers.cancel(sent, self.entry(step.entry))

    @apply_step.register
    def apply_crash(self, step: steps.Crash) -> None:
        """Kill a running entry and restart it later."""
        entry = self.entry(step.entry)
        if not entry.gate.dead:
            entry.kill()
            spawn_outside(self.restart_later(step.entry % len(self.entries), step.down_s))

    async def restart_later(self, number: int, down_s: float) -> None:
        """Restart an entry after a delay."""
        await asyncio.sleep(down_s)
        self.entries[number] = self.new_entry(self.names[number])

    @apply_step.register
    def apply_pause(self, step: steps.Pause) -> None:
        """Pause a running entry."""
        gate = self.entry(step.entry).gate
        if not gate.stopped:
            gate.pause()
            spawn_outside(resume_later(gate, step.for_s))

    @apply_step.register
    def apply_break(self, step: steps.Break) -> None:
        """Break one connection for no longer and no more often than assumption P7 allows."""
        source = self.entry(step.entry).name
        longest_s = LONGEST_PEER_BREAK_S if step.target.startswith('e') else LONGEST_BREAK_S
        wire = self.network.wire(source, step.target)
        if step.target == 'log':
            longest_s = step.for_s
        elif self.loop.time() < wire.faulty_until_s + INTACT_AFTER_BREAK_S:
            return
        self.network.break_for(source, step.target, step.mode, min(step.for_s, longest_s))

    @apply_step.register
    def apply_isolate(self, step: steps.Isolate) -> None:
        """Break the connections of all entries to a worker."""
        self.break_all(f'w{step.worker % WORKERS}', step.mode, step.for_s)

    @apply_step.register
    def apply_log_outage(self, step: steps.LogOutage) -> None:
        """Break the connections of all entries to the log."""
        self.break_all('log', step.mode, step.for_s)

    def break_all(self, target: str, mode, for_s: float) -> None:
        """Break the connections of all entries to a target."""
        for name in self.names:
            self.network.break_for(name, target, mode, for_s)

    @apply_step.register
    def apply_lose_answers(self, step: steps.LoseAnswers) -> None:
        """Lose the next answers of a target to an entry."""
        wire = self.network.wire(self.entry(step.entry).name, step.target)
        wire.lost_answers[step.call] += step.count

    @apply_step.register
    def apply_restart_worker(self, step: steps.RestartWorker) -> None:
        """Restart a worker."""
        self.workers[step.worker % WORKERS].state.restart()

    @apply_step.register
    def apply_advance(self, step: steps.Advance) -> None:
        """Do nothing; `run` advances the clock."""

    async def replay(self, lines: Iterable[steps.TraceLine]) -> None:
        """Execute steps at their times, and check the invariants about once a minute."""
        checked_s = self.loop.time()
        for line in lines:
            await asyncio.sleep(max(line.at_s - self.loop.time(), 0))
            self.apply_step(line.step)
            if self.loop.time() >= checked_s + CHECK_INTERVAL_S:
                checked_s = self.loop.time()
                self.check()

    async def run(self, planned: Iterable[steps.Step]) -> None:
        """Execute steps and check the invariants after each."""
        await asyncio.sleep(SETTLE_S)
        for step in planned:
            self.apply_step(step)
            if isinstance(step, steps.Advance):
                await asyncio.sleep(step.for_s)
            self.check()

    async def recover(self) -> None:
        """End all faults, and wait until everything accepted has ended.

        Raises:
            AssertionError: an invariant is violated, or something has not ended in `LONGEST_RECOVERY_S`.
        """
        self.network.heal()
        for entry in self.entries:
            entry.gate.resume()
        deadline_s = self.loop.time() + LONGEST_RECOVERY_S
        await asyncio.sleep(RECOVERY_POLL_S)
        while self.unfinished() and self.loop.time() < deadline_s:
            await asyncio.sleep(RECOVERY_POLL_S)
            self.check()
        self.check()
        assert not self.unfinished(), f'invariant 9: {self.unfinished()}'

    def check(self) -> None:
        """Check the invariants that hold at any time, and that no unexpected error occurred."""
        states = [worker.state for worker in self.workers]
        runs = checks.check_journals(states)
        checks.check_not_run(runs, self.callers.sent)
        checks.check_answers(runs, self.callers.sent)
        faults = [*self.loop.faults, *(text for entry in self.entries for text in entry.faults())]
        assert not faults, f'unexpected error: {faults}'

    def unfinished(self) -> list[str]:
        """Return a line for each job or key that was accepted and has not ended."""
        records = self.log.state.streams[f'domain-{DOMAIN}'].records
        return checks.unfinished(checks.state_of_log(records), self.callers.sent)


def vm_list(names: Iterable[str]) -> VmSnapshot:
    """Return the VM list of the cell."""
    entries = [VmDescription(name, VmRole.entry, DOMAIN, 'r0', f'{name}:7000') for name in names]
    workers = [
        VmDescription(
            f'w{number}', VmRole.worker, DOMAIN, f'r{number}', f'w{number}:1', capacity=CAPACITY
        )
        for number in range(WORKERS)
    ]
    return VmSnapshot(1, entries + workers)


async def resume_later(gate, for_s: float) -> None:
    """End a pause after a delay."""
    await asyncio.sleep(for_s)
    gate.resume()


@contextmanager
def model_loop(seed: int) -> Iterator[ModelLoop]:
    """Provide a loop whose virtual clock also drives the wall clock; seed the random generator."""
    random.seed(seed)
    loop = ModelLoop()
    wall = SimpleNamespace(time=lambda: WALL_START_S + loop.time())
    with collect_errors(loop.faults), mock.patch('marigoldlift.util.time', wall):
        try:
            yield loop
        finally:
            loop.run_until_complete(loop.end_tasks())
            loop.close()


@contextmanager
def collect_errors(faults: list[str]) -> Iterator[None]:
    """Collect the log lines of level ERROR, and write no others."""
    logger.remove()
    logger.add(faults.append, level='ERROR')
    try:
        yield
    finally:
        logger.remove()
        logger.add(sys.stderr)


def run_steps(
    planned: Iterable[steps.Step],
    seed: int = 0,
    inspect: Callable[[Cell], None] | None = None,
) -> None:
    """Execute steps in a new cell, end all faults, and check all invariants.

    Args:
        planned: steps to execute.
        seed: seed of the delays of messages and of the product's own random choices.
        inspect: further checks of the cell at the end.
    """

    async def scenario() -> None:
        cell = Cell(loop, random.Random(seed))
        await cell.run(planned)
        await cell.recover()
        if inspect is not None:
            inspect(cell)

    with model_loop(seed) as loop:
        loop.run_until_complete(scenario())


def replay_trace(
    lines: Iterable[steps.TraceLine],
    inspect: Callable[[Cell], None],
    entries: int = ENTRIES,
) -> None:
    """Replay a trace in a new cell, end all faults, check all invariants, and call `inspect` with the cell."""

    async def scenario() -> None:
        cell = Cell(loop, random.Random(0), entries)
        await cell.replay(lines)
        await cell.recover()
        inspect(cell)

    with model_loop(0) as loop:
        loop.run_until_complete(scenario())
