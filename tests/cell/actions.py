"""Changes of a cell that several tests make."""

import asyncio
from collections.abc import Callable
from typing import Any

from tests.cell.model import ModelCell

__all__ = ('FailsFirst', 'cut_off', 'hand_over', 'reconnect', 'set_task_duration')

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
