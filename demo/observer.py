"""Counts of the tasks that ran, as the worker stand-ins report them; nothing is read from the entries."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from demo.harness import CellProcesses

__all__ = ('Observation', 'is_durable', 'observe')

START = 'start'
ENDS = frozenset(('end', 'stop', 'lapse', 'killed'))


class Observation(msgspec.Struct):
    """Counts reported by all worker stand-ins.

    Attributes:
        starts: number of starts by task id.
        ends: number of ends by task id.
        over_allocated: number of times that a worker was allocated more than its capacity, by dimension.
        overlapping: tasks of jobs and non-repeatable requests that ran in two places at the same time.
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
        """Count over-allocations, overlapping tasks and repeated starts of non-repeatable requests; must be 0."""
        return sum(self.over_allocated.values()) + len(self.overlapping) + len(self.doubled_keys())


async def observe(cell: CellProcesses) -> Observation:
    """Read the journals and the counted violations of all workers."""
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
    """Add the starts and ends in a journal to the counters."""
    for entry in entries:
        if entry['kind'] == START:
            starts[entry['task_id']] += 1
        elif entry['kind'] in ENDS:
            ends[entry['task_id']] += 1


def collect_spans(
    entries: Iterable[Any],
    spans: dict[str, list[tuple[float, float]]],
) -> None:
    """Add the times at which each task ran in one worker's journal to `spans`.

    All attempts at a task count as the same task. A task that has not ended gets an infinite end.
    """
    start_times_s: dict[str, float] = {}
    for entry in entries:
        task_id = entry.get('task_id', '')
        if entry['kind'] == START:
            start_times_s[task_id] = entry['at_s']
        elif entry['kind'] in ENDS and task_id in start_times_s:
            spans[without_attempt(task_id)].append((start_times_s.pop(task_id), entry['at_s']))
    for task_id, start_s in start_times_s.items():
        spans[without_attempt(task_id)].append((start_s, float('inf')))


def overlaps(times: list[tuple[float, float]]) -> bool:
    """Return whether any two of the time spans overlap."""
    newest_end_s = float('-inf')
    for start_s, end_s in sorted(times):
        if start_s < newest_end_s:
            return True
        newest_end_s = max(newest_end_s, end_s)
    return False


def without_attempt(task_id: str) -> str:
    """Return the id of a job's task without the attempt; return other ids unchanged."""
    return task_id.rsplit('.', 1)[0] if '.j.' in task_id else task_id


def is_keyed_request(task_id: str) -> bool:
    """Return whether a task id belongs to a non-repeatable request."""
    return '.k.' in task_id


def is_durable(task_id: str) -> bool:
    """Return whether a task id belongs to a job or a non-repeatable request.

    Repeatable requests may run again anywhere, so they are not checked for overlapping runs.
    """
    return is_keyed_request(task_id) or '.j.' in task_id
