"""Actions in the background, at most one for each subject at a time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from marigoldlift.ids import TaskId

__all__ = ('BackgroundActions',)


class BackgroundActions:
    """Runs actions on tasks and keys.

    Attributes:
        busy: tasks and keys with an action in progress.
        tasks: the actions in progress.
    """

    def __init__(self) -> None:
        """Start without actions."""
        self.busy: set[TaskId] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, subject: TaskId, work: Coroutine[Any, Any, None]) -> None:
        """Run an action unless one for the same subject is in progress."""
        if subject in self.busy:
            work.close()
            return
        self.busy.add(subject)
        task = asyncio.create_task(self.guarded(subject, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def guarded(self, subject: TaskId, work: Coroutine[Any, Any, None]) -> None:
        """Run an action; a fault is logged, and a later round of the caller tries again."""
        try:
            await work
        except Exception:
            logger.exception('action on a worker failed', task=subject)
        finally:
            self.busy.discard(subject)
