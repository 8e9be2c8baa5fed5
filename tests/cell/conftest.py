"""Runs a test's story on a virtual clock."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.cell.model import ModelCell
from tests.model.clock import ModelLoop

Story = Callable[[ModelCell], Awaitable[None]]


@pytest.fixture
def play() -> Callable[..., ModelCell]:
    """Return a function that plays a story and checks what must always hold."""

    def run(story: Story, seed: int = 1, **sizes: float) -> ModelCell:
        with asyncio.Runner(loop_factory=ModelLoop) as runner:
            return runner.run(tell(story, seed, sizes))

    return run


async def tell(story: Story, seed: int, sizes: dict[str, float]) -> ModelCell:
    """Build a cell, play the story, and check the judge's list."""
    loop = asyncio.get_running_loop()
    cell = ModelCell(loop, seed, **sizes)
    try:
        await story(cell)
    finally:
        await loop.end_tasks()
    assert not cell.judge.violations, cell.judge.violations[:5]
    assert not loop.faults, loop.faults[:3]
    return cell
