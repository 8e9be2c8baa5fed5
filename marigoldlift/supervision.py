"""Tasks that run beside their owner, whose faults are logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

__all__ = ('TaskSet',)


class TaskSet:
    """Tasks of one owner; none ends by a fault without a line in the log.

    Attributes:
        tasks: those that have not ended.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the others."""
        task = asyncio.create_task(work, name=work.__qualname__)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Log the fault by which a task has ended, if it has."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'task ended by a fault: {}', task.get_name()
            )

    def cancel(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
