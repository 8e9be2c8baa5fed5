"""Record of the run times that leaders learn."""

import msgspec

from marigoldlift.submissions.records import Record

__all__ = ('KeptDistribution', 'KeptLevel', 'RunTimesSummary')


class KeptDistribution(msgspec.Struct, array_like=True, frozen=True):
    """Observed ratios of run time to estimate of one step of the submissions of a queue.

    Attributes:
        ended: pairs of bucket and weight, in hundredths, of the runs that were done.
        censored: the same of runs of which only a lower bound is known.
        longest: whether they are those of the longest task of each step.
    """

    queue: str
    step: int
    ended: list[tuple[int, int]]
    censored: list[tuple[int, int]] = []
    longest: bool = False


class KeptLevel(msgspec.Struct, array_like=True, frozen=True):
    """Speed of a failure domain, a kind of workers or a worker.

    Attributes:
        deviation: deviation from the expected time, in hundredths of a doubling.
        runs: weight of its runs.
    """

    name: str
    deviation: int
    runs: int


class RunTimesSummary(Record, tag='t'):
    """Run times and speeds that a leader has learned, with which a later one starts.

    Attributes:
        at_ms: Unix time at which it was made, in ms.
        failure_domains: speeds of the failure domains.
        kinds: speeds of the kinds of workers.
        workers: speeds of workers.
    """

    at_ms: float
    distributions: list[KeptDistribution] = []
    failure_domains: list[KeptLevel] = []
    kinds: list[KeptLevel] = []
    workers: list[KeptLevel] = []
