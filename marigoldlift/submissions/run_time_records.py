"""Record of the run times that leaders learn."""

import msgspec

from marigoldlift.submissions.records import Record

__all__ = ('KeptDistribution', 'KeptLevel', 'RunTimesSummary')


class KeptDistribution(msgspec.Struct, array_like=True, frozen=True):
    """Observed ratios of run time to estimate of one step of the submissions of a queue.

    Attributes:
        ended: pairs of bucket and weight of the runs that were done.
        censored: the same of runs of which only a lower bound is known.
    """

    queue: str
    step: int
    ended: list[tuple[int, float]]
    censored: list[tuple[int, float]] = []


class KeptLevel(msgspec.Struct, array_like=True, frozen=True):
    """Deviation of a failure domain or kind of workers, in doublings of the time, and the weight of its runs."""

    name: str
    doublings: float
    runs: float


class RunTimesSummary(Record, tag='t'):
    """Run times and speeds that a leader has learned, with which a later one starts.

    Attributes:
        at_ms: Unix time at which it was made, in ms.
        failure_domains: speeds of the failure domains.
        kinds: speeds of the kinds of workers.
    """

    at_ms: float
    distributions: list[KeptDistribution] = []
    failure_domains: list[KeptLevel] = []
    kinds: list[KeptLevel] = []
