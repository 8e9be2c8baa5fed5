"""Changes of a cell that several tests make."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from marigoldlift.submissions.model import Step
from standins.cell.workers import MemoryWorker
from tests.cell.model import ModelCell, ModelEntry

__all__ = (
    'ELECTION_S',
    'FailsFirst',
    'cut_off',
    'hand_over',
    'kill_leader',
    'reconnect',
    'retire_leader',
    'run_one_task',
    'set_task_duration',
)

#: Time from the start of a cell within which an entry leads, in s.
ELECTION_S = 1.5

#: Time within which another entry leads once the leader hands over, in s.
NEXT_LEADER_S = 3.0


class FailsFirst:
    """Callable that raises an unexpected exception in its first calls and forwards later ones."""

    def __init__(self, wrapped: Callable[..., Any], failures: int) -> None:
        """Wrap a callable whose first calls fail."""
        self.wrapped = wrapped
        self.failures_left = failures

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        """Raise, or forward the call."""
        self.failures_left -= 1
        if self.failures_left >= 0:
            raise RuntimeError('injected')
        return self.wrapped(*args, **kwargs)


def set_task_duration(cell: ModelCell, duration_s: float) -> None:
    """Set the run time of all tasks, in s."""
    cell.duration_of = lambda task: duration_s
    for entry in cell.entries:
        entry.calls.duration_of = cell.duration_of


def cut_off(cell: ModelCell, name: str) -> None:
    """Let no entry reach a worker."""
    for entry in cell.entries:
        entry.calls.unreachable.add(name)


def reconnect(cell: ModelCell) -> None:
    """Let all entries reach all workers."""
    for entry in cell.entries:
        entry.calls.unreachable.clear()


async def hand_over(cell: ModelCell) -> None:
    """Let the leader reach the log only through another entry, so that it hands over, and wait until one of the others leads."""
    leader = cell.leader()
    leader.node.election.is_indirect = lambda: True
    await asyncio.sleep(NEXT_LEADER_S)
    assert cell.leader() not in {None, leader}


async def kill_leader(cell: ModelCell, leader: ModelEntry) -> None:
    """Kill the leader."""
    leader.kill()


async def retire_leader(cell: ModelCell, leader: ModelEntry) -> None:
    """Let the leader hand over before it is killed."""
    await asyncio.wait((leader.gate.spawn(leader.node.election.retire()),))
    leader.kill()


async def run_one_task(
    cell: ModelCell, steps: Sequence[Step], task_s: float
) -> tuple[ModelEntry, MemoryWorker]:
    """Hand in a submission `job` of one task, and return the leader and the worker that runs the task."""
    await asyncio.sleep(ELECTION_S)
    set_task_duration(cell, task_s)
    leader = cell.leader()
    await cell.submit(leader, 'job', steps)
    await asyncio.sleep(1)
    return leader, next(worker for worker in cell.workers.values() if worker.held)
