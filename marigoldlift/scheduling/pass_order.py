"""Order of the steps in scheduling passes that have no time for all of them."""

from collections.abc import Callable, Iterable, Iterator, Sequence

from marigoldlift.scheduling.tasks import PendingReason, StepRun

__all__ = ('PassOrder',)

#: Most urgent steps that come first in each pass, so that those of lower rank do not take what becomes free.
FIRST_STEPS = 4


class PassOrder:
    """Gives each step its turn although each pass ends early.

    While passes have time for all steps, their order is that of the rank alone. Otherwise those with an answer of the advice come first,
    since their tickets run out within seconds and would have to be asked for again; then those that had no turn yet.

    Attributes:
        tried: steps that had their turn since a pass last had time for all.
        answered: steps whose question to the advice has ended since their last turn.
        reserving: step that workers are reserved for in this pass.
    """

    def __init__(self) -> None:
        """Start without steps."""
        self.tried: set[StepRun] = set()
        self.answered: set[StepRun] = set()
        self.reserving: StepRun | None = None

    def drop_reasons(self, reasons: dict[StepRun, PendingReason]) -> None:
        """Drop the reasons of the last pass; while passes end early, each step keeps that of its last turn."""
        if not self.tried:
            reasons.clear()

    def turns(
        self, ready: Sequence[StepRun], limit_s: float, clock: Callable[[], float]
    ) -> Iterator[StepRun]:
        """Yield the steps in the order of their turns, the first few of them in any case.

        Args:
            ready: the steps, the most urgent first.
            limit_s: time for all turns, in s.
            clock: monotonic clock in seconds.
        """
        until = clock() + limit_s
        steps = self.arrange(ready)
        for number, step in enumerate(steps):
            if number >= FIRST_STEPS and clock() >= until:
                self.end_early(steps[:number])
                return
            yield step
        self.end()

    def arrange(self, ready: Sequence[StepRun]) -> Sequence[StepRun]:
        """Return the steps in the order of their turns, and drop the reservation of the last pass.

        Its step comes first, since it keeps its workers only with a turn.

        Args:
            ready: the steps, the most urgent first.
        """
        reserving = self.reserving
        self.reserving = None
        if not self.tried:
            return ready
        waiting = frozenset(ready)
        self.tried &= waiting
        self.answered &= waiting
        first = [
            step for number, step in enumerate(ready) if number < FIRST_STEPS or step is reserving
        ]
        return list(dict.fromkeys((*first, *self.in_turn(ready))))

    def in_turn(self, ready: Iterable[StepRun]) -> Iterator[StepRun]:
        """Yield those with an answer, then those without a turn yet, then the others."""
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
