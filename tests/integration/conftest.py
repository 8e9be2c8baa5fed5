"""Fixtures of the tests with real processes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest

from demo.callers import publish_initial_configuration
from demo.harness import CellProcesses

from tests.integration.cells import layout_of

CellFactory = Callable[..., Awaitable[CellProcesses]]


@pytest.fixture
async def start_cell() -> AsyncIterator[CellFactory]:
    """Return a function that starts a ready cell with short leases, workspaces and services.

    Its arguments replace fields of the layout. All cells end with the test.
    """
    async with AsyncExitStack() as running:

        async def start(**changes: Any) -> CellProcesses:
            cell = await running.enter_async_context(CellProcesses(layout_of(**changes)))
            await cell.wait_ready()
            await publish_initial_configuration(cell)
            return cell

        yield start
