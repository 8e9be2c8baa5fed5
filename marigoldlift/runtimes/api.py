"""What the decisions of the scheduler ask about run times and speeds, and the answer without any learning."""

from typing import Protocol

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.runtimes.quantiles import AS_ESTIMATED, RatioDistribution

__all__ = ('EstimatesAlone', 'ExpectedTimes', 'Factors', 'WorkKey')


class WorkKey(msgspec.Struct, frozen=True):
    """Tasks that are expected to behave alike: those of the same step of the submissions of a queue.

    Attributes:
        longest: whether the longest of all tasks of a step is meant. The tasks of one submission share much of the error of
            their estimate, so that it does not follow from the distribution of single tasks.
    """

    queue: str
    step: int
    longest: bool = False


class Factors(msgspec.Struct, frozen=True):
    """Factors by which the time of a step differs from its estimate, on a worker of the common speed.

    Attributes:
        longest: for the longest of its tasks.
        safe: for a time that a task hardly exceeds.
        lucky: for a time below which a task is hardly ever done; 0 while too little is known to rule anything out.
    """

    longest: float = 1
    safe: float = 1
    lucky: float = 0


class ExpectedTimes(Protocol):
    """Expected run times.

    Attributes:
        version: changes whenever the factors of any work have changed.
    """

    version: int

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return the distribution of run time to estimate on a worker of the common speed."""

    def factors(self, key: WorkKey) -> Factors:
        """Return the factors of a step."""

    def slowness(self, worker: Worker) -> float:
        """Return how many times as long a worker takes as one of the common speed."""

    def speed_class(self, worker: Worker) -> int:
        """Return the class of speed of a worker, 0 for the common one."""

    def refresh(self) -> None:
        """Renew the answers if new ones are due; called once in each scheduling pass."""


class EstimatesAlone:
    """Answers that rest on the estimates of the callers, with all workers equal."""

    version = 0

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return that runs take as long as estimated."""
        return AS_ESTIMATED

    def factors(self, key: WorkKey) -> Factors:
        """Return that the estimates are right, and that nothing can be ruled out."""
        return Factors()

    def slowness(self, worker: Worker) -> float:
        """Return that the worker has the common speed."""
        return 1

    def speed_class(self, worker: Worker) -> int:
        """Return the class of the common speed."""
        return 0

    def refresh(self) -> None:
        """Keep the answers."""
