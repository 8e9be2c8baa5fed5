"""Counts what really ran, from the journals of the worker stand-ins alone."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from demo.harness import CellProcesses

__all__ = ('Observation', 'is_durable', 'observe')

START = 'start'
ENDS = frozenset(('end', 'stop', 'lapse', 'killed'))


class Observation(msgspec.Struct):
    """What the workers saw.

    Attributes:
        starts: starts by task id.
        ends: ends by task id.
        over_allocated: times that a worker was given more than it has, by dimension.
        overlapping: tasks of a job, and non-repeatable requests, that ran in two places at once.
    """

    starts: Counter[str]
    ends: Counter[str]
    over_allocated: dict[str, int]
    overlapping: list[str]

    def doubled_keys(self) -> list[str]:
        """Return the non-repeatable requests that started more than once."""
        return [
            task_id
            for task_id, count in self.starts.items()
            if is_keyed_request(task_id) and count > 1
        ]

    def key_starts(self) -> int:
        """Count the starts of non-repeatable requests."""
        return sum(count for task_id, count in self.starts.items() if is_keyed_request(task_id))

    def violations(self) -> int:
        """Count everything that must never happen."""
        return sum(self.over_allocated.values()) + len(self.overlapping) + len(self.doubled_keys())


async def observe(cell: CellProcesses) -> Observation:
    """Read the journals of all workers."""
    starts: Counter[str] = Counter()
    ends: Counter[str] = Counter()
    over_allocated: Counter[str] = Counter()
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for address in cell.workers.values():
        over_allocated.update(await cell.get(address, '/v1/violations'))
        entries = await cell.get(address, '/v1/journal')
        count(entries, starts, ends)
        collect_spans(entries, spans)
    overlapping = [task for task, times in spans.items() if is_durable(task) and overlaps(times)]
    return Observation(starts, ends, dict(over_allocated), overlapping)


def count(entries: Iterable[Any], starts: Counter[str], ends: Counter[str]) -> None:
    """Count starts and ends."""
    for entry in entries:
        if entry['kind'] == START:
            starts[entry['task_id']] += 1
        elif entry['kind'] in ENDS:
            ends[entry['task_id']] += 1


def collect_spans(
    entries: Iterable[Any],
    spans: dict[str, list[tuple[float, float]]],
) -> None:
    """Collect when each task of a job ran, whatever the attempt."""
    began: dict[str, float] = {}
    for entry in entries:
        task_id = entry.get('task_id', '')
        if entry['kind'] == START:
            began[task_id] = entry['at_s']
        elif entry['kind'] in ENDS and task_id in began:
            spans[without_attempt(task_id)].append((began.pop(task_id), entry['at_s']))
    for task_id, start_s in began.items():
        spans[without_attempt(task_id)].append((start_s, float('inf')))


def overlaps(times: list[tuple[float, float]]) -> bool:
    """Tell whether two of the spans have a moment in common."""
    newest_end_s = float('-inf')
    for start_s, end_s in sorted(times):
        if start_s < newest_end_s:
            return True
        newest_end_s = max(newest_end_s, end_s)
    return False


def without_attempt(task_id: str) -> str:
    """Return the task that an attempt belongs to; other ids stay as they are."""
    return task_id.rsplit('.', 1)[0] if '.j.' in task_id else task_id


def is_keyed_request(task_id: str) -> bool:
    """Tell whether a task id is that of a non-repeatable request."""
    return '.k.' in task_id


def is_durable(task_id: str) -> bool:
    """Tell whether a task id is not that of a repeatable request, which may run again anywhere."""
    return is_keyed_request(task_id) or '.j.' in task_id
