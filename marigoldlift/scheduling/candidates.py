"""Choice of the workers that a question to the placement advice names, and its division into parallel calls.

Answers the load of many wide gangs: the advice takes time for each worker named, and serves one call of an entry at a time.
A question that names too few workers costs a second one; a question in a single call takes the sum of all times.
"""

import math
from collections.abc import Mapping, Sequence

from marigoldlift.orders.session import WorkerSession

__all__ = ('AllowedShares', 'choose_candidates', 'is_useful', 'split_evenly', 'tasks_needed')

#: Share of the workers that the advice is assumed to allow before it has judged any, and number of judgements that this
#: assumption counts as.
ASSUMED_SHARE = 0.3
ASSUMED_JUDGEMENTS = 30

#: Capacity to ask for, as a multiple of the need; some of it is taken before the answer arrives.
SPARE_CAPACITY_FACTOR = 2

#: Share of a step's waiting tasks that have to fit for another question while some of its tasks run.
REFILL_SHARE = 0.25

#: Share of a gang's tasks that have to fit for another question: more room comes free while the advice answers.
GANG_SHARE = 0.5

#: Maximum number of workers in one question.
MAX_CANDIDATES = 300


class AllowedShares:
    """Share of the judged workers that the advice has allowed, learned for each queue.

    Attributes:
        judged: number of workers that were judged, by queue.
        allowed: number of workers among them that may run the step, by queue.
    """

    def __init__(self) -> None:
        """Start without judgements."""
        self.judged: dict[str, int] = {}
        self.allowed: dict[str, int] = {}

    def note(self, queue: str, judged: int, allowed: int) -> None:
        """Count the judgements of one answer."""
        self.judged[queue] = self.judged.get(queue, 0) + judged
        self.allowed[queue] = self.allowed.get(queue, 0) + allowed

    def share(self, queue: str) -> float:
        """Return the expected share of allowed workers, above 0."""
        allowed = self.allowed.get(queue, 0) + ASSUMED_SHARE * ASSUMED_JUDGEMENTS
        return allowed / (self.judged.get(queue, 0) + ASSUMED_JUDGEMENTS)


def tasks_needed(waiting: int, running: int, *, gang: bool) -> int:
    """Return how many tasks of a step have to fit for a question to be useful.

    A question takes the same fixed time for one task as for many. While a step has something running, room that comes
    back worker by worker is collected before the next question.

    Args:
        waiting: number of tasks that wait.
        running: number of tasks that run.
        gang: whether the tasks start only together.
    """
    if gang:
        return max(1, math.ceil(waiting * GANG_SHARE))
    return max(1, math.ceil(waiting * REFILL_SHARE)) if running else 1


def is_useful(placeable: int, unjudged: int, needed: int, share: float) -> bool:
    """Return whether a question for tickets is likely to place what it has to.

    Tickets expire within seconds, so those of a step that does not fit are lost, and the advice is busy meanwhile.

    Args:
        placeable: tasks that fit on workers known to be allowed.
        unjudged: tasks that fit on workers that the advice has not judged for the step.
        needed: tasks that have to fit.
        share: expected share of allowed workers.
    """
    return placeable + share * unjudged >= needed


def choose_candidates(
    room: Mapping[WorkerSession, int],
    unasked: Sequence[WorkerSession],
    tasks: int,
    share: float,
    at_least: int,
) -> list[str]:
    """Return the workers to ask about, as many as are expected to hold the tasks; those with the most room come first.

    Args:
        room: number of tasks that fit on each worker.
        unasked: workers that the advice has not judged for the step.
        tasks: number of tasks that need a worker.
        share: expected share of allowed workers.
        at_least: minimum number of workers, if so many are left.
    """
    wanted = tasks * SPARE_CAPACITY_FACTOR / share
    chosen: list[str] = []
    by_room = sorted(unasked, key=room.__getitem__, reverse=True)
    for session in by_room[:MAX_CANDIDATES]:
        if wanted <= 0 and len(chosen) >= at_least:
            break
        wanted -= room[session]
        chosen.append(session.worker.id)
    return chosen


def split_evenly(names: Sequence[str], parts: int) -> list[Sequence[str]]:
    """Return the names in the given number of parts of about the same size, without empty ones."""
    size = max(1, math.ceil(len(names) / max(1, parts)))
    starts = range(0, len(names), size)
    return [names[start : start + size] for start in starts]
