"""Changes of a cell that several tests make."""

from tests.cell.model import ModelCell

__all__ = ('cut_off', 'reconnect', 'set_task_duration')


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
