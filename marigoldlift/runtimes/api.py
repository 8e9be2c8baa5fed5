"""What the decisions of the scheduler ask about run times and speeds, and the answer without any learning."""

from typing import Protocol

import msgspec

from marigoldlift.orders.api import Worker
from marigoldlift.runtimes.quantiles import AS_ESTIMATED, RatioDistribution

__all__ = ('EstimatesAlone', 'ExpectedTimes', 'WorkKey')


class WorkKey(msgspec.Struct, frozen=True):
    """Tasks that are expected to behave alike: those of the same step of the submissions of a queue.

    Attributes:
        longest: whether the longest of all tasks of a step is meant. The tasks of one submission share much of the error of
            their estimate, so that it does not follow from the distribution of single tasks.
    """

    queue: str
    step: int
    longest: bool = False


class ExpectedTimes(Protocol):
    """Expected run times.

    Attributes:
        version: changes whenever an answer may have changed.
    """

    version: int

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return the distribution of run time to estimate on a worker of the common speed."""

    def is_known(self, key: WorkKey) -> bool:
        """Return whether enough runs have ended for a verdict that rests on them alone."""

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

    def is_known(self, key: WorkKey) -> bool:
        """Return that nothing is known."""
        return False

    def slowness(self, worker: Worker) -> float:
        """Return that the worker has the common speed."""
        return 1

    def speed_class(self, worker: Worker) -> int:
        """Return the class of the common speed."""
        return 0

    def refresh(self) -> None:
        """Keep the answers."""
