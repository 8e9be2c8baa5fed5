"""Containment of unexpected exceptions: background tasks, and items that are handled one after the other."""

import asyncio
import contextlib
import os
from collections.abc import Callable, Coroutine, Iterator
from enum import Enum
from typing import Any

import msgspec
from loguru import logger

from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('FaultBoundary', 'ItemKind', 'TaskSet', 'exit_on_failure', 'is_ending')

#: Pause of an item after its first exception, and longest one, in s; it doubles with each further exception.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0

#: Number of items that are remembered as set aside; beyond it the oldest one is tried again.
MAX_SET_ASIDE = 1000


class ItemKind(Enum):
    """Kind of item whose handling is contained; label of the metric."""

    record = 'record'
    submission = 'submission'
    worker = 'worker'
    end = 'end'
    run = 'run'
    round = 'round'


class SetAside(msgspec.Struct):
    """An item whose handling has raised.

    Attributes:
        until: time before which it is not handled again, in seconds of the monotonic clock.
        pause_s: length of that pause, in s.
    """

    until: float
    pause_s: float


class FaultBoundary:
    """Contains an unexpected exception to the item whose handling raised it, so that others are still handled.

    Without it, one record or submission that cannot be handled would end each leader in turn.

    Attributes:
        clock: monotonic clock in seconds.
        metrics: counts the exceptions by kind of item.
        set_aside: items that are not handled again yet, by name.
    """

    def __init__(self, clock: Callable[[], float], metrics: Metrics) -> None:
        """Start without exceptions."""
        self.clock = clock
        self.metrics = metrics
        self.set_aside: dict[str, SetAside] = {}

    @contextlib.contextmanager
    def contain(self, kind: ItemKind, name: str) -> Iterator[None]:
        """Log and count an exception of the block, and set the item aside; cancellation passes through."""
        try:
            yield
        except Exception as fault:
            self.note(kind, name, fault)

    def note(self, kind: ItemKind, name: str, fault: Exception) -> None:
        """Log and count an exception, and set the item aside, for longer after each further one."""
        before = self.set_aside.pop(name, None)
        pause_s = min(before.pause_s * 2, LONGEST_PAUSE_S) if before else FIRST_PAUSE_S
        self.set_aside[name] = SetAside(self.clock() + pause_s, pause_s)
        if len(self.set_aside) > MAX_SET_ASIDE:
            self.set_aside.pop(next(iter(self.set_aside)))
        self.metrics.add(Metric.faults_contained, kind=kind.value)
        logger.opt(exception=fault).error(
            'item set aside: kind={} name={} pause_s={}', kind.value, name, pause_s
        )

    def is_set_aside(self, name: str) -> bool:
        """Return whether an item must not be handled now because its handling has raised."""
        found = self.set_aside.get(name)
        return found is not None and self.clock() < found.until


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
        task = asyncio.create_task(work, name=getattr(work, '__qualname__', 'task'))
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


def is_ending() -> bool:
    """Return whether the running task was asked to end; otherwise a cancellation that reaches it is that of a call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def exit_on_failure(task: asyncio.Task[None]) -> None:
    """Exit the process if a loop has failed, so that a restart recovers from the stored records."""
    if task.cancelled() or task.exception() is None:
        return
    logger.opt(exception=task.exception()).critical('loop ended by a fault')
    os._exit(1)
