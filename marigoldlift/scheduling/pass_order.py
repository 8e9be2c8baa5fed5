"""Order of the steps in scheduling passes that have no time for all of them."""

from collections.abc import Callable, Generator, Iterable, Iterator, Sequence

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

    While passes reach all steps, their order is that of the rank alone. Otherwise those with an answer of the advice come first, since
    their tickets run out within seconds and would have to be asked for again; then new ones of the highest priority; then the others in
    the order of their last turns, so that a step that found no room at first does not wait behind all that arrive later.

    Attributes:
        turns_s: time for the turns of a pass, in s, unless the ranking has taken long.
        line: steps in the order of their next turns, empty while passes reach all steps; a dict to keep the order.
        answered: steps whose question to the advice has ended since their last turn.
        reserving: step that workers are reserved for in this pass.
    """

    def __init__(self) -> None:
        """Start without steps."""
        self.turns_s = TURNS_S
        self.line: dict[StepRun, None] = {}
        self.answered: set[StepRun] = set()
        self.reserving: StepRun | None = None

    def drop_reasons(self, reasons: dict[StepRun, PendingReason]) -> None:
        """Drop the reasons of the last pass; while passes end early, each step keeps that of its last turn."""
        if not self.line:
            reasons.clear()

    def turns(
        self, ready: Sequence[StepRun], began_at: float, clock: Callable[[], float]
    ) -> Generator[StepRun, None, None]:
        """Yield the steps in the order of their turns; those after the one at which it is closed had none.

        Args:
            ready: the steps, the most urgent first.
            began_at: when the pass has begun to rank them, in seconds of the monotonic clock.
            clock: monotonic clock in seconds.
        """
        ranked_at = clock()
        until = ranked_at + max(self.turns_s, (ranked_at - began_at) * TURNS_FACTOR)
        first = self.begin(ready)
        steps = list(dict.fromkeys((*first, *self.in_turn(ready))))
        tried = 0
        try:
            for step in steps:
                if tried >= len(first) and clock() >= until:
                    break
                yield step
                tried += 1
        finally:
            self.end(steps[:tried], ready)

    def begin(self, ready: Sequence[StepRun]) -> Sequence[StepRun]:
        """Drop the reservation of the last pass, and return the steps that come first, whatever time there is.

        These are gangs that are starting, whose members wait for a limited time only, then the most urgent steps, and that of the
        reservation, which keeps its workers only with a turn.

        Args:
            ready: the steps, the most urgent first.
        """
        waiting = frozenset(ready)
        self.line = dict.fromkeys(step for step in self.line if step in waiting)
        self.answered &= waiting
        first = [step for step in ready if step.gang_started_at is not None]
        first.extend(ready[:FIRST_STEPS])
        if self.line and self.reserving is not None and self.reserving in waiting:
            first.append(self.reserving)
        self.reserving = None
        return tuple(dict.fromkeys(first))

    def in_turn(self, ready: Iterable[StepRun]) -> Iterator[StepRun]:
        """Yield those with an answer, then new urgent ones, then those in line, then other new ones.

        While passes reach all steps, their order is that of the rank alone.
        """
        if self.line:
            yield from (step for step in ready if step in self.answered)
            yield from self.new_urgent(ready)
            yield from self.line
        yield from ready

    def new_urgent(self, ready: Iterable[StepRun]) -> Iterator[StepRun]:
        """Yield the urgent steps that are not in line yet; they go ahead of it, once."""
        return (step for step in ready if step.job.is_urgent and step not in self.line)

    def end(self, tried: Sequence[StepRun], ready: Sequence[StepRun]) -> None:
        """Note the turns of a pass.

        Args:
            tried: the steps that had a turn.
            ready: all steps, the most urgent first.
        """
        if len(tried) == len(ready):
            self.line.clear()
            self.answered.clear()
            return
        had_turn = frozenset(tried)
        waiting = (*self.new_urgent(ready), *self.line, *ready)
        others = (step for step in waiting if step not in had_turn)
        self.line = dict.fromkeys((*others, *tried))
        self.answered.difference_update(had_turn)
