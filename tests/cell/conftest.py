"""Fixture that runs the scenario of a test on a virtual clock."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.cell.model import ModelCell
from tests.model.clock import ModelLoop

Scenario = Callable[[ModelCell], Awaitable[None]]


@pytest.fixture
def run_scenario() -> Callable[..., ModelCell]:
    """Return a function that runs a scenario and checks the invariants."""

    def run(scenario: Scenario, seed: int = 1, **sizes: float) -> ModelCell:
        with asyncio.Runner(loop_factory=ModelLoop) as runner:
            return runner.run(run_in_cell(scenario, seed, sizes))

    return run


async def run_in_cell(scenario: Scenario, seed: int, sizes: dict[str, float]) -> ModelCell:
    """Build a cell, run the scenario, and check that it caused no violation or unexpected error."""
    loop = asyncio.get_running_loop()
    cell = ModelCell(loop, seed, **sizes)
    try:
        await scenario(cell)
    finally:
        await loop.end_tasks()
    assert not cell.checker.violations, cell.checker.violations[:5]
    assert not loop.faults, loop.faults[:3]
    return cell
