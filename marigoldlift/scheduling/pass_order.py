"""Order of the steps in scheduling passes that have no time for all of them."""

from collections.abc import Callable, Iterable, Iterator, Sequence

from marigoldlift.scheduling.tasks import PendingReason, StepRun

__all__ = ('PassOrder',)

#: Most urgent steps that come first in each pass, so that those of lower rank do not take what becomes free.
FIRST_STEPS = 4

#: Longest time for the turns of one pass, in s, and as a multiple of the time that the ranking has taken. The leadership is renewed
#: every 0.2 s and lost after 0.7 s, and other work of the leader waits meanwhile.
TURNS_S = 0.05
TURNS_FACTOR = 2


class PassOrder:
    """Gives each step its turn although each pass ends early.

    While passes have time for all steps, their order is that of the rank alone. Otherwise those with an answer of the advice come first,
    since their tickets run out within seconds and would have to be asked for again; then those that had no turn yet.

    Attributes:
        turns_s: time for the turns of a pass, in s, unless the ranking has taken long.
        tried: steps that had their turn since a pass last had time for all.
        answered: steps whose question to the advice has ended since their last turn.
        reserving: step that workers are reserved for in this pass.
    """

    def __init__(self) -> None:
        """Start without steps."""
        self.turns_s = TURNS_S
        self.tried: set[StepRun] = set()
        self.answered: set[StepRun] = set()
        self.reserving: StepRun | None = None

    def drop_reasons(self, reasons: dict[StepRun, PendingReason]) -> None:
        """Drop the reasons of the last pass; while passes end early, each step keeps that of its last turn."""
        if not self.tried:
            reasons.clear()

    def turns(
        self, ready: Sequence[StepRun], began_at: float, clock: Callable[[], float]
    ) -> Iterator[StepRun]:
        """Yield the steps in the order of their turns.

        Args:
            ready: the steps, the most urgent first.
            began_at: when the pass has begun to rank them, in seconds of the monotonic clock.
            clock: monotonic clock in seconds.
        """
        ranked_at = clock()
        until = ranked_at + max(self.turns_s, (ranked_at - began_at) * TURNS_FACTOR)
        first = self.begin(ready)
        steps = list(dict.fromkeys((*first, *self.in_turn(ready))))
        for number, step in enumerate(steps):
            if number >= len(first) and clock() >= until:
                self.end_early(steps[:number])
                return
            yield step
        self.end()

    def begin(self, ready: Sequence[StepRun]) -> Sequence[StepRun]:
        """Drop the reservation of the last pass, and return the steps that come first, whatever time there is.

        These are gangs that are starting, whose members wait for a limited time only, then the most urgent steps, and that of the
        reservation, which keeps its workers only with a turn.

        Args:
            ready: the steps, the most urgent first.
        """
        waiting = frozenset(ready)
        self.tried &= waiting
        self.answered &= waiting
        first = [step for step in ready if step.gang_started_at is not None]
        first.extend(ready[:FIRST_STEPS])
        if self.tried and self.reserving is not None and self.reserving in waiting:
            first.append(self.reserving)
        self.reserving = None
        return tuple(dict.fromkeys(first))

    def in_turn(self, ready: Iterable[StepRun]) -> Iterator[StepRun]:
        """Yield those with an answer, then those without a turn yet, then the others; by rank alone while there is time."""
        if not self.tried:
            yield from ready
            return
        rest = []
        untried = []
        for step in ready:
            if step in self.answered:
                yield step
            elif step in self.tried:
                rest.append(step)
            else:
                untried.append(step)
        yield from untried
        yield from rest

    def end_early(self, tried: Iterable[StepRun]) -> None:
        """Note the turns of a pass that had no time for the others."""
        self.tried.update(tried)
        self.answered.difference_update(tried)

    def end(self) -> None:
        """Begin anew after a pass that had time for all steps."""
        self.tried.clear()
        self.answered.clear()
