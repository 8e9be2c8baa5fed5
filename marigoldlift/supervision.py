"""Background tasks whose exceptions are logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

__all__ = ('TaskSet',)


class TaskSet:
    """Background tasks of one owner; an exception that ends one of them is logged.

    Attributes:
        tasks: tasks that have not ended.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task, named after it."""
        task = asyncio.create_task(work, name=work.__qualname__)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Remove an ended task, and log its exception if it has one."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'task ended by a fault: {}', task.get_name()
            )

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()
