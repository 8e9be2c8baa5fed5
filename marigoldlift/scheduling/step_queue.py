"""Steps of a submission that are not open yet.

Only the steps whose turn has come are opened, and of each step only some occurrences at once, so that the time of a scheduling
round follows what can be started and not what was accepted. Until then an occurrence is no more than a number.
"""

import copy
from collections import deque
from collections.abc import Container, Iterator, Sequence

import msgspec

from marigoldlift.submissions.model import Step, Submission
from marigoldlift.submissions.step_set import StepSet

__all__ = ('StepKey', 'StepQueue', 'WaitingSize', 'largest_waiting', 'waiting_limit')

#: Occurrence and number of a step.
StepKey = tuple[int, int]

#: Steps of one submission that wait for a worker at once, over all numbers, and fewest of each number.
MAX_WAITING = 64
MIN_WAITING = 4


def waiting_limit(steps: Sequence[Step]) -> int:
    """Return how many occurrences of each of the steps of a submission are open at once and wait for a worker."""
    return max(MIN_WAITING, MAX_WAITING // len(steps))


class WaitingSize(msgspec.Struct, frozen=True):
    """How much of one or more submissions may wait for workers at once, which the leader holds as objects."""

    steps: int = 0
    tasks: int = 0

    def plus(self, other: 'WaitingSize') -> 'WaitingSize':
        """Return the sum of two sizes."""
        return WaitingSize(self.steps + other.steps, self.tasks + other.tasks)


def largest_waiting(submission: Submission) -> WaitingSize:
    """Return the largest size of a submission that waits for workers at once."""
    steps = submission.steps
    occurrences = min(submission.occurrences, waiting_limit(steps))
    tasks = sum(step.count for step in steps)
    return WaitingSize(len(steps) * occurrences, tasks * occurrences)


class StepQueue:
    """Hands out the steps of one submission as their turn comes, by number, the first occurrence first.

    Attributes:
        complete: steps that are complete.
        needed: bits of the steps that a step depends on, by its number; steps that depend on none are left out.
        next_occurrence: first occurrence that was not handed out, for each step that depends on none.
        released: occurrences of the other steps that were not handed out and depend on complete steps only.
        late: occurrences of steps that depend on none which were put back; they come after those that are due later.
    """

    def __init__(self, submission: Submission, complete: StepSet) -> None:
        """Create the queue of a submission of which some steps are complete.

        Args:
            submission: the submission.
            complete: its complete steps.
        """
        self.submission = submission
        self.complete = complete
        self.needed = {
            number: sum(1 << before for before in set(step.after))
            for number, step in enumerate(submission.steps)
            if step.after
        }
        self.next_occurrence = {
            number: 0 for number, _ in enumerate(submission.steps) if number not in self.needed
        }
        self.released: dict[int, deque[int]] = {number: deque() for number in self.needed}
        self.late: dict[int, deque[int]] = {number: deque() for number in self.next_occurrence}
        if self.needed and complete.mask:
            self.release_all()

    def copy(self) -> 'StepQueue':
        """Return a copy that hands out steps on its own."""
        copied = copy.copy(self)
        copied.next_occurrence = dict(self.next_occurrence)
        copied.released = {number: deque(found) for number, found in self.released.items()}
        copied.late = {number: deque(found) for number, found in self.late.items()}
        return copied

    def release_all(self) -> None:
        """Release the steps that depend on complete steps only, in all occurrences that have begun."""
        for occurrence in range(self.submission.occurrences):
            found = self.complete.of_occurrence(occurrence)
            if found:
                for number in self.needed:
                    self.release(occurrence, number, found)

    def note_complete(self, key: StepKey) -> None:
        """Release the steps that depended on a step which is complete now."""
        occurrence, done = key
        found = self.complete.of_occurrence(occurrence)
        for number, needed in self.needed.items():
            if needed >> done & 1:
                self.release(occurrence, number, found)

    def release(self, occurrence: int, number: int, found: int) -> None:
        """Release a step if all steps that it depends on are complete, but not the step itself.

        Args:
            occurrence: occurrence of the step.
            number: its number.
            found: bits of the complete steps of the occurrence.
        """
        needed = self.needed[number]
        if found & needed == needed and not found >> number & 1:
            self.released[number].append(occurrence)

    def take(
        self, number: int, count: int, opened: Container[StepKey], wall_ms: float
    ) -> Iterator[StepKey]:
        """Yield steps whose turn has come, and remove them from the queue.

        Args:
            number: number of the steps.
            count: most steps to yield.
            opened: steps that are open, which are passed over.
            wall_ms: Unix time in ms.
        """
        while count > 0:
            key = self.take_next(number, wall_ms)
            if key is None:
                return
            if key not in opened and key not in self.complete:
                count -= 1
                yield key

    def take_next(self, number: int, wall_ms: float) -> StepKey | None:
        """Remove the next step of a number whose turn has come, and return it; None if there is none."""
        if self.is_next_due(number, wall_ms):
            occurrence = self.next_occurrence[number]
            self.next_occurrence[number] = occurrence + 1
            return occurrence, number
        found = self.released.get(number) or self.late.get(number)
        return (found.popleft(), number) if found else None

    def is_next_due(self, number: int, wall_ms: float) -> bool:
        """Return whether a step depends on none, and an occurrence of it is due that was never handed out.

        Args:
            number: number of the step.
            wall_ms: Unix time in ms.
        """
        occurrence = self.next_occurrence.get(number, self.submission.occurrences)
        return occurrence < self.submission.occurrences and wall_ms >= self.due_ms(occurrence)

    def put_back(self, key: StepKey) -> None:
        """Put a step back that was handed out."""
        occurrence, number = key
        waiting = self.released if number in self.needed else self.late
        waiting[number].append(occurrence)

    def is_released(self, key: StepKey) -> bool:
        """Return whether all steps that a step depends on are complete."""
        occurrence, number = key
        needed = self.needed.get(number, 0)
        return not needed or self.complete.of_occurrence(occurrence) & needed == needed

    def due_occurrences(self, wall_ms: float) -> int:
        """Return the number of occurrences that are due."""
        submission = self.submission
        if not submission.first_due_ms:
            return submission.occurrences
        elapsed_ms = wall_ms - submission.first_due_ms
        if elapsed_ms < 0:
            return 0
        if submission.interval_ms <= 0:
            return submission.occurrences
        return min(submission.occurrences, int(elapsed_ms // submission.interval_ms) + 1)

    def due_ms(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence is due, in ms; 0 if all are due at once."""
        submission = self.submission
        if not submission.first_due_ms:
            return 0
        return submission.first_due_ms + occurrence * submission.interval_ms

    def next_due_ms(self, wall_ms: float) -> float | None:
        """Return the next time at which an occurrence is due that was not handed out, None if there is none.

        Args:
            wall_ms: Unix time in ms.

        Returns:
            Unix time in ms.
        """
        following = map(self.due_ms, self.next_occurrences())
        return min((due_ms for due_ms in following if due_ms > wall_ms), default=None)

    def next_occurrences(self) -> set[int]:
        """Return the occurrences that are handed out next, without those after the last one."""
        found = set(self.next_occurrence.values())
        found.discard(self.submission.occurrences)
        return found

    def hidden(self, wall_ms: float) -> dict[int, int]:
        """Return how many steps were not handed out although their turn has come, by number, without those that have none."""
        due = self.due_occurrences(wall_ms)
        counts = {number: due - begun for number, begun in self.next_occurrence.items()}
        counts |= {number: len(found) for number, found in self.released.items()}
        return {number: count for number, count in counts.items() if count > 0}
