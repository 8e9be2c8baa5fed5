"""Ends that a process of the cell was told of, and runs that are ordered although one of them is known."""

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from marigoldlift.orders.api import EndKind, WorkerStatus
from marigoldlift.submissions.model import TaskRef
from tests.cell.model import ModelCell, ModelEntry
from tests.model.clock import Gate

__all__ = ('ToldEnds',)

#: Time within which a process has stored what it was told once it runs and the log answers it, and the leader has read
#: that, in s: a call that times out takes 0.8 s, a retry follows 0.2 s later, and a leader reads every 0.025 s.
STORED_S = 3.0


class ToldEnd(msgspec.Struct, frozen=True):
    """An end `done` that a poll of an entry has returned.

    Attributes:
        process: incarnation of the entry that was told.
        at: loop time in s.
    """

    entry: ModelEntry
    process: Gate
    worker: str
    at: float


class ToldEnds:
    """Records which ends each process was told of, and checks that none of their tasks is started again.

    Knowledge of a process that has ended is lost with it, and does not count.

    Attributes:
        violations: starts of tasks whose end a living process had known for longer than `STORED_S`, one line each.
        told: the first end `done` that each process was told of, by task.
        disturbed_at: when each entry last did not run or did not reach the log, by name, as loop time in s.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Observe the polls of all entries and the starts at all workers."""
        self.cell = cell
        self.violations: list[str] = []
        self.told: dict[TaskRef, list[ToldEnd]] = {}
        self.disturbed_at: dict[str, float] = {}
        for entry in cell.entries:
            entry.calls.poll = self.observed(entry, entry.calls.poll)
        self.usual_begin = cell.checker.begin
        cell.checker.begin = self.begin

    def observed(
        self, entry: ModelEntry, poll: Callable[..., Awaitable[WorkerStatus]]
    ) -> Callable[..., Awaitable[WorkerStatus]]:
        """Return the poll of an entry with its answers recorded."""

        async def observed_poll(*args: object) -> WorkerStatus:
            process = entry.gate
            status = await poll(*args)
            for ended in status.ended:
                if ended.kind is EndKind.done:
                    told = ToldEnd(entry, process, args[0].id, self.cell.loop.time())
                    self.note(ended.task, told)
            return status

        return observed_poll

    def note(self, task: TaskRef, told: ToldEnd) -> None:
        """Record the first end of a task, or of its gang, that a process was told of."""
        for done in self.cell.checker.represented(task):
            known = self.told.setdefault(done, [])
            if all(earlier.process is not told.process for earlier in known):
                known.append(told)

    def sample(self) -> None:
        """Record which entries do not run, or do not reach the log, at present."""
        for entry in self.cell.entries:
            if entry.gate.stopped or entry.log.fault is not None:
                self.disturbed_at[entry.name] = self.cell.loop.time()

    def begin(self, task: TaskRef, run: int, worker: str, free: Mapping[str, int]) -> None:
        """Check a run that starts at a worker."""
        sent_at = self.cell.checker.unanswered.get(task, self.cell.loop.time())
        for told in self.told.get(task, ()):
            stored_at = max(told.at, self.disturbed_at.get(told.entry.name, 0)) + STORED_S
            if (
                told.entry.gate is told.process
                and not told.process.stopped
                and sent_at > stored_at
            ):
                self.violations.append(
                    f'REPEATED: task={task.name} run={run} worker={worker} sent_at={sent_at:.2f}'
                    f' told={told.entry.name} by={told.worker} at={told.at:.2f}'
                )
        self.usual_begin(task, run, worker, free)
